// This entry's quotas of the limits of a backend that all entries share.
#pragma once

#include <limits>

#include "config/deployment.h"
#include "core/ids.h"
#include "routing/entry_quota.h"

namespace mangohold {

struct BackendQuotas {
  int max_per_second = std::numeric_limits<int>::max();
  int max_connections = std::numeric_limits<int>::max();
};

// All entries together may send a backend `overrun` times its cold rate plus
// `slack` requests per second.
struct ColdRateMargin {
  double overrun = 1.0;
  double slack = 0;
};

// The quotas at a backend of the service. `spec` is null for an unknown
// service, which has no limits.
BackendQuotas QuotasAt(const InstanceId& backend, const ServiceSpec* spec,
                       const EntryQuota& entry_quota, ColdRateMargin margin);

}  // namespace mangohold
