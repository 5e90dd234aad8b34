// The agent of one rank of a group. It polls its engine's report and expert
// counts, sends them to the group's leader, and executes the leader's commands
// on the engine. It leads the group itself while it holds the newest term.
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string_view>

#include "absl/status/status.h"
#include "backend/engine_api.h"
#include "core/counters.h"
#include "group/agent_directory.h"
#include "group/agent_promises.h"
#include "group/count_aggregation.h"
#include "group/group_leader.h"
#include "group/known_leader.h"
#include "group/map_delta.h"
#include "group/own_rank.h"
#include "group/published_slowdown.h"
#include "group/rank_messages.h"
#include "group/remote_ranks.h"
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
    ServiceName service;  // of the engine; its figures are in the deployment
    MapPlanner::Options planning;
    Millis poll_interval{150};
    // Poll interval while a change that a map switch waits for is pending.
    Millis transition_poll_interval{30};
    // A leader that is silent for this long is replaced.
    Millis leader_timeout{800};
    // Leader timeout of the agent whose rank holds a pass.
    Millis leader_timeout_when_held{300};
    // Rate of the machine's network link; maps use at most a share of it.
    double link_bytes_per_s = 1e8;
  };

  RankAgent(EventLoop& loop, Store& store, EngineApi& engine, Options options,
            Counters& counters);

  absl::Status Start();
  // Begins no further switch of maps. Calls `on_done` once no command is being
  // executed and no pass is held for this agent's own switch, and at the latest
  // after a second: agents that come after it end a hold as well, but later.
  void Leave(const std::function<void()>& on_done);

 private:
  // The group's newest term, as read from the store.
  struct StoredTerm {
    Revision revision;    // 0: no term yet
    bool is_own = false;  // true if its leader is this agent
  };
  struct QueuedCommand {
    RankCommand command;
    LeaderTerm term;
  };

  // Status reports.
  void UpdateRegistration();
  void Poll();
  void PollPendingTransition();
  void OnPoll(const ExpertCounts& counts);
  Duration StatusInterval() const;
  bool HasTransitioned() const;
  void SendStatus();
  void ForwardCounts();
  void Send(const Endpoint& to, const RankMessage& message);

  // Commands.
  void OnDatagram(std::string_view data);
  void OnHeartbeat(const RankMessage& message);
  void OnStatus(const RankMessage& message);
  void OnCommand(const RankMessage& message);
  void OnCounts(const ExpertCounts& counts);
  void RunNextCommand();
  void Execute(QueuedCommand queued);
  bool ResolveMap(RankCommand& command);
  void FinishCommand();
  void EndWhenDone(TimePoint limit, const std::function<void()>& on_done);

  // Leader election.
  std::string LeaderKey() const;
  void WatchLeader();
  Duration LeaderTimeout() const;
  void Campaign();
  void ReadTerm(std::function<void(const absl::StatusOr<StoredTerm>&)> on_term);
  void ConfirmTerm(std::function<void()> on_confirmed);
  void ClaimLeadership(Revision expected);
  void BecomeLeader(LeaderTerm term);
  void FollowTerm(LeaderTerm term, const Endpoint& leader);
  void OnEraChange();
  void ReadDeployment();
  void OnDeployment(const StoreItem& item);

  EventLoop& loop_;
  Store& store_;
  Options options_;
  Counters& counters_;
  DatagramSocket socket_;
  LeaseKeeper lease_;
  OwnRank rank_;
  // Absent until read from the deployment.
  std::optional<EngineFigures> engine_;

  AgentPromises promises_;
  MapCache maps_;
  MapVersion missing_;  // map whose delta has an unknown base; 0: none
  std::deque<QueuedCommand> command_queue_;
  bool is_running_command_ = false;

  ExpertCountSum counts_;     // not forwarded yet
  Endpoint collector_;        // receiver of the counts; empty: the leader
  TimePoint status_sent_at_;  // of the last status
  RankReport last_sent_report_;
  PublishedSlowdown published_slowdown_;

  bool knows_term_ = false;  // since the start of the process
  KnownLeader leader_;
  Endpoint leader_address_;
  TimePoint leader_heard_;
  bool is_campaigning_ = false;
  // Used by the leader, and kept across terms.
  AgentDirectory agents_;
  RemoteRanks remote_;
  std::shared_ptr<GroupLeader> leadership_;  // null if another agent leads
};

}  // namespace mangohold
