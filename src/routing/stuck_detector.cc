#include "routing/stuck_detector.h"

#include <algorithm>

namespace mangohold {
namespace {

// A backend without activity for this long may be stuck.
constexpr Millis kMinSilence{1'000};
// A response is overdue if it hasn't started after this many times the mean
// wait.
constexpr double kOverdueFactor = 4;
// A backend with activity within this time is making progress.
constexpr Millis kActivityWindow{250};
// Number of later requests whose responses must have started at other backends.
constexpr int kMinLaterStarts = 3;
constexpr std::size_t kMaxRecentStarts = 16;
// Weight of the newest wait in the mean.
constexpr double kSmoothing = 0.1;

}  // namespace

void StuckDetector::OnResponseStarted(const InstanceId& backend, TimePoint sent,
                                      TimePoint now) {
  const double wait = ToSeconds(now - sent);
  mean_wait_seconds_ =
      recent_starts_.empty()
          ? wait
          : mean_wait_seconds_ + kSmoothing * (wait - mean_wait_seconds_);
  recent_starts_.push_back({.backend = backend, .sent = sent});
  if (recent_starts_.size() > kMaxRecentStarts) recent_starts_.pop_front();
  OnEvent(backend, now);
}

void StuckDetector::OnEvent(const InstanceId& backend, TimePoint now) {
  activity_[backend] = {.last_seen = now, .abandoned = std::nullopt};
}

void StuckDetector::OnAbandoned(const InstanceId& backend, TimePoint now) {
  activity_[backend].abandoned = now;
}

bool StuckDetector::IsSuspect(const InstanceId& backend) const {
  const auto activity = activity_.find(backend);
  return activity != activity_.end() && activity->second.abandoned.has_value();
}

bool StuckDetector::IsStuck(const Attempt& attempt, TimePoint now) const {
  const TimePoint last_progress = attempt.last_event.value_or(attempt.sent);
  if (now - last_progress < kMinSilence) return false;
  if (attempt.last_event) return AreOthersActive(attempt.backend, now);
  const auto activity = activity_.find(attempt.backend);
  if (activity != activity_.end()) {
    const auto& [last_seen, abandoned] = activity->second;
    // An active backend will get to this request in its queue.
    if (last_seen && now - *last_seen < kMinSilence) return false;
    // An attempt at the backend was just abandoned: check the others the same
    // way as streams, without waiting until they are overdue.
    if (abandoned && now - *abandoned <= kMinSilence) {
      return AreOthersActive(attempt.backend, now);
    }
  }
  return HaveLaterRequestsStarted(attempt, now);
}

bool StuckDetector::AreOthersActive(const InstanceId& backend,
                                    TimePoint now) const {
  return std::ranges::any_of(activity_, [&](const auto& item) {
    const auto& [id, activity] = item;
    return id != backend && activity.last_seen &&
           now - *activity.last_seen <= kActivityWindow;
  });
}

bool StuckDetector::HaveLaterRequestsStarted(const Attempt& attempt,
                                             TimePoint now) const {
  const bool is_overdue =
      ToSeconds(now - attempt.sent) >= kOverdueFactor * mean_wait_seconds_;
  const auto later =
      std::ranges::count_if(recent_starts_, [&](const ResponseStart& start) {
        return start.backend != attempt.backend && start.sent > attempt.sent;
      });
  return is_overdue && later >= kMinLaterStarts;
}

}  // namespace mangohold
