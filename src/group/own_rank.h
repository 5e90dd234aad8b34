// The rank beside this agent, as its engine tells: the newest report, what its
// requests chose, and the experts that it holds. Carries out orders to it, and
// keeps in mind those that got no answer. Belongs to one event loop's thread.
#pragma once

#include <functional>
#include <optional>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "backend/engine_api.h"
#include "core/counters.h"
#include "group/map_switch.h"
#include "group/unanswered_arms.h"

namespace mangohold {

// The line for a call to an engine that brought nothing.
void LogEngineCall(std::string_view call, const absl::Status& status);

// Gives `command` to an engine whose newest report is `report`, and logs it.
// The order is void in any other epoch of the group.
void GiveOrder(EngineApi& engine, const Endpoint& at, const RankReport& report,
               const RankCommand& command, LeaderTerm term,
               std::function<void(OrderResult)> on_done);

class OwnRank {
 public:
  OwnRank(EngineApi& engine, Endpoint address, Counters& counters);

  // A process that has just started doesn't know what the one before it sent.
  void OnStart() { unanswered_arms_.OnStart(BootNow()); }
  struct PollHandlers {
    // What was chosen since the last time.
    std::function<void(const ExpertCounts&)> on_choices;
    // The experts of another map were read.
    std::function<void()> on_holdings;
  };
  // Reads report and choices, and the experts if the map has changed. Nothing
  // is told if the engine can't be asked or is no rank.
  void Poll(PollHandlers handlers);
  // Reads the report anew.
  void Refresh(std::function<void()> on_done);
  // Gives the order until it is answered, and reads the report anew.
  void Order(const RankCommand& command, LeaderTerm term,
             std::function<void()> on_done);

  // The newest report; null while the engine can't be asked.
  const RankReport* report() const { return report_ ? &*report_ : nullptr; }
  // True if the engine tells that it is a rank of a group.
  bool is_in_group() const { return report_ && !report_->group.empty(); }
  // True while something that a switch waits for is about to happen: the group
  // opens, a map becomes prepared or comes into use, or its experts are unread.
  bool IsAwaiting() const;
  // True if the experts of the map in use were read.
  bool AreHoldingsKnown() const;
  // The rank's state; term, agent and grant are left open.
  RankStatus Status() const;

 private:
  void OnReport(const absl::StatusOr<RankReport>& report);
  void ReadCounts(PollHandlers handlers);
  void ReadHoldings(const RankReport& report,
                    std::function<void()> on_holdings);
  ExpertCounts ChoicesSince(const ExpertCounts& counts);
  void Give(const RankCommand& command, LeaderTerm term, int tries,
            std::function<void()> on_done);
  void OnFate(const RankCommand& command, OrderResult fate);

  EngineApi& engine_;
  Endpoint address_;
  Counters& counters_;
  std::optional<RankReport> report_;
  std::vector<std::vector<int>> holdings_;
  MapVersion holdings_version_;
  GroupEpoch holdings_epoch_;
  MapVersion accepted_;  // the newest map that the engine agreed to prepare
  GroupEpoch accepted_epoch_;
  UnansweredArms unanswered_arms_;
  ExpertCounts last_counts_;
  bool is_polling_ = false;
};

}  // namespace mangohold
