// The agent of one rank: reads its engine's report and counts, tells them to
// the group's leader, carries out that leader's commands at its engine, and
// leads the group itself while it holds the newest term.
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string_view>

#include "absl/status/status.h"
#include "backend/engine_api.h"
#include "core/counters.h"
#include "group/agent_directory.h"
#include "group/choice_sums.h"
#include "group/group_leader.h"
#include "group/map_delta.h"
#include "group/own_rank.h"
#include "group/published_pace.h"
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
    ServiceName service;  // of the engine, whose figures operators publish
    MapPlanning::Options planning;
    Millis poll_interval{150};
    // The same while a switch waits for what the next one tells.
    Millis transition_poll_interval{30};
    // A leader that says nothing for this long is replaced.
    Millis leader_timeout{800};
    // The same at the agent beside a rank that holds the group.
    Millis leader_timeout_when_held{300};
    // The rate of the machine's link, which maps may fill in part.
    double link_bytes_per_s = 1e8;
  };

  RankAgent(EventLoop& loop, Store& store, EngineApi& engine, Options options,
            Counters& counters);

  absl::Status Start();

 private:
  // The group's newest term, as the store has it.
  struct StoredTerm {
    Revision revision;    // 0: none yet
    bool is_own = false;  // it names this agent
  };
  struct QueuedCommand {
    RankCommand command;
    LeaderTerm term;
  };

  // Telling.
  void UpdateRegistration();
  void Poll();
  void PollPendingTransition();
  void OnPoll(const ExpertCounts& choices);
  Duration StatusInterval() const;
  bool HasTransitioned() const;
  void SendStatus();
  void ForwardChoices();
  void Send(const Endpoint& to, const RankMessage& message);

  // Commands.
  void OnDatagram(std::string_view data);
  void OnHeartbeat(const RankMessage& message);
  void OnStatus(const RankMessage& message);
  void OnCommand(const RankMessage& message);
  void OnChoices(const ExpertCounts& choices);
  void RunNextCommand();
  void Execute(QueuedCommand queued);
  bool ResolveMap(RankCommand& command);
  void FinishCommand();

  // The leader and its succession.
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
  std::optional<EngineFigures> engine_;  // of the service; absent: not known

  MapVersion granted_;    // the leader may have armed its own rank with it
  MapVersion ready_for_;  // the last switch that it was asked about
  MapShelf maps_;
  MapVersion missing_;  // a map whose difference is from an unknown one
  std::deque<QueuedCommand> command_queue_;
  bool is_running_command_ = false;

  ChoiceSums choices_;        // to be passed on
  Endpoint collector_;        // where they go; empty: to the leader
  TimePoint status_sent_at_;  // the last status
  RankReport last_sent_report_;
  PublishedPace published_pace_;

  bool has_read_term_ = false;  // has read the newest term since its start
  LeaderTerm term_;
  Endpoint leader_address_;
  std::optional<int> leader_rank_;
  TimePoint leader_heard_at_;
  bool is_campaigning_ = false;
  // What a leader works with is kept over its terms.
  AgentDirectory agents_;
  RemoteRanks remote_;
  std::shared_ptr<GroupLeader> leadership_;  // null: another one leads
};

}  // namespace mangohold
