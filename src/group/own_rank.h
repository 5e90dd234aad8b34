// The rank that this agent serves, as reported by its engine: the newest
// report, the expert choices of its requests, and the experts that it holds.
// Sends orders to the engine and tracks orders to arm that got no answer.
// Belongs to one event loop's thread.
#pragma once

#include <functional>
#include <optional>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "backend/engine_api.h"
#include "core/counters.h"
#include "group/confirmed_counts.h"
#include "group/confirmed_report.h"
#include "group/expert_lists.h"
#include "group/map_switch.h"
#include "group/unanswered_arm_orders.h"

namespace mangohold {

// Logs a failed call to an engine.
void LogEngineCall(std::string_view call, const absl::Status& status);

// Sends the order of `command` to the engine `at`, whose newest report is
// `report`, and logs the result. The engine refuses it in any other epoch of
// the group. A command without an order counts as refused.
void SendEngineOrder(EngineApi& engine, const Endpoint& at,
                     const RankReport& report, const RankCommand& command,
                     LeaderTerm term, std::function<void(OrderResult)> on_done);

class OwnRank {
 public:
  OwnRank(EngineApi& engine, Endpoint address, Counters& counters);

  // To be called once at the start of the process, which doesn't know the
  // orders sent by its predecessor.
  void OnProcessStart() { unanswered_arm_orders_.OnProcessStart(BootNow()); }
  struct PollHandlers {
    // The expert counts since the previous poll.
    std::function<void(const ExpertCounts&)> on_counts;
    // The experts of a new map were read.
    std::function<void()> on_holdings;
  };
  // Reads the report and the counts, and the experts unless those of the map in
  // use are known. Experts are used once two readings in a row agree.
  // No handler is called if the engine can't be reached or isn't a rank.
  void Poll(PollHandlers handlers);
  // The figures of the engine, against which its lists are checked, also those
  // that were read before.
  void SetLayout(const ExpertLayout& layout);
  // Reads the report, again if it has changed; see `ConfirmedReport`. `on_done`
  // is also called if that fails.
  void Refresh(std::function<void()> on_done);
  // Sends the order until it is answered, at most kOrderAttempts times, then
  // reads the report.
  void ExecuteOrder(const RankCommand& command, LeaderTerm term,
                    std::function<void()> on_done);

  // The newest confirmed report; null while the engine can't be reached.
  const RankReport* report() const { return confirmed_.report(); }
  // True if the engine reports that it is a rank of a group.
  bool is_in_group() const { return report() && !report()->group.empty(); }
  // True while a change that a map switch waits for is pending: the group isn't
  // open yet, a map is being prepared or is armed, or the experts of the map in
  // use haven't been read.
  bool HasPendingTransition() const;
  // True if the experts of the map in use have been read.
  bool AreHoldingsKnown() const;
  // The status of the rank; `term`, `agent`, `granted`, `ready_for` and
  // `missing` are left to the caller. Empty without a report.
  RankStatus Status() const;

 private:
  void ReadReport(int reads_left, std::function<void()> on_done);
  void OnReportLost(const absl::Status& status);
  void LogChange(const std::optional<RankReport>& before) const;
  void ReadCounts(PollHandlers handlers);
  void ReadHoldings(int reads_left, std::function<void()> on_holdings);
  bool AreValid(const ExpertLists& lists);
  void ExecuteWithRetries(const RankCommand& command, LeaderTerm term,
                          int attempts, std::function<void()> on_done);
  void OnOrderResult(const RankCommand& command, OrderResult result);

  EngineApi& engine_;
  Endpoint address_;
  Counters& counters_;
  ConfirmedReport confirmed_;
  ExpertLayout layout_;
  ExpertLists holdings_;
  ExpertLists last_read_holdings_;  // to be confirmed by a second reading
  MapVersion holdings_version_;
  GroupEpoch holdings_epoch_;
  MapVersion accepted_;  // newest map that the engine accepted to prepare
  GroupEpoch accepted_epoch_;
  UnansweredArmOrders unanswered_arm_orders_;
  // The epoch of the newest order, which is the group's as its leader knows it
  // from most ranks. The engine's own report may tell a wrong one, and doesn't
  // void an unanswered order by it.
  GroupEpoch ordered_epoch_;
  ConfirmedCounts counts_;
  bool is_polling_ = false;
};

}  // namespace mangohold
