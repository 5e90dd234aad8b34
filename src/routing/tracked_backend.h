// What an entry knows of one backend to which it sends requests directly.
#pragma once

#include <map>
#include <optional>

#include "core/clock.h"
#include "core/ids.h"
#include "routing/backend_quotas.h"
#include "routing/ejection.h"
#include "routing/group_gate.h"
#include "routing/prompt_cache.h"
#include "routing/sliding_count.h"
#include "store/backend_record.h"

namespace mangohold {

// The share of a backend's load that one entry causes. Entries report theirs to
// one another.
struct BackendShare {
  InstanceId backend;
  int requests = 0;        // in progress
  int prefill_tokens = 0;  // prompt tokens of those without a response so far
};

// A share that a peer reported.
struct PeerShare {
  BackendShare share;
  TimePoint expires;
};

// The load by requests without a response so far.
struct PrefillLoad {
  int tokens = 0;    // of their prompts
  int suspects = 0;  // those that were at another backend when it crashed

  PrefillLoad& operator+=(const PrefillLoad& other);
  PrefillLoad& operator-=(const PrefillLoad& other);
};

// Time that requests take, in seconds, smoothed; 0: none served yet.
struct ServiceTime {
  double seconds = 0;
  // The same for the slow ones: follows a longer time at once.
  double slow_seconds = 0;

  void Record(double served_seconds);
};

struct TrackedBackend {
  BackendRecord record;
  GroupGate* gate = nullptr;  // of its group; never null once listed
  // A backend that is no longer listed is kept while requests are in progress
  // there.
  bool is_listed = true;
  bool is_replaced = false;  // by another one at its address, until relisted
  int own_requests = 0;
  PrefillLoad own_prefill;
  std::map<InstanceId, PeerShare> peers;
  SlidingCount recent{std::chrono::seconds(1)};  // requests sent
  BackendQuotas quotas;
  // Slots by its group's PassLimit; absent: no limit.
  std::optional<int> pass_limit_slots;
  Ejection ejection;
  ServiceTime service_time;
  PromptCache::ServerIndex cache_index = PromptCache::kUnknownServer;

  // Load caused by all entries.
  int RequestsInProgress(TimePoint now) const;
  int PrefillTokens(TimePoint now) const;
};

// Number of requests that the backend may have in progress, from all entries
// together. All decisions read the number of slots here.
int UsableSlots(const TrackedBackend& backend);

}  // namespace mangohold
