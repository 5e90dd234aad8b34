// What a backend server's load costs the next request that goes there, so that
// those that may be sent to can be compared. No clock and no network.
#pragma once

#include "config/deployment.h"

namespace mangohold {

// A backend server as one entry knows it.
struct BackendLoad {
  int requests = 0;        // in progress there, of all entries
  int prefill_tokens = 0;  // prompt tokens of these that wait to be read
  double pace = 1;         // how many times as long as usual it takes
  double slowdown = 0;     // by how much its group's passes take longer than
                           // the fastest group's, as a share of these
  double service_seconds = 0;  // of a request, smoothed; 0: none served yet
  double failure_rate = 0;     // of its latest requests
};

// The cost in units of one request in progress. `engine` has the figures of a
// model engine; null: another service.
double LoadCost(const BackendLoad& load, const EngineFigures* engine);

}  // namespace mangohold
