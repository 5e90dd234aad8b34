#include "group/pass_forecast.h"

#include <algorithm>
#include <cmath>

namespace mangohold {
namespace {

// Minimum and maximum distance of a hold from the last pass, in passes.
constexpr std::uint64_t kMinPassesAhead = 3;
constexpr std::uint64_t kMaxPassesAhead = 100;
// Factor by which the expected arming time exceeds the measured one.
constexpr double kArmingMargin = 1.3;
constexpr std::chrono::seconds kMaxArmingTime(4);
constexpr std::chrono::seconds kRatePeriod(1);
constexpr double kPassRateSmoothing = 0.3;

}  // namespace

void PassForecast::OnNewEpoch() {
  passes_per_s_ = 0;
  rate_measured_at_ = TimePoint();
}

void PassForecast::OnStatus(PassNumber last, TimePoint now) {
  const bool is_first = rate_measured_at_ == TimePoint();
  if (!is_first && now - rate_measured_at_ <= kRatePeriod) return;
  if (!is_first && last > rate_pass_) {
    const double rate = static_cast<double>(last.value() - rate_pass_.value()) /
                        ToSeconds(now - rate_measured_at_);
    passes_per_s_ =
        passes_per_s_ == 0
            ? rate
            : passes_per_s_ + kPassRateSmoothing * (rate - passes_per_s_);
  }
  rate_pass_ = last;
  rate_measured_at_ = now;
}

void PassForecast::OnReleased(TimePoint now) {
  if (arming_began_ == TimePoint()) return;
  const auto took = std::chrono::duration_cast<Duration>((now - arming_began_) *
                                                         kArmingMargin);
  expected_arming_time_ = std::min<Duration>(
      kMaxArmingTime, std::max(took, (expected_arming_time_ + took) / 2));
  arming_began_ = TimePoint();
}

PassNumber PassForecast::Choose(PassNumber last) const {
  const Duration arming = std::max(min_arming_time_, expected_arming_time_);
  const auto ahead =
      static_cast<std::uint64_t>(std::ceil(passes_per_s_ * ToSeconds(arming)));
  return PassNumber(last.value() +
                    std::clamp(ahead + 1, kMinPassesAhead, kMaxPassesAhead));
}

}  // namespace mangohold
