// Estimates what a backend's current load costs the next request sent there, so
// that eligible backends can be compared. Does no I/O and reads no clock.
#pragma once

#include "config/deployment.h"

namespace mangohold {

// Load and health of a backend as one entry knows them.
struct BackendLoad {
  int requests = 0;        // in progress there, from all entries
  int prefill_tokens = 0;  // prompt tokens of these that await prefill
  double slowdown = 1;     // processing time relative to the usual one
  double group_lag = 0;    // by which fraction its group's passes take longer
                           // than those of the fastest group
  double service_seconds = 0;  // of a request, smoothed; 0: none served yet
  double failure_rate = 0;     // of its latest requests, 0 to 1
};

// Returns the cost in units of one request in progress. `engine` holds the
// figures of a model engine; null for a service without one.
double LoadCost(const BackendLoad& load, const EngineFigures* engine);

}  // namespace mangohold
