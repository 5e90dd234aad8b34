#include "routing/ejection.h"

#include <algorithm>

namespace mangohold {
namespace {

// Weight of the newest outcome.
constexpr double kSmoothing = 0.2;
constexpr int kMostDoublings = 4;

}  // namespace

void Ejection::OnServed() {
  failures_ = 0;
  failure_share_ -= kSmoothing * failure_share_;
  share_before_ = failure_share_;
}

bool Ejection::OnFailed() {
  share_before_ = failure_share_;
  failure_share_ += kSmoothing * (1 - failure_share_);
  return ++failures_ >= options_.failures;
}

void Ejection::ForgiveLast() {
  failures_ = std::max(0, failures_ - 1);
  failure_share_ = std::min(failure_share_, share_before_);
}

void Ejection::Begin(TimePoint now) {
  ++failures_;
  const int doublings = std::clamp(failures_ - 1, 0, kMostDoublings);
  until_ = now + std::min<Duration>(options_.longest,
                                    options_.first * (1 << doublings));
}

}  // namespace mangohold
