#include "operator/ctl.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>

#include "caller/caller_client.h"
#include "config/documents.h"
#include "core/command_line.h"
#include "core/random.h"
#include "net/event_loop.h"
#include "net/http_client.h"

namespace mangohold {
namespace {

using Json = nlohmann::json;
using Words = std::vector<std::string>;

// Tries the operators' addresses in turn until one can be reached. Only a call
// that left nothing behind is tried at the next one.
HttpResponse AskOperator(const CtlOptions& options, const std::string& method,
                         const std::string& path, const std::string& body) {
  HttpResponse response;
  for (const Endpoint& address : options.operators) {
    HttpCall call{.method = method,
                  .url = "http://" + address.value() + path,
                  .body = body,
                  .timeout = std::chrono::seconds(20),
                  .fresh_connection = true};
    if (!options.token.empty()) {
      call.fields.push_back({"Authorization", "Bearer " + options.token});
    }
    response = FetchAndWait(std::move(call));
    if (response.result != HttpResult::kNotSent) break;
  }
  return response;
}

int PrintResponse(const HttpResponse& response) {
  if (response.result == HttpResult::kNotSent) {
    std::fputs("mangoholdctl: no entry can be reached\n", stderr);
    return kExitUnavailable;
  }
  std::fputs(response.body.c_str(), response.status == 200 ? stdout : stderr);
  const bool is_known =
      response.result == HttpResult::kComplete && response.status != 504;
  if (!is_known) return kExitUnknown;
  return response.status == 200 ? kExitOk : kExitFailure;
}

// The document's present revision, as a text for if_revision.
std::optional<std::string> PresentRevision(const CtlOptions& options,
                                           const std::string& path) {
  const HttpResponse response =
      AskOperator(options, "GET", "/v1/tree" + path, "");
  const Json body = Json::parse(response.body, nullptr, false);
  if (!body.is_object() || !body.contains("revision")) return std::nullopt;
  return std::to_string(body["revision"].get<std::uint64_t>());
}

int Put(const CtlOptions& options, const std::string& path,
        const std::string& text) {
  std::optional<std::string> revision = options.revision;
  if (options.revision.empty()) revision = PresentRevision(options, path);
  if (!revision) {
    std::fputs("mangoholdctl: no entry can be reached\n", stderr);
    return kExitUnavailable;
  }
  return PrintResponse(AskOperator(
      options, "PUT", "/v1/tree" + path + "?if_revision=" + *revision, text));
}

int Get(const CtlOptions& options, const Words& words) {
  return PrintResponse(AskOperator(options, "GET", "/v1/tree" + words[1], ""));
}

int List(const CtlOptions& options, const Words&) {
  return PrintResponse(AskOperator(options, "GET", "/v1/tree", ""));
}

// One entry's view of what is in force where, or null if it can't be reached.
Json StatusAt(const Endpoint& address) {
  const HttpResponse response =
      FetchAndWait({.url = "http://" + address.value() + "/v1/status",
                    .timeout = std::chrono::seconds(2)});
  return Json::parse(response.body, nullptr, false);
}

// Asks each of the operators' addresses.
int Status(const CtlOptions& options, const Words&) {
  int code = kExitOk;
  for (const Endpoint& address : options.operators) {
    const Json status = StatusAt(address);
    if (status.is_object()) {
      std::printf("%s\n", status.dump(2).c_str());
    } else {
      std::fprintf(stderr, "mangoholdctl: %s can't be reached\n",
                   address.value().c_str());
      code = kExitUnavailable;
    }
  }
  return code;
}

std::optional<std::string> FileText(const CtlOptions& options) {
  auto text = ReadFile(options.file);
  if (!text) {
    std::fprintf(stderr, "mangoholdctl: can't read --file %s\n",
                 options.file.c_str());
  }
  return text;
}

int Set(const CtlOptions& options, const Words& words) {
  const auto text = FileText(options);
  return text ? Put(options, words[1], *text) : kExitUsage;
}

int Validate(const CtlOptions& options, const Words& words) {
  const auto text = FileText(options);
  if (!text) return kExitUsage;
  const Findings findings = CheckDocument(words[1], *text);
  std::fputs(findings.ToString().c_str(), stderr);
  return findings.empty() ? kExitOk : kExitData;
}

// Whether each instance that the entries hear has come to `revision`.
bool IsInForceEverywhere(const CtlOptions& options, std::uint64_t revision) {
  return std::ranges::all_of(options.operators, [&](const Endpoint& address) {
    const Json status = StatusAt(address);
    if (!status.is_object()) return false;
    const auto has_it = [revision](const Json& instance) {
      return instance.value("revision", std::uint64_t{0}) >= revision;
    };
    return has_it(status) && std::ranges::all_of(status["instances"], has_it);
  });
}

// Polls until the present revision of `path` is in force everywhere.
int WaitForRevision(const CtlOptions& options, const std::string& path) {
  constexpr Millis kPause{100};
  const auto revision = PresentRevision(options, path);
  const TimePoint end = Clock::now() + options.deadline;
  while (revision && Clock::now() < end) {
    if (IsInForceEverywhere(options, std::stoull(*revision))) {
      std::printf("in force at every instance that was heard\n");
      return kExitOk;
    }
    std::this_thread::sleep_for(kPause);
  }
  std::fputs("mangoholdctl: accepted, but not yet in force everywhere\n",
             stderr);
  return kExitUnknown;
}

int Zone(const CtlOptions& options, const Words& words) {
  if (words[1] != "in" && words[1] != "out") {
    std::fputs("mangoholdctl: zone in|out NAME\n", stderr);
    return kExitUsage;
  }
  const std::string path = PathOf(ZoneName(words[2]));
  const int code = Put(options, path, Json{{"state", words[1]}}.dump() + '\n');
  if (code != kExitOk || !options.waits) return code;
  return WaitForRevision(options, path);
}

// The document that is in force, or null.
Json Present(const CtlOptions& options, const std::string& path) {
  return Json::parse(AskOperator(options, "GET", "/v1/tree" + path, "").body,
                     nullptr, false);
}

Json ParseDocument(const std::string& text) {
  return Json::parse(text, nullptr, /*allow_exceptions=*/false,
                     /*ignore_comments=*/true);
}

// What setting the file would change, as a JSON patch (RFC 6902).
int Diff(const CtlOptions& options, const Words& words) {
  const auto text = FileText(options);
  if (!text) return kExitUsage;
  const Json present = Present(options, words[1]);
  if (!present.is_object()) return kExitUnavailable;
  const Json patch = Json::diff(ParseDocument(present.value("text", "{}")),
                                ParseDocument(*text));
  std::printf("%s\n", patch.dump(2).c_str());
  return kExitOk;
}

// The store keeps no earlier versions; the document's last line names its last
// change and who made it.
int History(const CtlOptions& options, const Words& words) {
  const Json present = Present(options, words[1]);
  if (!present.is_object()) return kExitUnavailable;
  const std::string text = present.value("text", "");
  const std::size_t change = text.rfind("// change ");
  std::printf("revision %llu: %s", present.value("revision", 0ULL),
              change == std::string::npos ? "no change is recorded\n"
                                          : text.c_str() + change + 3);
  return kExitOk;
}

// Prints each document that changes, until the deadline.
int Watch(const CtlOptions& options, const Words&) {
  constexpr Millis kPause{250};
  const TimePoint end = Clock::now() + options.deadline;
  std::uint64_t seen = 0;
  while (Clock::now() < end) {
    const Json tree = Present(options, "");
    if (!tree.is_object()) return kExitUnavailable;
    for (const Json& document : tree["documents"]) {
      if (document.value("revision", std::uint64_t{0}) <= seen) continue;
      std::printf("%s\n", document.dump().c_str());
    }
    std::fflush(stdout);
    seen = std::max(seen, tree.value("complete_through", std::uint64_t{0}));
    std::this_thread::sleep_for(kPause);
  }
  return kExitOk;
}

// Sets each document of a directory tree: DIR/zones/suva.jsonc is /zones/suva.
// All of them are checked before the first one is set.
int Import(const CtlOptions& options, const Words& words) {
  namespace fs = std::filesystem;
  struct Document {
    std::string path;
    std::string text;
  };
  std::vector<Document> documents;
  std::error_code error;
  for (const auto& item : fs::recursive_directory_iterator(words[1], error)) {
    if (!item.is_regular_file()) continue;
    const fs::path relative = fs::relative(item.path(), words[1]);
    documents.push_back(
        {"/" + (relative.parent_path() / relative.stem()).string(),
         ReadFile(item.path().string()).value_or("")});
  }
  std::ranges::sort(documents, {}, &Document::path);
  bool is_valid = !documents.empty();
  for (const Document& document : documents) {
    const Findings findings = CheckDocument(document.path, document.text);
    std::fputs(findings.ToString().c_str(), stderr);
    is_valid &= findings.empty();
  }
  if (!is_valid) return kExitData;
  for (const Document& document : documents) {
    std::printf("%s ", document.path.c_str());
    const int code = Put(options, document.path, document.text);
    if (code != kExitOk) return code;
  }
  return kExitOk;
}

int Call(const CtlOptions& options, const Words& words) {
  EventLoop loop;
  CallerClient client(loop, {.entries = options.entries, .seed = RandomSeed()});
  ClientResult result;
  client.Call(
      {.service = ServiceName(words[1]),
       .workspace = WorkspaceName(options.workspace),
       .method = options.method,
       .path = options.path,
       .body = options.data,
       .priority = options.priority,
       .deadline = options.deadline,
       .is_repeatable = options.is_repeatable},
      [](std::string_view data) {
        std::fwrite(data.data(), 1, data.size(), stdout);
        std::fflush(stdout);
      },
      [&](ClientResult done) {
        result = std::move(done);
        loop.Stop();
      });
  loop.Run();
  std::fprintf(stderr,
               "\noutcome=%.*s reason=%s status=%d submissions=%d "
               "request_id=%s retry_after_ms=%lld\n",
               static_cast<int>(Name(result.outcome).size()),
               Name(result.outcome).data(),
               result.reason.empty() ? "none" : result.reason.c_str(),
               result.http_status, result.submissions,
               result.request.value().c_str(),
               static_cast<long long>(result.retry_after.count()));
  constexpr std::array<int, static_cast<int>(Outcome::kCount)> kCodes = {
      kExitOk, kExitFailure, kExitUnknown};
  return kCodes[static_cast<std::size_t>(result.outcome)];
}

int Entries(const CtlOptions& options, const Words&) {
  HttpResponse response;
  for (const Endpoint& entry : options.entries) {
    response = FetchAndWait({.url = "http://" + entry.value() + "/v1/entries"});
    if (response.result == HttpResult::kComplete) break;
  }
  return PrintResponse(response);
}

int Metrics(const CtlOptions& options, const Words&) {
  int code = kExitOk;
  for (const Endpoint& entry : options.entries) {
    std::printf("# %s\n", entry.value().c_str());
    const int printed = PrintResponse(
        FetchAndWait({.url = "http://" + entry.value() + "/metrics"}));
    code = std::max(code, printed);
  }
  return code;
}

struct Verb {
  std::string_view name;
  std::size_t operands;
  std::string_view usage;
  int (*run)(const CtlOptions&, const Words&);
};

constexpr std::array kVerbs = std::to_array<Verb>({
    {"list", 0, "list                      all documents in force", &List},
    {"get", 1, "get PATH                  one document with its revision",
     &Get},
    {"set", 1, "set PATH --file F         replace a document [--if-revision N]",
     &Set},
    {"validate", 1,
     "validate PATH --file F    check a document; changes nothing", &Validate},
    {"import", 1, "import DIR                set each document below DIR",
     &Import},
    {"diff", 1, "diff PATH --file F        what setting the file would change",
     &Diff},
    {"history", 1, "history PATH              the document's last change",
     &History},
    {"watch", 0, "watch                     print changes until the deadline",
     &Watch},
    {"zone", 2,
     "zone in|out NAME          bring a zone in or take it out [--wait]",
     &Zone},
    {"status", 0, "status                    what is in force", &Status},
    {"entries", 0, "entries                   the addresses for callers",
     &Entries},
    {"metrics", 0, "metrics                   what the entries have counted",
     &Metrics},
    {"call", 1, "call SERVICE              send a request and print its answer",
     &Call},
});

}  // namespace

std::string CtlHelp() {
  std::string out = "Usage: mangoholdctl [OPTIONS] VERB [OPERANDS]\n\nVerbs:\n";
  for (const Verb& verb : kVerbs) {
    out.append("  ").append(verb.usage).append("\n");
  }
  return out +
         "\nOptions:\n"
         "  -o, --operator A,B     operators' addresses of entries "
         "[127.0.0.1:7080]\n"
         "  -e, --entry A,B        callers' addresses of entries "
         "[127.0.0.1:7081]\n"
         "  -t, --token T          operator's token [$MANGOHOLD_TOKEN]\n"
         "  -f, --file F           document to set or validate\n"
         "  -r, --if-revision N    set only if the document has this revision\n"
         "  -w, --workspace W      workspace of the call\n"
         "  -X, --method M         method of the call [POST]\n"
         "  -p, --path P           path of the call at the backend server [/]\n"
         "  -d, --data D           body of the call\n"
         "      --priority P       high, normal or low\n"
         "      --deadline-ms N    time for the call [30000]\n"
         "      --repeatable       the call may be repeated: use no ticket\n"
         "      --wait             zone: return once it is in force "
         "everywhere\n"
         "  -h, --help             print this help and exit\n"
         "  -V, --version          print the version and exit\n"
         "\nExit codes: 0 accepted or answered, 1 refused or not run, "
         "2 unknown,\n64 usage, 65 invalid document, 69 no entry reached.\n";
}

int RunCtl(const CtlOptions& options, const Words& words) {
  const auto* verb = words.empty()
                         ? kVerbs.end()
                         : std::ranges::find(kVerbs, words[0], &Verb::name);
  if (verb == kVerbs.end() || words.size() != verb->operands + 1) {
    std::fputs(CtlHelp().c_str(), stderr);
    return kExitUsage;
  }
  return verb->run(options, words);
}

}  // namespace mangohold
