#include "routing/group_gate.h"

namespace mangohold {
namespace {

// Refusals of two ranks within this time close the group.
constexpr Millis kRefusalWindow{500};
// Age at which the measured time between events expires.
constexpr Millis kEventGapTtl{1'000};
// Weight of the newest gap in the smoothed one.
constexpr double kSmoothing = 0.2;

}  // namespace

bool GroupGate::MayPass(TimePoint now) const {
  return !is_closed() || (!probe_ && now >= next_probe_);
}

void GroupGate::OnSent(AttemptNumber number) {
  if (is_closed()) probe_ = number;
}

void GroupGate::OnEnded(AttemptNumber number) {
  if (probe_ == number) probe_.reset();
}

bool GroupGate::OnRefused(const InstanceId& rank, TimePoint now) {
  const bool has_second = !refused_by_.empty() && refused_by_ != rank &&
                          now - refused_at_ <= kRefusalWindow;
  const bool is_closing = has_second || is_closed();
  refused_by_ = rank;
  refused_at_ = now;
  if (!is_closing) return false;
  if (!closed_since_) closed_since_ = now;
  next_probe_ = now + options_.probe_interval;
  return true;
}

void GroupGate::OnResponseStarted(const InstanceId& rank, TimePoint sent,
                                  TimePoint now) {
  refused_by_ = InstanceId();
  closed_since_.reset();
  probe_.reset();
  stuck_detector_.OnResponseStarted(rank, sent, now);
}

void GroupGate::OnEventGap(const InstanceId& rank, Duration gap,
                           TimePoint now) {
  const bool is_fresh = now - gap_updated_ <= kEventGapTtl;
  const double seconds = ToSeconds(gap);
  gap_seconds_ =
      is_fresh ? gap_seconds_ + kSmoothing * (seconds - gap_seconds_) : seconds;
  gap_updated_ = now;
  stuck_detector_.OnEvent(rank, now);
}

std::optional<Duration> GroupGate::ExpectedWait(TimePoint now) const {
  if (!closed_since_) return std::nullopt;
  return now - *closed_since_;
}

double GroupGate::GapSeconds(TimePoint now) const {
  return now - gap_updated_ <= kEventGapTtl ? gap_seconds_ : 0;
}

}  // namespace mangohold
