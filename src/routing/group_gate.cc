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
// Passes of a settled group take at most so many times an even one's time.
constexpr int kEvenFactor = 2;
// So many gaps in a row show it.
constexpr int kEvenGaps = 2;
// The time that a group usually settles for.
constexpr Millis kUsualSettling{800};
constexpr Millis kLeastWait{50};

}  // namespace

bool GroupGate::IsSettling(TimePoint now) const {
  return settling_since_ && now - *settling_since_ < options_.longest_settling;
}

bool GroupGate::MayPass(TimePoint now) const {
  if (is_closed()) return !trial_ && now >= next_try_;
  return !IsSettling(now) || in_progress_ < options_.most_while_settling;
}

void GroupGate::OnSent(AttemptNumber number) {
  ++in_progress_;
  if (is_closed()) trial_ = number;
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
  if (is_closed() && even_pass_ > Duration(0)) {
    settling_since_ = now;
    even_gaps_ = 0;
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
  if (settling_since_) NoteSettling(gap, now);
}

void GroupGate::NoteSettling(Duration gap, TimePoint now) {
  even_gaps_ = gap <= even_pass_ * kEvenFactor ? even_gaps_ + 1 : 0;
  if (even_gaps_ < kEvenGaps) return;
  Log(LogLevel::kInfo, "group_settled",
      {{"ms", ToMillis(now - *settling_since_)}});
  settling_since_.reset();
}

std::optional<Duration> GroupGate::ExpectedWait(TimePoint now) const {
  if (closed_since_) return now - *closed_since_;
  if (!IsSettling(now)) return std::nullopt;
  return std::max<Duration>(kLeastWait,
                            kUsualSettling - (now - *settling_since_));
}

double GroupGate::GapSeconds(TimePoint now) const {
  return now - gap_at_ <= kPaceMemory ? gap_seconds_ : 0;
}

}  // namespace mangohold
