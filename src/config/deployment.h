// What operators have set for the direct way to backend servers: routes,
// services, workspaces and callers' limits, as plain data of one version.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"

namespace mangohold {

using RouteName = Id<struct RouteNameTag>;
using RegionName = Id<struct RegionNameTag>;
// The version that operators gave to a deployment; it only increases.
using DeploymentVersion = Number<struct DeploymentVersionTag>;

// What may be done again with the requests of a route.
enum class RouteKind {
  kIdempotent,     // may run more than once
  kNonIdempotent,  // may run at most once
  kStream,         // a series of events; may run again only if resumable
  kCount
};

// A service that takes a part of a route's requests.
struct RouteShare {
  ServiceName service;
  int weight = 1;
};

struct Route {
  RouteName name;
  std::string host;    // lower case, without port
  std::string prefix;  // begins and ends with a slash
  RouteKind kind = RouteKind::kNonIdempotent;
  Millis timeout{0};          // longest time that a caller is kept waiting
  Millis target_latency{0};   // within which an answer is on time
  Millis target_gap{0};       // longest pause between events on time; 0: none
  int priority = 0;           // 0 is the most urgent
  int max_attempts = 1;       // backend servers that one request may be sent to
  bool is_anonymous = false;  // callers need no key
  bool is_resumable = false;  // a stream may go on at another backend server
  bool has_prompt = false;    // requests state a model, tokens and a prefix
  std::vector<RouteShare> shares;
  std::vector<RegionName> allowed_regions;  // empty: all

  // True if a second run does no harm.
  bool IsRepeatable() const {
    return kind == RouteKind::kIdempotent ||
           (kind == RouteKind::kStream && is_resumable);
  }
};

// The published figures of a model engine and of its group of ranks.
struct EngineFigures {
  int slots = 0;
  std::int64_t memory_tokens = 0;
  double step_ms = 0;            // one token step
  double per_sequence_ms = 0;    // added for each request that writes
  double context_per_k_ms = 0;   // added for each 1,000 tokens of context
  double read_tokens_per_s = 0;  // prompt tokens
  double pairs_per_m_ms = 0;     // added for each million pairs of tokens
  int chunk_tokens = 0;          // prompt tokens read in a step at the most
  int steps_per_pass = 1;
  double usual_prompt_tokens = 0;
  double usual_answer_tokens = 0;
  int expert_sets = 0;
  int experts = 0;
  int places = 0;        // experts a rank and set at the most
  int spare_places = 0;  // experts of a set that are new in one preparation
  double expert_mb = 0;
};

struct ServiceSpec {
  ServiceName name;
  int max_connections = 0;  // of all callers of one backend server; 0: unknown
  Millis cold_start{0};
  double cold_per_s = 0;  // requests that a cold backend server bears; 0: any
  // The shortest `target_gap` of the routes that lead here; 0: none.
  Millis target_gap{0};
  std::optional<EngineFigures> engine;
};

// Bounds on what callers send.
struct CallerLimits {
  std::size_t max_header_bytes = 16U << 10U;
  std::size_t max_body_bytes = 4U << 20U;
  Millis header_timeout{3'000};
  Millis idle_timeout{15'000};
};

struct Workspace {
  WorkspaceName name;
  std::vector<std::string> keys;
  std::optional<int> priority;  // goes before a route's priority
};

struct Deployment {
  DeploymentVersion version;
  std::vector<Route> routes;
  std::vector<ServiceSpec> services;
  CallerLimits limits;
  // Without workspaces callers need no key.
  std::vector<Workspace> workspaces;
};

}  // namespace mangohold
