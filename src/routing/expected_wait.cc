#include "routing/expected_wait.h"

#include <algorithm>

namespace mangohold {
namespace {

// Assumed service time while no backend of a service has served a request.
constexpr double kDefaultServiceSeconds = 1.0;

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

std::optional<Duration> ExpectedWait(const ServiceCapacity& capacity,
                                     int ahead) {
  const bool is_all_limited = capacity.slots <= 0 && capacity.first_limited;
  if (is_all_limited) {
    if (capacity.limited_per_s <= 0) return std::nullopt;
    return *capacity.first_limited +
           FromSeconds(ahead / capacity.limited_per_s);
  }
  const double service_seconds =
      capacity.served > 0 ? capacity.service_seconds / capacity.served
                          : kDefaultServiceSeconds;
  const double share = std::max(1.0, capacity.slots / capacity.entries);
  if (!capacity.first_limited) {
    return FromSeconds(service_seconds / share * (ahead + 1));
  }
  const double per_s = share / service_seconds + capacity.limited_per_s;
  return FromSeconds((ahead + 1) / per_s);
}

}  // namespace mangohold
