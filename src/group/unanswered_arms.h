// Orders to arm a rank that got no answer, and until when one of them may still
// be carried out. No clock and no network.
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

  // An order to arm for `pass` got no answer.
  void OnUnanswered(GroupEpoch epoch, PassNumber pass, TimePoint now) {
    if (!last_ || last_->epoch != epoch) last_ = {.epoch = epoch, .pass = pass};
    last_->pass = std::max(last_->pass, pass);
    last_->until = now + kLatestExecution;
  }

  // True if one may still arm the rank, which has begun `pass`. An order is
  // void once its pass has begun or the group has formed anew.
  bool MayArm(GroupEpoch epoch, PassNumber pass, TimePoint now) const {
    if (now < unknown_until_) return true;
    return last_ && last_->epoch == epoch && last_->pass > pass &&
           now < last_->until;
  }

 private:
  struct Arm {
    GroupEpoch epoch;
    PassNumber pass;  // the last of those that got no answer
    TimePoint until;
  };

  TimePoint unknown_until_;
  std::optional<Arm> last_;
};

}  // namespace mangohold
