// Tracks orders to arm a rank that got no answer, and until when the engine may
// still execute one of them. Uses neither clock nor network.
#pragma once

#include <algorithm>
#include <optional>

#include "backend/engine_api.h"
#include "core/clock.h"

namespace mangohold {

class UnansweredArmOrders {
 public:
  // An engine executes an order that it left unanswered within this time, or
  // not at all.
  static constexpr std::chrono::seconds kMaxExecutionDelay{13};

  // To be called at the start of the process, which doesn't know the orders
  // sent by its predecessor.
  void OnProcessStart(TimePoint now) {
    unknown_orders_until_ = now + kMaxExecutionDelay;
  }

  // An order to arm for `pass` is being sent. At most one is in flight.
  void OnSent(GroupEpoch epoch, PassNumber pass) {
    in_flight_ = {.epoch = epoch, .pass = pass};
  }
  // The order in flight was executed or refused.
  void OnAnswered() { in_flight_.reset(); }
  // The order in flight timed out.
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

  // True if an earlier order may still arm the rank, whose last started pass is
  // `pass`. An order is void once its pass has started or the group has formed
  // again.
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
  // The highest pass of the unanswered orders of one epoch, which may be
  // executed until `latest_expires_at_`.
  std::optional<ArmOrder> latest_unanswered_;
  TimePoint latest_expires_at_;
};

}  // namespace mangohold
