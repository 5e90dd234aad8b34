// Orders to arm a rank that have no answer, and until when one of them may
// still be carried out. No clock and no network.
#pragma once

#include <algorithm>
#include <optional>

#include "backend/engine_api.h"
#include "core/clock.h"

namespace mangohold {

class UnansweredArms {
 public:
  // Engines carry out an order that they left unanswered within this time.
  static constexpr std::chrono::seconds kLatestExecution{13};

  // A process that has just started doesn't know what the one before it sent.
  void OnStart(TimePoint now) { unknown_until_ = now + kLatestExecution; }

  // An order to arm for `pass` is being sent. There is one at a time.
  void OnSent(GroupEpoch epoch, PassNumber pass) {
    in_flight_ = {.epoch = epoch, .pass = pass};
  }
  // It was carried out or refused.
  void OnAnswered() { in_flight_.reset(); }
  // It got no answer within its time.
  void OnUnanswered(TimePoint now) {
    if (!in_flight_) return;
    Arm arm = *in_flight_;
    in_flight_.reset();
    if (last_ && last_->epoch == arm.epoch) {
      arm.pass = std::max(arm.pass, last_->pass);
    }
    last_ = arm;
    last_until_ = now + kLatestExecution;
  }

  // True if one may still arm the rank, which has begun `pass`. An order is
  // void once its pass has begun or the group has formed anew.
  bool MayArm(GroupEpoch epoch, PassNumber pass, TimePoint now) const {
    const auto may = [&](const std::optional<Arm>& arm) {
      return arm && arm->epoch == epoch && arm->pass > pass;
    };
    if (now < unknown_until_ || may(in_flight_)) return true;
    return may(last_) && now < last_until_;
  }

 private:
  struct Arm {
    GroupEpoch epoch;
    PassNumber pass;
  };

  TimePoint unknown_until_;
  std::optional<Arm> in_flight_;
  // The last pass of those that got no answer.
  std::optional<Arm> last_;
  TimePoint last_until_;
};

}  // namespace mangohold
