// One term of a group's leader. It sends heartbeats to the agents, collects the
// statuses of their ranks, plans the next expert map, and sends the commands
// that switch the group to it. The term ends as soon as the agent learns of a
// later one.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "backend/engine_api.h"
#include "config/deployment.h"
#include "core/counters.h"
#include "group/agent_directory.h"
#include "group/demand_checkpoint.h"
#include "group/map_planner.h"
#include "group/map_switch.h"
#include "group/own_rank.h"
#include "group/rank_messages.h"
#include "group/remote_ranks.h"
#include "group/send_pacer.h"
#include "net/event_loop.h"

namespace mangohold {

// Belongs to one event loop's thread. Owned by a shared pointer, since
// callbacks that it has posted may run after the end of the term.
class GroupLeader : public std::enable_shared_from_this<GroupLeader> {
 public:
  struct Options {
    LeaderTerm term;
    Member self;
    // The rank of the previous leader, where known, and that leader's term.
    std::optional<int> former_leader_rank;
    LeaderTerm former_term;
    std::string demand_key;  // store key of the group's demand
    MapPlanner::Options planning;
    // Rate of the machine's network link.
    double link_bytes_per_s = 1e8;
  };
  // Objects that outlive the leader.
  struct Dependencies {
    EventLoop& loop;
    Store& store;
    Counters& counters;
    OwnRank& rank;
    AgentDirectory& agents;
    RemoteRanks& remote;
    // Figures of the group's engines; absent until they are known.
    const std::optional<EngineFigures>& engine;
  };
  struct Handlers {
    std::function<void(const Endpoint& to, const std::string& bytes)> send;
    // Executes a command for the leader's own rank.
    std::function<void(const RankCommand& command)> execute_locally;
    // Reads the newest term from the store, and calls `on_confirmed` if it is
    // the leader's.
    std::function<void(std::function<void()> on_confirmed)> confirm_term;
  };

  // `dependencies.rank` must belong to a group.
  GroupLeader(Options options, Dependencies dependencies, Handlers handlers);
  ~GroupLeader();
  GroupLeader(const GroupLeader&) = delete;
  GroupLeader& operator=(const GroupLeader&) = delete;

  // To be called once, right after construction.
  void Start();
  LeaderTerm term() const { return options_.term; }
  // True if the leader should claim a new term; see `MapSwitch`.
  bool NeedsNewTerm() const { return switch_.NeedsNewTerm(); }

  // Begins no further switch.
  void BeginLeaving() { is_leaving_ = true; }
  // True while a pass may be held for this leader's switch.
  bool IsHolding() const;

  // Takes a status of this term or an earlier one.
  void OnStatus(const RankMessage& message);
  // Adds expert counts, of one rank or summed over several, to the demand.
  void OnCounts(const ExpertCounts& counts);
  // To be called periodically.
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
  void TakeStatus(const RankStatus& status, TimePoint now);
  void LogRanksRead() const;
  void Issue(const RankCommand& command);
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
  TimePoint started_;
  // Time of the newest request to the store that confirmed the term.
  std::optional<TimePoint> term_confirmed_at_;
  MapSwitch switch_;
  MapPlanner planner_;
  DemandCheckpoint demand_checkpoint_;
  SendPacer pacer_;
  bool is_pacing_ = false;
  int heartbeat_rounds_ = 0;
  std::optional<TimePoint> last_discovery_at_;
  // The group has formed again, and no map has been planned for it yet.
  bool needs_first_plan_ = false;
  bool is_leaving_ = false;
};

}  // namespace mangohold
