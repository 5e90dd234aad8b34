#include "routing/load_cost.h"

#include <algorithm>

namespace mangohold {
namespace {

// Cost of a backend server that fails all its requests.
constexpr double kFailureCost = 8.0;
// Cost of a group whose passes take twice as long as another's.
constexpr double kSlowdownCost = 2.0;
// A token step in requests that write, where their figures aren't published.
constexpr double kDefaultStepCost = 10;
// Requests in progress for each second of a request's time, for services that
// aren't model engines.
constexpr double kCostPerServiceSecond = 20;

// All ranks of a group wait for the slowest one's part of a pass: the steps,
// and in each of them the requests that write. A rank that takes longer for
// both costs as much as so many more requests would at the usual pace.
double PacedCost(double requests, double pace, const EngineFigures& engine) {
  if (pace <= 1) return requests;
  const double step = engine.per_sequence_ms > 0
                          ? engine.step_ms / engine.per_sequence_ms
                          : kDefaultStepCost;
  return pace * (step + requests) - step;
}

// What a rank adds to the pass of its group: requests that write, and prompt
// tokens that wait to be read.
double RankCost(const BackendLoad& load, const EngineFigures& engine) {
  const double usual = std::max(1.0, engine.usual_prompt_tokens);
  const double requests = load.requests + load.prefill_tokens / usual;
  return PacedCost(requests, load.pace, engine) + kSlowdownCost * load.slowdown;
}

// The expected wait, in units of one request.
double ServiceCost(const BackendLoad& load) {
  if (load.service_seconds <= 0) return load.requests;
  return (load.requests + 1) * load.service_seconds * kCostPerServiceSecond;
}

}  // namespace

double LoadCost(const BackendLoad& load, const EngineFigures* engine) {
  const double cost =
      engine == nullptr ? ServiceCost(load) : RankCost(load, *engine);
  return cost + kFailureCost * load.failure_rate;
}

}  // namespace mangohold
