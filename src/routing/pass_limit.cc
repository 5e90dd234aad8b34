#include "routing/pass_limit.h"

#include <algorithm>
#include <cmath>

namespace mangohold {
namespace {

// Gaps longer than this many target gaps come from a group that stands still,
// not from its load.
constexpr double kMaxGapsOfLoad = 3;

// Duration of a pass on ranks that run `requests` each, in seconds.
double EvenPassSeconds(const EngineFigures& engine, double requests) {
  const double step_ms = engine.step_ms + engine.per_sequence_ms * requests;
  return engine.steps_per_pass * step_ms / 1000.0;
}

bool HasFigures(const EngineFigures& engine) {
  return engine.step_ms > 0 && engine.per_sequence_ms > 0 &&
         engine.steps_per_pass > 0;
}

}  // namespace

double PassLimit::FactorAt(TimePoint now) const {
  const double half_lives =
      ToSeconds(now - updated_) / ToSeconds(options_.half_life);
  return factor_ * std::exp2(-std::max(0.0, half_lives));
}

void PassLimit::OnGap(double gap_seconds, double requests,
                      const EngineFigures& engine, TimePoint now) {
  if (gap_seconds <= 0 || !HasFigures(engine)) return;
  const double seen = gap_seconds / EvenPassSeconds(engine, requests);
  factor_ = std::max(seen, FactorAt(now));
  updated_ = now;
}

int PassLimit::MaxRequests(int slots, const EngineFigures& engine,
                           Millis target_gap, TimePoint now) const {
  const double factor = FactorAt(now);
  if (factor <= 0 || target_gap <= Millis(0) || !HasFigures(engine)) {
    return slots;
  }
  const double target = ToSeconds(target_gap);
  const double even_pass =
      options_.gap_fraction * target / std::min(factor, kMaxGapsOfLoad);
  const double step_ms = even_pass * 1000.0 / engine.steps_per_pass;
  const double requests = (step_ms - engine.step_ms) / engine.per_sequence_ms;
  const int least = std::max(
      1, static_cast<int>(std::ceil(slots * options_.min_slot_fraction)));
  return std::clamp(static_cast<int>(std::floor(requests)), least,
                    std::max(least, slots));
}

}  // namespace mangohold
