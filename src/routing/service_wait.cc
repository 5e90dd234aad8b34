#include "routing/service_wait.h"

#include <algorithm>

#include "routing/expected_wait.h"

namespace mangohold {
namespace {

// When the first of the service's backends ends its backoff; absent unless all
// that aren't leaving are in backoff.
std::optional<TimePoint> EarliestBackoffEnd(const ServiceName& service,
                                            const WaitFactors& factors,
                                            TimePoint now) {
  std::optional<TimePoint> first;
  for (const TrackedBackend* backend : factors.table.BackendsOf(service)) {
    const InstanceId& id = backend->record.id;
    if (factors.notices.IsLeaving(id)) continue;
    const TimePoint until = factors.notices.BackoffUntil(id);
    if (until <= now) return std::nullopt;
    first = std::min(first.value_or(until), until);
  }
  return first;
}

void AddCapacityOf(const TrackedBackend& backend, BackendRateLimits& limits,
                   TimePoint now, ServiceCapacity& capacity) {
  const double service_seconds = backend.service_time.seconds;
  capacity.service_seconds += service_seconds;
  capacity.served += service_seconds > 0 ? 1 : 0;
  const InstanceId& id = backend.record.id;
  const auto limit = limits.Find(id, now);
  if (!limit) {
    capacity.slots += UsableSlots(backend);
    return;
  }
  capacity.limited_per_s += limit->own_per_s;
  const Duration next = limits.TimeToNext(id, now).value_or(kNoShareWait);
  capacity.first_limited =
      std::min(capacity.first_limited.value_or(next), next);
}

ServiceCapacity CapacityOf(const ServiceName& service,
                           const WaitFactors& factors, TimePoint now) {
  ServiceCapacity capacity{.entries = factors.table.entry_quota().entries()};
  for (const TrackedBackend* backend : factors.table.BackendsOf(service)) {
    if (backend->gate->is_closed()) continue;
    AddCapacityOf(*backend, factors.limits, now, capacity);
  }
  return capacity;
}

}  // namespace

std::optional<Duration> ServiceWait(const ServiceName& service, int ahead,
                                    const WaitFactors& factors, TimePoint now) {
  if (const auto wait = factors.table.GroupWait(service, now)) return *wait;
  if (!factors.table.HasBackends(service)) return kNoBackendWait;
  if (const auto until = EarliestBackoffEnd(service, factors, now)) {
    return *until - now;
  }
  return ExpectedWait(CapacityOf(service, factors, now), ahead);
}

bool HasLimits(const ServiceName& service, const WaitFactors& factors,
               TimePoint now) {
  return std::ranges::any_of(factors.table.BackendsOf(service),
                             [&](const TrackedBackend* backend) {
                               const InstanceId& id = backend->record.id;
                               return factors.limits.Find(id, now).has_value();
                             });
}

}  // namespace mangohold
