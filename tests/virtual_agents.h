// The agents of one group of ranks in virtual time: their messages, promises
// and elections, around the real leader's side of a map switch. Machines can
// stand still and processes can be killed between any two orders of a switch.
// What a process kept in memory is gone when it starts again. Messages pass the
// codec of the datagrams, so that an agent knows no more of other ranks than
// their messages tell.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/random.h"
#include "group/agent_promises.h"
#include "group/confirmed_report.h"
#include "group/known_leader.h"
#include "group/map_switch.h"
#include "group/rank_messages.h"
#include "group/unanswered_arm_orders.h"
#include "virtual_rank_group.h"

namespace mangohold {

// What the engine on a machine that stands still does meanwhile.
enum class FrozenEngine {
  kAnswers,
  kSilent,  // it answers nothing
  kStill    // and the group begins no pass
};

class VirtualAgents {
 public:
  struct Options {
    int ranks = 5;
    int first_leader = 2;
    FrozenEngine frozen_engine = FrozenEngine::kAnswers;
    // Of 100 orders, those that get no answer and are executed seconds later.
    int late_percent = 0;
    // Ranks whose agents are of an earlier build, whose statuses don't tell for
    // which pass the rank is armed.
    std::set<int> ranks_without_pass;
    // Engines refuse an order that was sent before their newest one.
    bool checks_sequence = true;
    std::uint64_t seed = 1;
  };

  explicit VirtualAgents(Options options);

  // Runs for one step. Returns false if a pass began with two maps.
  bool Step();
  // Lets the leader begin a switch as soon as it can.
  void RequestSwitch() { is_switch_requested_ = true; }
  void Freeze(int rank, Duration duration);
  void Kill(int rank, Duration restart_delay);
  // The group forms anew, in its next epoch.
  void FormAnew() { group_.StartNextEpoch(); }
  // The store comes back in its next era, so that the leader claims a new term.
  void ChangeEra();

  // Calls `on_order` right after an engine has executed an order of a switch
  // that follows its preparation, before the order is answered.
  void SetOnOrder(std::function<void()> on_order) {
    on_order_ = std::move(on_order);
  }
  // Sets how long each order to a rank is left unanswered before it is
  // executed; zero: it is executed at once. Replaces `late_percent`.
  using Lateness = std::function<Duration(int rank, const RankCommand&)>;
  void SetLateness(Lateness lateness) { lateness_of_ = std::move(lateness); }
  // Sets what becomes of each report that an engine hands out, to its agent or
  // to a leader that reads it directly.
  using Distortion = std::function<void(RankReport& report)>;
  void SetDistortion(Distortion distort) { distort_ = std::move(distort); }
  void SetIdle(bool is_idle) { group_.is_idle = is_idle; }

  TimePoint now() const { return now_; }
  const VirtualRankGroup& group() const { return group_; }
  int leader() const { return stored_leader_; }
  // True from `RequestSwitch` until the leader has begun the switch.
  bool is_switch_requested() const { return is_switch_requested_; }
  // The phase of the newest leader's switch; absent while it isn't running.
  std::optional<MapSwitch::Phase> phase() const;
  std::optional<int> holder() const;
  Duration longest_hold() const;
  bool HasSwitched() const;

 private:
  struct Datagram {
    std::string bytes;
    TimePoint due_at;
  };
  struct QueuedCommand {
    RankCommand command;
    LeaderTerm term;
  };
  struct Agent {
    // Of the machine and its process.
    bool is_running = true;
    TimePoint frozen_until;
    TimePoint starts_at;
    std::uint64_t process = 0;  // counts its starts
    // In memory.
    KnownLeader leader;
    bool knows_term = false;
    bool has_heard_leader = false;
    AgentPromises promises;
    UnansweredArmOrders unanswered;
    ConfirmedReport confirmed;                           // of its own engine
    std::map<int, ConfirmedReport> confirmed_of_others;  // key: rank
    GroupEpoch ordered_epoch;                            // of the newest order
    std::deque<QueuedCommand> commands;
    bool is_running_command = false;
    bool is_campaigning = false;
    TimePoint leader_heard;
    TimePoint status_sent_at;
    RankReport last_report;
    std::unique_ptr<MapSwitch> leadership;
    TimePoint led_since;
    std::set<int> located;  // ranks whose engines are reached directly
    // In the kernel.
    std::deque<Datagram> inbox;
  };
  struct Task {
    TimePoint due_at;
    int rank = 0;  // whose process runs it; -1: an engine
    std::uint64_t process = 0;
    std::function<void()> run;
  };

  bool IsFrozen(int rank) const { return now_ < agents_[rank].frozen_until; }
  bool Answers(int rank) const;
  void StartProcess(int rank);
  void RunTasks();
  void RunAgent(int rank);
  void After(int rank, Duration delay, std::function<void()> run);
  RankMessage NewMessage(RankMessageKind kind, int from) const;
  void Send(int to, const RankMessage& message);
  void OnMessage(int rank, const RankMessage& message);
  // Reads the report of an engine until it is confirmed. Null without a
  // confirmed one.
  const RankReport* ReadReport(int rank, ConfirmedReport& confirmed) const;
  const RankReport* ReadOwnReport(int rank);
  void SendStatus(int rank);
  RankStatus StatusOf(int rank) const;
  void OnStatus(int rank, const RankMessage& message);
  void Follow(int rank, LeaderTerm term);
  void WatchLeader(int rank);
  Duration LeaderTimeout(int rank) const;
  void Campaign(int rank);
  void Lead(int rank);
  void Advance(int rank);
  void Issue(int rank, const RankCommand& command);
  void RunNextCommand(int rank);
  void Execute(int rank, const QueuedCommand& queued, int attempts);
  void OrderDirectly(int rank, const RankCommand& command);
  void QueryEngine(int rank, int of);
  void BypassSilentAgents(int rank);
  Duration LatenessOf(int rank, const RankCommand& command);
  // Executes an order now or later. Returns false if it gets no answer.
  bool Order(int rank, const RankCommand& command);

  Options options_;
  Random random_;
  VirtualRankGroup group_;
  TimePoint now_;
  std::int64_t steps_ = 0;
  std::vector<Agent> agents_;
  std::deque<Task> tasks_;
  LeaderTerm stored_term_;
  int stored_leader_ = 0;
  bool is_switch_requested_ = false;
  std::function<void()> on_order_;
  Lateness lateness_of_;
  Distortion distort_;
};

}  // namespace mangohold
