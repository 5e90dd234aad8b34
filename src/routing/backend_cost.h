// What the choice among eligible backends is based on. Does no I/O and reads no
// clock.
#pragma once

#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "routing/backend_choice.h"
#include "routing/backend_table.h"
#include "routing/prompt_cache.h"
#include "routing/tracked_backend.h"

namespace mangohold {

// What the cost of a backend depends on, beside its own state.
struct CostFactors {
  const ServiceSpec* spec = nullptr;  // of the service; null: unknown
  // Event gap of the service's fastest group, in seconds; 0: unknown.
  double min_event_gap = 0;
  ZoneName own_zone;
  double zone_penalty = 0;  // of backends in other zones, in requests
  // What the backends have cached of the request's prompt.
  PromptCache::CachedTokens cached;
};

// The backends as candidates for one request, in the same order.
BackendCandidates CandidatesFor(const std::vector<TrackedBackend*>& backends,
                                const CostFactors& factors, TimePoint now);

}  // namespace mangohold
