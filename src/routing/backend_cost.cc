#include "routing/backend_cost.h"

#include <algorithm>

#include "routing/load_cost.h"

namespace mangohold {
namespace {

// By which fraction the passes of the backend's group take longer than those of
// the fastest group; 0 if unknown.
double GroupLagOf(const TrackedBackend& backend, double min_event_gap,
                  TimePoint now) {
  const double gap = backend.gate->GapSeconds(now);
  const bool is_known = min_event_gap > 0 && gap > 0;
  return is_known ? std::max(0.0, gap / min_event_gap - 1) : 0;
}

BackendLoad LoadOf(const TrackedBackend& backend, double min_event_gap,
                   TimePoint now) {
  return {.requests = backend.RequestsInProgress(now),
          .prefill_tokens = backend.PrefillTokens(now),
          .slowdown = backend.record.slowdown,
          .group_lag = GroupLagOf(backend, min_event_gap, now),
          .service_seconds = backend.service_time.seconds,
          .failure_rate = backend.ejection.failure_rate()};
}

// Cost of one more request at the backend, in units of one request in progress
// there. What a cached prefix saves is apart from it: the choices subtract or
// weigh that.
double CostOf(const TrackedBackend& backend, const CostFactors& factors,
              TimePoint now) {
  const bool is_engine = factors.spec != nullptr && factors.spec->engine;
  const EngineFigures* engine = is_engine ? &*factors.spec->engine : nullptr;
  const BackendLoad load = LoadOf(backend, factors.min_event_gap, now);
  const bool is_near = backend.record.zone == factors.own_zone;
  return LoadCost(load, engine) + (is_near ? 0 : factors.zone_penalty);
}

}  // namespace

BackendCandidates CandidatesFor(const std::vector<TrackedBackend*>& backends,
                                const CostFactors& factors, TimePoint now) {
  BackendCandidates candidates;
  candidates.reserve(backends.size());
  for (const TrackedBackend* backend : backends) {
    candidates.push_back(
        {.id = backend->record.id.value(),
         .cost = CostOf(*backend, factors, now),
         .slots = UsableSlots(*backend),
         .suspects = backend->own_prefill.suspects,
         .saving = factors.cached.SavingAt(backend->cache_index)});
  }
  return candidates;
}

}  // namespace mangohold
