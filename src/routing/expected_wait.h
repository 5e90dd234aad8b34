// Estimates how long a request waits for a place at a service's backends.
#pragma once

#include <optional>

#include "core/clock.h"

namespace mangohold {

// What this entry knows of the backends of one service that may get requests.
struct ServiceCapacity {
  // Of backends without a stated request limit.
  double slots = 0;
  // Of all backends: the sum of their smoothed service times, in seconds, and
  // the number of those that have served a request.
  double service_seconds = 0;
  int served = 0;
  // Of backends with a stated request limit: this entry's share, in requests
  // per second, and the time until the first of them may get a request.
  double limited_per_s = 0;
  std::optional<Duration> first_limited;
  int entries = 1;  // that share the slots
};

// Expected wait of a request with `ahead` others before it; absent if no
// backend will take one from this entry. While all slots are taken, requests
// are sent at the rate at which this entry's share of them becomes free.
std::optional<Duration> ExpectedWait(const ServiceCapacity& capacity,
                                     int ahead);

}  // namespace mangohold
