#include "routing/eligibility.h"

#include <algorithm>
#include <iterator>

#include "routing/priority_reserve.h"

namespace mangohold {
namespace {

bool HasTried(const DispatchQuery& query, const InstanceId& backend) {
  return std::ranges::find(query.tried, backend) != query.tried.end();
}

// A backend that may be stuck gets one request at a time.
bool IsHeldBackAsSuspect(const TrackedBackend& backend) {
  return backend.own_requests > 0 &&
         backend.gate->stuck_detector().IsSuspect(backend.record.id);
}

bool HasRateLeft(const TrackedBackend& backend, TimePoint now) {
  return static_cast<int>(backend.recent.Count(now)) <
         backend.quotas.max_per_second;
}

bool HasFreeSlot(const TrackedBackend& backend, double reserved_fraction,
                 TimePoint now) {
  const int slots = UsableSlots(backend);
  return backend.RequestsInProgress(now) <
         slots - ReservedSlots(reserved_fraction, slots);
}

// True if this entry may send the backend a request now, whichever it is.
bool MayGetRequests(const TrackedBackend& backend,
                    const EligibilityRules& rules, TimePoint now) {
  const InstanceId& id = backend.record.id;
  if (backend.is_replaced || backend.ejection.IsEjected(now)) return false;
  if (!backend.gate->MayPass(now)) return false;
  if (IsHeldBackAsSuspect(backend)) return false;
  if (!rules.notices.IsAvailable(id, now)) return false;
  if (!HasFreeSlot(backend, rules.reserved_fraction, now)) return false;
  if (backend.quotas.max_connections == 0) return false;
  return rules.limits.MaySend(id, now) && HasRateLeft(backend, now);
}

// True if the request may run at the backend and has not tried it.
bool MayRunAt(const DispatchQuery& query, const BackendRecord& backend) {
  if (HasTried(query, backend.id)) return false;
  return query.zones.empty() ||
         std::ranges::find(query.zones, backend.zone) != query.zones.end();
}

}  // namespace

std::vector<TrackedBackend*> EligibleBackends(BackendTable& table,
                                              const DispatchQuery& query,
                                              const EligibilityRules& rules,
                                              TimePoint now) {
  std::vector<TrackedBackend*> eligible;
  std::ranges::copy_if(table.BackendsOf(query.service),
                       std::back_inserter(eligible),
                       [&](const TrackedBackend* backend) {
                         return MayRunAt(query, backend->record) &&
                                MayGetRequests(*backend, rules, now);
                       });
  return eligible;
}

bool HasTriedAll(const DispatchQuery& query, const BackendTable& table) {
  if (query.tried.empty() || !table.HasBackends(query.service)) return false;
  return std::ranges::all_of(table.BackendsOf(query.service),
                             [&](const TrackedBackend* backend) {
                               return HasTried(query, backend->record.id);
                             });
}

}  // namespace mangohold
