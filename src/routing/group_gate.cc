#include "routing/group_gate.h"

#include <algorithm>

#include "core/log.h"

namespace mangohold {
namespace {

// Refusals of two ranks count together within this time.
constexpr Millis kRefusalMemory{500};
// The pace of events is forgotten after this.
constexpr Millis kPaceMemory{1'000};
// Weight of the newest gap in the smoothed one.
constexpr double kSmoothing = 0.2;
// Events come in good time within this part of the longest pause, and are about
// to be late beyond the second one.
constexpr double kGoodPart = 0.6;
constexpr double kCriticalPart = 0.85;
// A slow start is adjusted this often, by these factors.
constexpr Millis kAdjustInterval{50};
constexpr double kGrowth = 1.15;
constexpr double kDecline = 0.8;

}  // namespace

bool GroupGate::IsStarting(TimePoint now) const {
  return started_at_ && now - *started_at_ < options_.longest_start;
}

bool GroupGate::MayPass(TimePoint now) const {
  if (is_closed()) return !trial_ && now >= next_try_;
  return !IsStarting(now) || in_progress_ < most_in_progress_;
}

void GroupGate::OnSent(AttemptNumber number, Duration target_gap) {
  ++in_progress_;
  if (is_closed()) trial_ = number;
  if (target_gap > Duration(0)) target_gap_ = target_gap;
}

void GroupGate::OnEnded(AttemptNumber number) {
  --in_progress_;
  if (trial_ == number) trial_.reset();
}

bool GroupGate::OnRefused(const InstanceId& rank, TimePoint now) {
  const bool has_second = !refused_by_.empty() && refused_by_ != rank &&
                          now - refused_at_ <= kRefusalMemory;
  const bool is_closing = has_second || is_closed();
  refused_by_ = rank;
  refused_at_ = now;
  if (!is_closing) return false;
  if (!closed_since_) closed_since_ = now;
  next_try_ = now + options_.retry;
  return true;
}

void GroupGate::OnBegun(const InstanceId& rank, TimePoint sent, TimePoint now) {
  if (is_closed()) {
    started_at_ = now;
    adjusted_at_ = now;
    most_in_progress_ = std::max(1.0, options_.first_part * places_);
  }
  refused_by_ = InstanceId();
  closed_since_.reset();
  trial_.reset();
  standstill_.OnBegun(rank, sent, now);
}

void GroupGate::OnEventGap(const InstanceId& rank, Duration gap,
                           TimePoint now) {
  const bool is_fresh = now - gap_at_ <= kPaceMemory;
  const double seconds = ToSeconds(gap);
  gap_seconds_ =
      is_fresh ? gap_seconds_ + kSmoothing * (seconds - gap_seconds_) : seconds;
  gap_at_ = now;
  standstill_.OnEvent(rank, now);
  AdjustStart(gap, now);
}

// All streams of the group go by its passes, so that one gap tells of all.
void GroupGate::AdjustStart(Duration gap, TimePoint now) {
  if (!started_at_ || now - adjusted_at_ < kAdjustInterval) return;
  adjusted_at_ = now;
  if (gap <= target_gap_ * kGoodPart) {
    most_in_progress_ *= kGrowth;
  } else if (gap > target_gap_ * kCriticalPart) {
    most_in_progress_ = std::max(1.0, most_in_progress_ * kDecline);
  }
  if (IsStarting(now) && most_in_progress_ < places_) return;
  Log(LogLevel::kInfo, "group_started", {{"ms", ToMillis(now - *started_at_)}});
  started_at_.reset();
}

std::optional<Duration> GroupGate::ExpectedWait(TimePoint now) const {
  if (!closed_since_) return std::nullopt;
  return now - *closed_since_;
}

double GroupGate::GapSeconds(TimePoint now) const {
  return now - gap_at_ <= kPaceMemory ? gap_seconds_ : 0;
}

}  // namespace mangohold
