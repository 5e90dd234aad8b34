#include "config/documents.h"

#include <algorithm>
#include <array>

#include "core/document_reader.h"
#include "core/status.h"

namespace mangohold {
namespace {

constexpr Range kCountRange = {1, 100'000};
constexpr Range kMillisRange = {1, 3'600'000};

constexpr std::array<std::string_view, static_cast<int>(Subtree::kCount)>
    kSubtrees = {"services", "zones", "workspaces", "fleet"};

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' ||
         c == '.' || c == '_';
}

std::string NameIn(const std::string& path) {
  const auto parsed = ParsePath(path);
  return parsed.ok() ? parsed->name : std::string();
}

std::vector<RepeatableCall> ReadRepeatableCalls(ObjectReader& reader) {
  std::vector<RepeatableCall> calls;
  for (ObjectReader& element : reader.Objects("repeatable_calls")) {
    RepeatableCall call{.method = "", .path_prefix = "/"};
    element.Required("method", call.method);
    element.Optional("path_prefix", call.path_prefix);
    if (!call.path_prefix.starts_with('/')) {
      element.Report("path_prefix", "must start with '/'");
    }
    element.RejectUnknown();
    calls.push_back(std::move(call));
  }
  return calls;
}

ColdStart ReadColdStart(ObjectReader reader) {
  ColdStart out;
  reader.Optional("initial_limit", out.initial_limit, kCountRange);
  reader.Optional("successes_per_step", out.successes_per_step, kCountRange);
  reader.RejectUnknown();
  return out;
}

}  // namespace

// A path prefix matches whole segments, so "/draft" covers "/draft/7" and not
// "/drafts".
bool ServiceDocument::IsRepeatable(std::string_view method,
                                   std::string_view path) const {
  return std::ranges::any_of(
      repeatable_calls, [method, path](const RepeatableCall& call) {
        const bool is_below =
            call.method == method && path.starts_with(call.path_prefix);
        if (!is_below) return false;
        return call.path_prefix.ends_with('/') ||
               path.size() == call.path_prefix.size() ||
               path[call.path_prefix.size()] == '/';
      });
}

absl::StatusOr<DocumentPath> ParsePath(std::string_view path) {
  const auto bad = [path](std::string_view why) {
    return absl::InvalidArgumentError("path " + std::string(path) + " " +
                                      std::string(why));
  };
  if (!path.starts_with('/')) return bad("must start with '/'");
  const std::size_t slash = std::min(path.find('/', 1), path.size());
  const auto it = std::ranges::find(kSubtrees, path.substr(1, slash - 1));
  if (it == kSubtrees.end()) {
    return bad("is not under /services, /zones, /workspaces or /fleet");
  }
  DocumentPath out;
  out.subtree = static_cast<Subtree>(it - kSubtrees.begin());
  out.name = std::string(path.substr(std::min(slash + 1, path.size())));
  if (out.name.empty() != (out.subtree == Subtree::kFleet)) {
    return bad(out.name.empty() ? "lacks a name" : "must have no name");
  }
  if (!std::ranges::all_of(out.name, IsNameCharacter)) {
    return bad("has a name with characters other than a-z 0-9 - . _");
  }
  return out;
}

std::string PathOf(const ServiceName& name) {
  return "/services/" + name.value();
}
std::string PathOf(const ZoneName& name) { return "/zones/" + name.value(); }
std::string PathOf(const WorkspaceName& name) {
  return "/workspaces/" + name.value();
}

ServiceDocument ParseService(const std::string& path, std::string_view text,
                             Findings& findings) {
  return ReadDocument<ServiceDocument>(
      path, text, findings, [&](ObjectReader& reader, ServiceDocument& out) {
        out.name = ServiceName(NameIn(path));
        int kind = static_cast<int>(out.kind);
        reader.OptionalChoice("kind", {"model", "plain"}, kind);
        out.kind = static_cast<BackendKind>(kind);
        out.repeatable_calls = ReadRepeatableCalls(reader);
        reader.Optional("checks_fence", out.checks_fence);
        reader.Optional("concurrency_limit", out.concurrency_limit,
                        kCountRange);
        reader.Optional("queue_limit", out.queue_limit, {0, 100'000});
        out.cold_start = ReadColdStart(reader.Object("cold_start"));
        reader.OptionalMillis("default_deadline_ms", out.default_deadline,
                              kMillisRange);
        reader.Optional("max_attempts", out.max_attempts, {1, 10});
        reader.Optional("retry_budget_percent", out.retry_budget_percent,
                        {0, 100});
        reader.OptionalMillis("prefix_gain_ms", out.prefix_gain, {0, 60'000});
        int when_cut_off = static_cast<int>(out.when_cut_off);
        reader.OptionalChoice("when_cut_off", {"refuse", "serve"},
                              when_cut_off);
        out.when_cut_off = static_cast<CutOffPolicy>(when_cut_off);
        if (out.cold_start.initial_limit > out.concurrency_limit) {
          reader.Report("cold_start",
                        "initial_limit must not exceed concurrency_limit");
        }
      });
}

ZoneDocument ParseZone(const std::string& path, std::string_view text,
                       Findings& findings) {
  return ReadDocument<ZoneDocument>(
      path, text, findings, [&](ObjectReader& reader, ZoneDocument& out) {
        out.name = ZoneName(NameIn(path));
        int state = static_cast<int>(out.state);
        reader.OptionalChoice("state", {"in", "out"}, state);
        out.state = static_cast<ZoneState>(state);
      });
}

WorkspaceDocument ParseWorkspace(const std::string& path, std::string_view text,
                                 Findings& findings) {
  return ReadDocument<WorkspaceDocument>(
      path, text, findings, [&](ObjectReader& reader, WorkspaceDocument& out) {
        out.name = WorkspaceName(NameIn(path));
        reader.Optional("weight", out.weight, {1, 1'000});
        reader.Optional("max_in_flight", out.max_in_flight, kCountRange);
      });
}

FleetDocument ParseFleet(const std::string& path, std::string_view text,
                         Findings& findings) {
  return ReadDocument<FleetDocument>(
      path, text, findings, [&](ObjectReader& reader, FleetDocument& out) {
        reader.Optional("expected_entries", out.expected_entries, {1, 10'000});
      });
}

Findings CheckDocument(const std::string& path, std::string_view text) {
  Findings findings;
  const auto parsed = ParsePath(path);
  if (!parsed.ok()) {
    findings.Add({.file = path,
                  .pointer = "",
                  .line = 0,
                  .message = MessageOf(parsed.status())});
    return findings;
  }
  using Check = void (*)(const std::string&, std::string_view, Findings&);
  constexpr std::array<Check, static_cast<int>(Subtree::kCount)> kChecks = {
      [](const std::string& p, std::string_view t, Findings& f) {
        ParseService(p, t, f);
      },
      [](const std::string& p, std::string_view t, Findings& f) {
        ParseZone(p, t, f);
      },
      [](const std::string& p, std::string_view t, Findings& f) {
        ParseWorkspace(p, t, f);
      },
      [](const std::string& p, std::string_view t, Findings& f) {
        ParseFleet(p, t, f);
      }};
  kChecks[static_cast<std::size_t>(parsed->subtree)](path, text, findings);
  return findings;
}

}  // namespace mangohold
