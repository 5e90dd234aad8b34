#include "routing/backend_quotas.h"

namespace mangohold {

// Limits the requests per second that all entries together send to a backend to
// the rate that a cold one sustains. The limit always applies, because a
// backend becomes cold without notice. The limits are divided among one entry
// more than is known, since a new one may be sending before this one learns of
// it.
BackendQuotas QuotasAt(const InstanceId& backend, const ServiceSpec* spec,
                       const EntryQuota& entry_quota, ColdRateMargin margin) {
  BackendQuotas quotas;
  if (spec == nullptr) return quotas;
  const double entries = entry_quota.entries();
  const auto quota_for = [&](double all) {
    return entry_quota.QuotaFor(all * entries / (entries + 1), backend);
  };
  if (spec->max_connections > 0) {
    quotas.max_connections = quota_for(spec->max_connections);
  }
  if (spec->cold_per_s <= 0) return quotas;
  const double max_rate = spec->cold_per_s * margin.overrun + margin.slack;
  if (max_rate > 0) quotas.max_per_second = quota_for(max_rate);
  return quotas;
}

}  // namespace mangohold
