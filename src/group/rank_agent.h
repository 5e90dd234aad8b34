// The agent of one rank: reads its engine's report and counts, carries out the
// leader's commands at its engine, and leads the group itself while it holds
// the newest term.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "backend/engine_api.h"
#include "core/counters.h"
#include "group/agent_directory.h"
#include "group/choice_sums.h"
#include "group/engine_search.h"
#include "group/expert_demand.h"
#include "group/map_switch.h"
#include "group/own_rank.h"
#include "group/rank_messages.h"
#include "group/send_pacer.h"
#include "net/datagram_socket.h"
#include "net/event_loop.h"
#include "store/lease_keeper.h"
#include "store/member.h"
#include "store/store.h"
#include "store/store_schema.h"

namespace mangohold {

// Belongs to one event loop's thread.
class RankAgent {
 public:
  struct Options {
    Member self;
    StoreSchema schema;
    ServiceName service;  // of the engine, whose figures operators publish
    double least_saving_per_copy = 0.03;
    // A plan is carried out if it lowers the mean skew by this much.
    double least_gain = 0.25;
    Millis poll{150};
    // A leader that says nothing for this long is replaced.
    Millis leader_silence{800};
    // The same at the agent beside a rank that holds the group.
    Millis leader_silence_when_held{300};
    // The rate of the machine's link, which maps may fill in part.
    double link_bytes_per_s = 1e8;
  };

  RankAgent(EventLoop& loop, Store& store, EngineApi& engine, Options options,
            Counters& counters);

  absl::Status Start();

 private:
  struct Leadership {
    LeaderTerm term;
    TimePoint began;
    std::unique_ptr<MapSwitch> map_switch;
    DemandEstimate demand;
    std::unique_ptr<EvenPlanner> planner;  // null: no plan is being made
  };
  struct Job {
    RankCommand command;
    LeaderTerm term;
  };

  void ListItself();
  void OnPoll(const ExpertCounts& choices);
  Duration TellInterval() const;
  bool HasNews() const;
  void SendStatus();
  void PassOnChoices();

  // Commands.
  void OnDatagram(std::string_view data);
  void OnBeat(const RankMessage& message);
  void OnCommand(const RankMessage& message);
  void RunNextJob();
  void Execute(Job job);
  bool ResolveMap(RankCommand& command);
  void FinishJob();

  // Leading.
  void WatchLeader();
  Duration Patience() const;
  bool MayBeHeld() const;
  void Challenge();
  void TakeOver(Revision expected);
  void Lead(LeaderTerm term);
  void FollowTerm(LeaderTerm term, const Endpoint& leader);
  void Beat();
  std::vector<std::optional<int>> Collectors() const;
  void OnChoices(const RankMessage& message);
  void OnStatus(const RankMessage& message);
  void AdvanceSwitch();
  void Give(const RankCommand& command);
  void SendPaced(const Endpoint& to, const RankMessage& message);
  void SendDue();
  void EndPeriod();
  void Plan();
  void PlanOn();
  void FinishPlan();
  void KeepDemand();
  void ReadDemand();
  void ActForSilentAgents();
  void GiveDirectly(const Endpoint& engine, const RankCommand& command);
  bool IsSilent(int rank) const;
  void ReadSilentRanks(const std::vector<StoreItem>& engines);
  void ReadRemote(const Endpoint& engine);
  void ReadFigures();
  bool IsAgentMissing() const;
  void RefreshDirectory();
  RankMessage NewMessage(RankMessageKind kind) const;
  void SendTo(const Endpoint& to, const RankMessage& message);

  EventLoop& loop_;
  Store& store_;
  EngineApi& engine_;
  Options options_;
  Counters& counters_;
  DatagramSocket socket_;
  LeaseKeeper lease_;
  OwnRank rank_;
  MapVersion granted_;  // the leader may have armed its own rank with it
  MapShelf maps_;
  MapVersion missing_;  // a map whose difference is from an unknown one
  ChoiceSums choices_;  // to be passed on
  Endpoint collector_;  // where they go; empty: to the leader
  TimePoint told_at_;   // the last status
  RankStatus told_;
  std::deque<Job> jobs_;
  bool is_running_job_ = false;

  bool knows_term_ = false;  // has read the newest term since its start
  LeaderTerm term_;
  Endpoint leader_;
  std::optional<int> leader_rank_;
  TimePoint leader_heard_;
  int beat_rounds_ = 0;
  TimePoint kept_demand_at_;
  TimePoint sought_at_;  // agents that aren't placed had a beat then
  bool is_challenging_ = false;
  std::unique_ptr<Leadership> leadership_;
  AgentDirectory agents_;
  // Engines whose agents are silent, by rank.
  std::map<int, Endpoint> direct_;
  EngineSearch search_;
  SendPacer pacer_;
  bool is_pacing_ = false;
  EvenPlacementOptions placement_;  // places: 0 until it is known
  int experts_ = 0;                 // of one set
};

}  // namespace mangohold
