#include "routing/standstill.h"

#include <algorithm>

namespace mangohold {
namespace {

// One that gives no sign for this long may stand still.
constexpr Millis kLeastSilence{1'000};
// An answer that hasn't begun after so many times the usual wait is overdue.
constexpr double kOverdue = 4;
// Streams of others that brought an event within this time go on.
constexpr Millis kGoesOn{250};
// So many answers that were asked for later have to have begun elsewhere.
constexpr int kLaterAnswers = 3;
constexpr std::size_t kAnswersKept = 16;
// Weight of the newest wait.
constexpr double kSmoothing = 0.1;

}  // namespace

void Standstill::OnBegun(const InstanceId& backend, TimePoint sent,
                         TimePoint now) {
  const double wait = ToSeconds(now - sent);
  usual_wait_seconds_ =
      begun_.empty()
          ? wait
          : usual_wait_seconds_ + kSmoothing * (wait - usual_wait_seconds_);
  begun_.push_back({.backend = backend, .sent = sent});
  if (begun_.size() > kAnswersKept) begun_.pop_front();
  OnEvent(backend, now);
}

void Standstill::OnEvent(const InstanceId& backend, TimePoint now) {
  signs_[backend] = {.last = now, .left = std::nullopt};
}

void Standstill::OnLeft(const InstanceId& backend, TimePoint now) {
  signs_[backend].left = now;
}

bool Standstill::IsSuspect(const InstanceId& backend) const {
  const auto signs = signs_.find(backend);
  return signs != signs_.end() && signs->second.left.has_value();
}

bool Standstill::IsStuck(const Attempt& attempt, TimePoint now) const {
  const TimePoint heard = attempt.last_event.value_or(attempt.sent);
  if (now - heard < kLeastSilence) return false;
  if (attempt.last_event) return DoOthersGoOn(attempt.backend, now);
  const auto signs = signs_.find(attempt.backend);
  if (signs != signs_.end()) {
    const auto& [last, left] = signs->second;
    // One that gives signs will come to this request.
    if (last && now - *last < kLeastSilence) return false;
    if (left && now - *left <= kLeastSilence) {
      return DoOthersGoOn(attempt.backend, now);
    }
  }
  return HaveLaterOnesBegun(attempt, now);
}

bool Standstill::DoOthersGoOn(const InstanceId& backend, TimePoint now) const {
  return std::ranges::any_of(signs_, [&](const auto& item) {
    const auto& [id, signs] = item;
    return id != backend && signs.last && now - *signs.last <= kGoesOn;
  });
}

bool Standstill::HaveLaterOnesBegun(const Attempt& attempt,
                                    TimePoint now) const {
  const bool is_overdue =
      ToSeconds(now - attempt.sent) >= kOverdue * usual_wait_seconds_;
  const auto later = std::ranges::count_if(begun_, [&](const Begun& begun) {
    return begun.backend != attempt.backend && begun.sent > attempt.sent;
  });
  return is_overdue && later >= kLaterAnswers;
}

}  // namespace mangohold
