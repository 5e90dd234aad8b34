// Which backends may get a request. Does no I/O and reads no clock.
#pragma once

#include <vector>

#include "core/clock.h"
#include "routing/backend_notices.h"
#include "routing/backend_rate_limits.h"
#include "routing/backend_table.h"
#include "routing/dispatch_query.h"
#include "routing/tracked_backend.h"

namespace mangohold {

// What bars requests from a backend, beside its own state.
struct EligibilityRules {
  const BackendNotices& notices;
  BackendRateLimits& limits;
  // Fraction of its slots that a backend keeps free of the request.
  double reserved_fraction = 0;
};

// The backends of the request's service to which it may be sent now.
std::vector<TrackedBackend*> EligibleBackends(BackendTable& table,
                                              const DispatchQuery& query,
                                              const EligibilityRules& rules,
                                              TimePoint now);
// True if the request has tried all backends of its service.
bool HasTriedAll(const DispatchQuery& query, const BackendTable& table);

}  // namespace mangohold
