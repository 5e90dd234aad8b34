// The typed documents of the settings tree. Each document is one key of the
// platform's key-value service and belongs to one team's subtree.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "core/clock.h"
#include "core/findings.h"
#include "core/ids.h"

namespace mangohold {

// What kind of server stands behind a service's agents.
enum class BackendKind { kModel, kPlain, kCount };

// A call that may be run again after an attempt whose fate is uncertain.
struct RepeatableCall {
  std::string method;
  std::string path_prefix;
};

// How a backend server's admission limit grows from its cold start.
struct ColdStart {
  int initial_limit = 1;       // requests in progress
  int successes_per_step = 4;  // completed requests that raise it by one
};

// What an agent does that can't confirm its configuration for long.
enum class CutOffPolicy { kRefuse, kServe, kCount };

// /services/<name>
struct ServiceDocument {
  ServiceName name;
  BackendKind kind = BackendKind::kPlain;
  // Calls that may be repeated; all others run at most once.
  std::vector<RepeatableCall> repeatable_calls;
  // True when the backend servers refuse orders with an old fencing number by
  // themselves; otherwise their agents do it for them.
  bool checks_fence = false;
  int concurrency_limit = 16;  // requests in progress at one backend server
  int queue_limit = 32;        // requests waiting at one agent
  ColdStart cold_start;
  Millis default_deadline{30'000};
  int max_attempts = 3;
  int retry_budget_percent = 20;  // retries for each hundred fresh requests
  // Time that a cached prompt prefix saves; 0 turns prefix affinity off.
  Millis prefix_gain{0};
  CutOffPolicy when_cut_off = CutOffPolicy::kRefuse;

  bool IsRepeatable(std::string_view method, std::string_view path) const;
};

enum class ZoneState { kIn, kOut, kCount };

// /zones/<name>
struct ZoneDocument {
  ZoneName name;
  ZoneState state = ZoneState::kIn;
};

// /workspaces/<name>
struct WorkspaceDocument {
  WorkspaceName name;
  int weight = 1;           // share of a full backend server
  int max_in_flight = 100;  // requests in progress over all entries
};

// /fleet
struct FleetDocument {
  // Entry instances that normally run; no fewer than ever run at once, since
  // majorities are counted over them. 0: not set yet.
  int expected_entries = 0;
};

// The subtree that a document path belongs to.
enum class Subtree { kServices, kZones, kWorkspaces, kFleet, kCount };

// A parsed path such as "/zones/suva".
struct DocumentPath {
  Subtree subtree = Subtree::kFleet;
  std::string name;  // empty for /fleet
};

// An invalid-argument status for a path outside the known subtrees.
absl::StatusOr<DocumentPath> ParsePath(std::string_view path);
std::string PathOf(const ServiceName& name);
std::string PathOf(const ZoneName& name);
std::string PathOf(const WorkspaceName& name);
inline constexpr std::string_view kFleetPath = "/fleet";

// Each reads a document from JSON with comments. Faults go to `findings`, with
// `path` as the file name.
ServiceDocument ParseService(const std::string& path, std::string_view text,
                             Findings& findings);
ZoneDocument ParseZone(const std::string& path, std::string_view text,
                       Findings& findings);
WorkspaceDocument ParseWorkspace(const std::string& path, std::string_view text,
                                 Findings& findings);
FleetDocument ParseFleet(const std::string& path, std::string_view text,
                         Findings& findings);

// Checks the document that is meant for `path`, with all faults together.
Findings CheckDocument(const std::string& path, std::string_view text);

}  // namespace mangohold
