// One term of a group's leader: tells the agents who leads, hears how the ranks
// are, plans the next map, and gives the commands that switch to it. It ends
// with the first word of a later term.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "backend/engine_api.h"
#include "config/deployment.h"
#include "core/counters.h"
#include "group/agent_directory.h"
#include "group/demand_keeper.h"
#include "group/map_planning.h"
#include "group/map_switch.h"
#include "group/own_rank.h"
#include "group/rank_messages.h"
#include "group/remote_ranks.h"
#include "group/send_pacer.h"
#include "net/event_loop.h"

namespace mangohold {

// Belongs to one event loop's thread. Held by a shared pointer, since what it
// has posted may come after its end.
class GroupLeader : public std::enable_shared_from_this<GroupLeader> {
 public:
  struct Options {
    LeaderTerm term;
    Member self;
    // The rank beside the leader before, where known, and that leader's term.
    std::optional<int> former_leader;
    LeaderTerm former_term;
    std::string demand_key;  // in the store
    MapPlanning::Options planning;
    double link_bytes_per_s = 1e8;
  };
  // What it works with; all of it outlives the leader.
  struct Dependencies {
    EventLoop& loop;
    Store& store;
    Counters& counters;
    OwnRank& rank;
    AgentDirectory& agents;
    RemoteRanks& remote;
    // Of the group's engines; absent until they are known.
    const std::optional<EngineFigures>& engine;
  };
  struct Handlers {
    std::function<void(const Endpoint& to, const std::string& bytes)> send;
    // A command to the leader's own rank.
    std::function<void(const RankCommand& command)> execute_locally;
    // Asks the store whether the leader's term is the newest, and calls
    // `on_confirmed` if it is.
    std::function<void(std::function<void()> on_confirmed)> confirm_term;
  };

  // `rank` of the means is in a group.
  GroupLeader(Options options, Dependencies means, Handlers handlers);
  ~GroupLeader();
  GroupLeader(const GroupLeader&) = delete;
  GroupLeader& operator=(const GroupLeader&) = delete;

  // Called once, right after the construction.
  void Start();
  LeaderTerm term() const { return options_.term; }
  // False if no further switch may begin in this term.
  bool HasVersionsLeft() const { return switch_.HasVersionsLeft(); }

  // A status of this term or an earlier one.
  void OnStatus(const RankMessage& message);
  void OnChoices(const ExpertCounts& choices);
  // To be called at short intervals.
  void SendHeartbeats();
  void Advance();
  void OnPlanTimer();
  void RefreshDirectory();
  void BypassSilentAgents();

 private:
  RankMessage NewMessage(RankMessageKind kind) const;
  void Send(const Endpoint& to, const RankMessage& message);
  void SendPaced(const Endpoint& to, const RankMessage& message);
  void SendDue();
  void DiscoverAgents();
  std::vector<std::optional<int>> ChooseCollectors() const;
  bool IsAgentMissing() const;
  bool MayBeHeld() const;
  void SendCommand(const RankCommand& command);
  void OrderDirectly(const Endpoint& engine, const RankCommand& command);
  bool IsTermConfirmed() const;
  void QuerySilentRanks();
  void OnDirectOrderDone(const Endpoint& engine, int rank);
  void OnRemoteReport(const RankReport& report, const Endpoint& engine);
  void StartPlan();
  void ContinuePlan();
  void FinishPlan();

  Options options_;
  Dependencies deps_;
  Handlers handlers_;
  TimePoint started_at_;
  // When the store was asked that last confirmed the term.
  std::optional<TimePoint> term_confirmed_at_;
  MapSwitch switch_;
  MapPlanning planning_;
  DemandKeeper stored_demand_;
  SendPacer pacer_;
  bool is_pacing_ = false;
  int heartbeat_rounds_ = 0;
  std::optional<TimePoint>
      last_discovery_at_;  // agents without a place had a beat
  // The group has formed anew, and no plan was made for it.
  bool needs_first_plan_ = false;
};

}  // namespace mangohold
