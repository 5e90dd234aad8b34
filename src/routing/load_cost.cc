#include "routing/load_cost.h"

#include <algorithm>

namespace mangohold {
namespace {

// Added cost of a backend that fails all its requests.
constexpr double kFailureCost = 8.0;
// Added cost of a group whose passes take twice as long as the fastest group's.
constexpr double kGroupLagCost = 2.0;
// Duration of a token step, in units of what one decoding request adds to it,
// for engines that don't publish these figures.
constexpr double kDefaultStepCost = 10;
// Cost of one second of service time, for services that aren't model engines.
constexpr double kCostPerServiceSecond = 20;

// All ranks of a group wait for the slowest one in each pass. A pass consists
// of token steps, each with a fixed part and a part per decoding request. A
// rank that is slower by the factor `slowdown` costs as much as the number of
// requests that would make a rank of the usual speed take equally long.
double SlowRankCost(double requests, double slowdown,
                    const EngineFigures& engine) {
  if (slowdown <= 1) return requests;
  const double step = engine.per_sequence_ms > 0
                          ? engine.step_ms / engine.per_sequence_ms
                          : kDefaultStepCost;
  return slowdown * (step + requests) - step;
}

// Estimates how much a rank delays its group's passes: by its requests, and by
// the prompt tokens that await prefill, counted in prompts of the usual size.
double RankCost(const BackendLoad& load, const EngineFigures& engine) {
  const double usual = std::max(1.0, engine.usual_prompt_tokens);
  const double requests = load.requests + load.prefill_tokens / usual;
  return SlowRankCost(requests, load.slowdown, engine) +
         kGroupLagCost * load.group_lag;
}

// Returns the expected wait, in units of one request.
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
