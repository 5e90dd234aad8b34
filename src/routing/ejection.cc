#include "routing/ejection.h"

#include <algorithm>

namespace mangohold {
namespace {

// Weight of the newest result in the failure rate.
constexpr double kSmoothing = 0.2;
constexpr int kMaxDoublings = 4;

}  // namespace

void Ejection::OnServed() {
  consecutive_failures_ = 0;
  failure_rate_ -= kSmoothing * failure_rate_;
  previous_failure_rate_ = failure_rate_;
}

bool Ejection::OnFailed() {
  previous_failure_rate_ = failure_rate_;
  failure_rate_ += kSmoothing * (1 - failure_rate_);
  return ++consecutive_failures_ >= options_.failures_to_eject;
}

void Ejection::UndoLastFailure() {
  consecutive_failures_ = std::max(0, consecutive_failures_ - 1);
  failure_rate_ = std::min(failure_rate_, previous_failure_rate_);
}

void Ejection::Begin(TimePoint now) {
  ++consecutive_failures_;
  const int doublings = std::clamp(consecutive_failures_ - 1, 0, kMaxDoublings);
  ejected_until_ =
      now + std::min<Duration>(options_.max_time,
                               options_.base_time * (1 << doublings));
}

}  // namespace mangohold
