// Estimates how long a request waits for a backend of its service, from what
// this entry knows of the backends. Does no I/O and reads no clock.
#pragma once

#include <optional>

#include "core/clock.h"
#include "core/ids.h"
#include "routing/backend_notices.h"
#include "routing/backend_rate_limits.h"
#include "routing/backend_table.h"

namespace mangohold {

// Expected wait for a service without backends to get one.
inline constexpr Millis kNoBackendWait{500};
// Expected wait for backends of whose request limits this entry has no share.
inline constexpr Millis kNoShareWait{1'000};

// What an estimate is based on.
struct WaitFactors {
  const BackendTable& table;
  const BackendNotices& notices;
  BackendRateLimits& limits;
};

// Expected wait of a request with `ahead` others of its service before it;
// absent if no backend will take one from this entry.
std::optional<Duration> ServiceWait(const ServiceName& service, int ahead,
                                    const WaitFactors& factors, TimePoint now);
// True if a backend of the service states a request limit.
bool HasLimits(const ServiceName& service, const WaitFactors& factors,
               TimePoint now);

}  // namespace mangohold
