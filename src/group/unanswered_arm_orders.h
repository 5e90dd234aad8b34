// Orders to arm a rank that have no answer, and until when one of them may
// still be carried out. No clock and no network.
#pragma once

#include <algorithm>
#include <optional>

#include "backend/engine_api.h"
#include "core/clock.h"

namespace mangohold {

class UnansweredArmOrders {
 public:
  // Engines carry out an order that they left unanswered within this time.
  static constexpr std::chrono::seconds kMaxExecutionDelay{13};

  // A process that has just started doesn't know what the one before it sent.
  void OnProcessStart(TimePoint now) {
    unknown_orders_until_ = now + kMaxExecutionDelay;
  }

  // An order to arm for `pass` is being sent. There is one at a time.
  void OnSent(GroupEpoch epoch, PassNumber pass) {
    in_flight_ = {.epoch = epoch, .pass = pass};
  }
  // It was carried out or refused.
  void OnAnswered() { in_flight_.reset(); }
  // It got no answer within its time.
  void OnUnanswered(TimePoint now) {
    if (!in_flight_) return;
    ArmOrder order = *in_flight_;
    in_flight_.reset();
    if (latest_unanswered_ && latest_unanswered_->epoch == order.epoch) {
      order.pass = std::max(order.pass, latest_unanswered_->pass);
    }
    latest_unanswered_ = order;
    latest_expires_at_ = now + kMaxExecutionDelay;
  }

  // True if one may still arm the rank, which has begun `pass`. An order is
  // void once its pass has begun or the group has formed anew.
  bool MayArm(GroupEpoch epoch, PassNumber pass, TimePoint now) const {
    const auto may_execute = [&](const std::optional<ArmOrder>& order) {
      return order && order->epoch == epoch && order->pass > pass;
    };
    if (now < unknown_orders_until_ || may_execute(in_flight_)) return true;
    return may_execute(latest_unanswered_) && now < latest_expires_at_;
  }

 private:
  struct ArmOrder {
    GroupEpoch epoch;
    PassNumber pass;
  };

  TimePoint unknown_orders_until_;
  std::optional<ArmOrder> in_flight_;
  // The last pass of those that got no answer.
  std::optional<ArmOrder> latest_unanswered_;
  TimePoint latest_expires_at_;
};

}  // namespace mangohold
