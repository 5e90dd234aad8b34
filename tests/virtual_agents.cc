#include "virtual_agents.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace mangohold {
namespace {

constexpr Millis kStep{10};
constexpr int kStepsPerPass = 5;
constexpr Millis kLatency{10};  // of a message, and of a call to an engine
constexpr Millis kStoreLatency{20};
constexpr Millis kHeartbeatInterval{100};
constexpr Millis kPollInterval{150};
constexpr Millis kTransitionPollInterval{30};
constexpr Millis kSwitchInterval{50};
constexpr Millis kBypassInterval{300};
constexpr Millis kStatusGrace{300};
constexpr Millis kOrderTimeout{400};
constexpr int kOrderAttempts = 5;
constexpr Millis kLeaderTimeout{800};
constexpr Millis kLeaderTimeoutWhenHeld{300};
constexpr Millis kCandidateDelayPerRank{150};

// True if a field differs that a map switch depends on.
bool HasTransitioned(const RankReport& before, const RankReport& after) {
  return before.epoch != after.epoch || before.prepared != after.prepared ||
         before.armed != after.armed || before.held != after.held ||
         before.map != after.map;
}

bool IsDue(std::int64_t step, Duration interval) {
  return step % (interval / kStep) == 0;
}

}  // namespace

VirtualAgents::VirtualAgents(Options options)
    : options_(std::move(options)),
      random_(options_.seed),
      group_(options_.ranks),
      now_(TimePoint() + std::chrono::seconds(100)),
      agents_(static_cast<std::size_t>(options_.ranks)) {
  for (int rank = 0; rank < options_.ranks; ++rank) {
    agents_[rank].knows_term = true;
    agents_[rank].leader_heard = now_;
  }
  Lead(options_.first_leader);
}

bool VirtualAgents::Step() {
  now_ += kStep;
  ++steps_;
  RunTasks();
  for (int rank = 0; rank < options_.ranks; ++rank) {
    Agent& agent = agents_[rank];
    if (!agent.is_running && now_ >= agent.starts_at) StartProcess(rank);
    if (agent.is_running && !IsFrozen(rank)) RunAgent(rank);
  }
  const bool is_still =
      options_.frozen_engine == FrozenEngine::kStill &&
      std::ranges::any_of(agents_, [this](const Agent& agent) {
        return now_ < agent.frozen_until;
      });
  return steps_ % kStepsPerPass != 0 || is_still || group_.BeginPass(now_);
}

void VirtualAgents::Freeze(int rank, Duration duration) {
  agents_[rank].frozen_until = now_ + duration;
}

void VirtualAgents::Kill(int rank, Duration restart_delay) {
  Agent& agent = agents_[rank];
  const std::uint64_t process = agent.process;
  const TimePoint frozen_until = agent.frozen_until;
  agent = Agent();
  agent.is_running = false;
  agent.process = process + 1;
  agent.frozen_until = frozen_until;
  agent.starts_at = now_ + restart_delay;
}

void VirtualAgents::ChangeEra() {
  constexpr std::uint64_t kTermsPerEra = 1'000;
  stored_term_ = LeaderTerm(stored_term_.value() + kTermsPerEra);
  for (int rank = 0; rank < options_.ranks; ++rank) {
    Agent& agent = agents_[rank];
    if (!agent.leadership) continue;
    agent.leadership.reset();
    Lead(rank);
  }
}

std::optional<int> VirtualAgents::holder() const {
  const auto it = std::ranges::find_if(group_.engines, [](const auto& engine) {
    return engine.held.has_value();
  });
  if (it == group_.engines.end()) return std::nullopt;
  return static_cast<int>(it - group_.engines.begin());
}

std::optional<MapSwitch::Phase> VirtualAgents::phase() const {
  const auto& leadership = agents_[stored_leader_].leadership;
  return leadership ? std::optional(leadership->phase()) : std::nullopt;
}

Duration VirtualAgents::longest_hold() const {
  return kStep * kStepsPerPass * group_.max_consecutive_held_passes;
}

bool VirtualAgents::HasSwitched() const {
  return std::ranges::all_of(group_.engines, [](const auto& engine) {
    return engine.map > MapVersion();
  });
}

bool VirtualAgents::Answers(int rank) const {
  return options_.frozen_engine == FrozenEngine::kAnswers || !IsFrozen(rank);
}

void VirtualAgents::StartProcess(int rank) {
  Agent& agent = agents_[rank];
  agent.is_running = true;
  agent.leader_heard = now_;
  agent.unanswered.OnProcessStart(now_);
  After(rank, kStoreLatency, [this, rank] {
    agents_[rank].knows_term = true;
    if (stored_term_ > agents_[rank].leader.term) Follow(rank, stored_term_);
  });
}

void VirtualAgents::After(int rank, Duration delay, std::function<void()> run) {
  const std::uint64_t process = rank < 0 ? 0 : agents_[rank].process;
  tasks_.push_back({.due_at = now_ + delay,
                    .rank = rank,
                    .process = process,
                    .run = std::move(run)});
}

// Tasks of a machine that stands still run when it goes on; those of a process
// that has ended never run.
void VirtualAgents::RunTasks() {
  std::deque<Task> due;
  std::deque<Task> later;
  for (Task& task : tasks_) {
    const bool is_blocked = task.rank >= 0 && IsFrozen(task.rank);
    (task.due_at <= now_ && !is_blocked ? due : later)
        .push_back(std::move(task));
  }
  tasks_ = std::move(later);
  for (const Task& task : due) {
    const bool has_ended =
        task.rank >= 0 && (agents_[task.rank].process != task.process ||
                           !agents_[task.rank].is_running);
    if (!has_ended) task.run();
  }
}

void VirtualAgents::RunAgent(int rank) {
  Agent& agent = agents_[rank];
  while (!agent.inbox.empty() && agent.inbox.front().due_at <= now_) {
    const auto message = DecodeRankMessage(agent.inbox.front().bytes);
    agent.inbox.pop_front();
    if (!message) throw std::logic_error("a message can't be decoded");
    OnMessage(rank, *message);
  }
  if (IsDue(steps_ + rank, kTransitionPollInterval)) {
    const RankReport* report = ReadOwnReport(rank);
    const bool is_due = now_ - agent.status_sent_at >= kPollInterval;
    const bool has_transitioned =
        report != nullptr && HasTransitioned(agent.last_report, *report);
    if (is_due || has_transitioned) SendStatus(rank);
  }
  if (IsDue(steps_, kSwitchInterval)) WatchLeader(rank);
  if (!agent.leadership) return;
  if (IsDue(steps_, kHeartbeatInterval)) {
    for (int to = 0; to < options_.ranks; ++to) {
      if (to == rank) continue;
      Send(to, NewMessage(RankMessageKind::kHeartbeat, rank));
    }
  }
  if (IsDue(steps_, kSwitchInterval)) {
    if (is_switch_requested_ && agent.leadership->CanBegin(now_)) {
      is_switch_requested_ = false;
      agent.leadership->Begin({SetMap(options_.ranks)}, now_);
    }
    Advance(rank);
  }
  if (IsDue(steps_, kBypassInterval)) BypassSilentAgents(rank);
}

RankMessage VirtualAgents::NewMessage(RankMessageKind kind, int from) const {
  return {.kind = kind,
          .group = GroupName("g"),
          .term = agents_[from].leader.term,
          .sender = InstanceId(std::to_string(from)),
          .rank = from};
}

// Nobody receives what is sent to a rank that doesn't exist.
void VirtualAgents::Send(int to, const RankMessage& message) {
  if (to >= options_.ranks || !agents_[to].is_running) return;
  agents_[to].inbox.push_back(
      {.bytes = EncodeRankMessage(message), .due_at = now_ + kLatency});
}

void VirtualAgents::OnMessage(int rank, const RankMessage& message) {
  Agent& agent = agents_[rank];
  if (message.kind != RankMessageKind::kStatus &&
      message.term > agent.leader.term) {
    Follow(rank, message.term);
  }
  switch (message.kind) {
    case RankMessageKind::kHeartbeat:
      if (message.term != agent.leader.term || agent.leadership) return;
      agent.leader.OnHeartbeat(message.rank);
      agent.leader_heard = now_;
      if (!std::exchange(agent.has_heard_leader, true)) SendStatus(rank);
      return;
    case RankMessageKind::kStatus:
      return OnStatus(rank, message);
    case RankMessageKind::kCommand:
      if (!agent.knows_term || message.term < agent.leader.term) {
        RankMessage status = NewMessage(RankMessageKind::kStatus, rank);
        status.status = StatusOf(rank);
        return Send(message.rank, status);
      }
      agent.leader.OnHeartbeat(message.rank);
      agent.leader_heard = now_;
      agent.commands.push_back({message.command, message.term});
      return RunNextCommand(rank);
    case RankMessageKind::kChoices:
    case RankMessageKind::kCount:
      return;
  }
}

const RankReport* VirtualAgents::ReadReport(int rank,
                                            ConfirmedReport& confirmed) const {
  for (int reads = 0; reads < ConfirmedReport::kMaxReads; ++reads) {
    RankReport report = group_.Report(rank);
    if (distort_) distort_(report);
    if (confirmed.OnRead(report)) break;
  }
  return confirmed.report();
}

const RankReport* VirtualAgents::ReadOwnReport(int rank) {
  return ReadReport(rank, agents_[rank].confirmed);
}

RankStatus VirtualAgents::StatusOf(int rank) const {
  const Agent& agent = agents_[rank];
  const RankReport* report = agent.confirmed.report();
  return {.agent = InstanceId(std::to_string(rank)),
          .term = agent.leader.term,
          .report = report != nullptr ? *report : RankReport(),
          .holdings = {{rank}},
          .granted = agent.promises.granted(),
          .ready_for = agent.promises.ready_for(),
          .may_arm_late = agent.unanswered.MayArm(
              agent.ordered_epoch, agent.confirmed.started_pass(), now_)};
}

// A leader knows its own rank from its own engine, and not by a message.
void VirtualAgents::SendStatus(int rank) {
  Agent& agent = agents_[rank];
  RankMessage message = NewMessage(RankMessageKind::kStatus, rank);
  message.status = StatusOf(rank);
  agent.status_sent_at = now_;
  agent.last_report = message.status.report;
  if (agent.leadership) return OnStatus(rank, message);
  if (options_.ranks_without_pass.contains(rank)) {
    message.status.report.armed_at.reset();
  }
  if (agent.leader.rank) Send(*agent.leader.rank, message);
}

void VirtualAgents::OnStatus(int rank, const RankMessage& message) {
  Agent& agent = agents_[rank];
  if (!agent.leadership) return;
  if (message.term > agent.leader.term) return Follow(rank, message.term);
  agent.located.erase(message.rank);
  agent.leadership->OnStatus(message.status, now_);
  Advance(rank);
}

void VirtualAgents::Follow(int rank, LeaderTerm term) {
  Agent& agent = agents_[rank];
  agent.leadership.reset();
  agent.leader.Follow(term);
  agent.has_heard_leader = false;
  agent.leader_heard = now_;
}

void VirtualAgents::WatchLeader(int rank) {
  Agent& agent = agents_[rank];
  if (agent.is_campaigning || !agent.knows_term) return;
  if (agent.leadership) {
    if (agent.leadership->NeedsNewTerm()) Campaign(rank);
    return;
  }
  if (now_ - agent.leader_heard > LeaderTimeout(rank)) Campaign(rank);
}

Duration VirtualAgents::LeaderTimeout(int rank) const {
  const RankReport* report = agents_[rank].confirmed.report();
  if (report != nullptr && report->held) return kLeaderTimeoutWhenHeld;
  const int ranks_after_leader =
      (rank + options_.ranks - agents_[rank].leader.rank.value_or(0)) %
      options_.ranks;
  return kLeaderTimeout + kCandidateDelayPerRank * ranks_after_leader;
}

void VirtualAgents::Campaign(int rank) {
  agents_[rank].is_campaigning = true;
  After(rank, 2 * kStoreLatency, [this, rank] {
    Agent& agent = agents_[rank];
    agent.is_campaigning = false;
    agent.leader_heard = now_;
    if (stored_term_ > agent.leader.term) return Follow(rank, stored_term_);
    Lead(rank);
  });
}

void VirtualAgents::Lead(int rank) {
  stored_term_ = stored_term_.Next();
  stored_leader_ = rank;
  Agent& agent = agents_[rank];
  const KnownLeader former = agent.leader.Succeed(stored_term_, rank);
  agent.located.clear();
  agent.led_since = now_;
  agent.leadership = std::make_unique<MapSwitch>(
      MapSwitch::Options{.term = stored_term_,
                         .own_rank = rank,
                         .former_leader_rank = former.rank,
                         .former_term = former.term,
                         .experts = options_.ranks});
  After(rank, kLatency, [this, rank] {
    ReadOwnReport(rank);
    SendStatus(rank);
  });
}

void VirtualAgents::Advance(int rank) {
  Agent& agent = agents_[rank];
  if (!agent.leadership) return;
  for (const RankCommand& command : agent.leadership->Advance(now_)) {
    Issue(rank, command);
  }
}

void VirtualAgents::Issue(int rank, const RankCommand& command) {
  Agent& agent = agents_[rank];
  if (command.rank == rank) {
    agent.commands.push_back({command, agent.leader.term});
    return After(rank, kStep, [this, rank] { RunNextCommand(rank); });
  }
  if (command.is_direct) return OrderDirectly(rank, command);
  const bool is_undoing =
      agent.leadership->phase() == MapSwitch::Phase::kUndoing;
  const bool is_allowed = is_undoing || command.order == OrderKind::kArm ||
                          command.order == OrderKind::kGo;
  const bool is_confirmed = stored_term_ == agent.leader.term;
  if (agent.located.contains(command.rank) && is_allowed && is_confirmed) {
    OrderDirectly(rank, command);
  }
  RankMessage message = NewMessage(RankMessageKind::kCommand, rank);
  message.command = command;
  Send(command.rank, message);
}

void VirtualAgents::RunNextCommand(int rank) {
  Agent& agent = agents_[rank];
  if (agent.is_running_command || agent.commands.empty()) return;
  agent.is_running_command = true;
  const QueuedCommand queued = agent.commands.front();
  agent.commands.pop_front();
  After(rank, kLatency,
        [this, rank, queued] { Execute(rank, queued, kOrderAttempts); });
}

void VirtualAgents::Execute(int rank, const QueuedCommand& queued,
                            int attempts) {
  Agent& agent = agents_[rank];
  const RankCommand& command = queued.command;
  const auto finish = [this, rank] {
    agents_[rank].is_running_command = false;
    ReadOwnReport(rank);
    SendStatus(rank);
    RunNextCommand(rank);
  };
  const bool is_current_term = queued.term == agent.leader.term;
  if (command.is_grant && is_current_term) {
    agent.promises.OnGrantRequest(command.version);
  }
  const RankReport* report = ReadOwnReport(rank);
  if (command.is_readiness_query && is_current_term && report != nullptr) {
    agent.promises.OnReadinessQuery(command.version, *report);
  }
  const bool is_void = report == nullptr || !command.order ||
                       queued.term < agent.leader.term ||
                       report->rank != command.rank;
  if (is_void) return finish();
  agent.ordered_epoch = command.epoch;
  const bool is_arm = command.order == OrderKind::kArm;
  if (is_arm) agent.unanswered.OnSent(command.epoch, command.pass);
  const std::uint64_t process = agent.process;
  const bool is_answered = Order(rank, command);
  if (agents_[rank].process != process) return;  // killed at this order
  if (is_answered) {
    return After(rank, kLatency, [this, rank, is_arm, finish] {
      if (is_arm) agents_[rank].unanswered.OnAnswered();
      finish();
    });
  }
  After(rank, kOrderTimeout, [this, rank, queued, attempts, is_arm, finish] {
    if (is_arm) agents_[rank].unanswered.OnUnanswered(now_);
    if (attempts > 1) return Execute(rank, queued, attempts - 1);
    finish();
  });
}

Duration VirtualAgents::LatenessOf(int rank, const RankCommand& command) {
  if (lateness_of_) return lateness_of_(rank, command);
  if (static_cast<int>(random_.Below(100)) >= options_.late_percent) {
    return Duration(0);
  }
  return Millis(2'000 + random_.Below(10'000));
}

bool VirtualAgents::Order(int rank, const RankCommand& command) {
  const bool is_preparation = command.order == OrderKind::kPrepare;
  const std::uint64_t expected = group_.engines[rank].sequence;
  const Duration lateness = LatenessOf(rank, command);
  if (lateness > Duration(0)) {
    tasks_.push_back({.due_at = now_ + lateness,
                      .rank = -1,
                      .run = [this, rank, command, expected] {
                        const bool is_outdated =
                            group_.engines[rank].sequence != expected;
                        if (is_outdated && options_.checks_sequence) return;
                        group_.Execute(rank, command, now_);
                      }});
    return false;
  }
  group_.Execute(rank, command, now_);
  if (!is_preparation && on_order_) on_order_();
  return true;
}

void VirtualAgents::OrderDirectly(int rank, const RankCommand& command) {
  const LeaderTerm term = agents_[rank].leader.term;
  After(rank, kLatency, [this, rank, command, term] {
    const Agent& agent = agents_[rank];
    const bool is_leading = agent.leadership && agent.leader.term == term;
    if (!is_leading || !Answers(command.rank)) return;
    const std::uint64_t process = agent.process;
    if (!Order(command.rank, command)) return;
    if (agents_[rank].process != process) return;  // killed at this order
    if (agent.located.contains(command.rank)) {
      return QueryEngine(rank, command.rank);
    }
    RankMessage status_request = NewMessage(RankMessageKind::kCommand, rank);
    status_request.command.rank = command.rank;
    Send(command.rank, status_request);
  });
}

void VirtualAgents::QueryEngine(int rank, int of) {
  After(rank, 2 * kLatency, [this, rank, of] {
    Agent& agent = agents_[rank];
    if (!agent.leadership || !Answers(of)) return;
    const auto silent = agent.leadership->SilentRanks(now_);
    const bool is_needed = agent.located.contains(of) ||
                           std::ranges::find(silent, of) != silent.end();
    if (!is_needed || stored_term_ != agent.leader.term) return;
    const RankReport* report = ReadReport(of, agent.confirmed_of_others[of]);
    if (report == nullptr) return;
    agent.located.insert(of);
    agent.leadership->OnStatus(StatusWithoutAgent(agent.leader.term, *report),
                               now_);
    Advance(rank);
  });
}

void VirtualAgents::BypassSilentAgents(int rank) {
  const Agent& agent = agents_[rank];
  const auto phase = agent.leadership->phase();
  const bool may_be_held = phase == MapSwitch::Phase::kReading ||
                           phase == MapSwitch::Phase::kHolding ||
                           phase == MapSwitch::Phase::kArming ||
                           phase == MapSwitch::Phase::kUndoing ||
                           phase == MapSwitch::Phase::kReleasing;
  if (!may_be_held || now_ - agent.led_since < kStatusGrace) return;
  for (const int silent : agent.leadership->SilentRanks(now_)) {
    QueryEngine(rank, silent);
  }
}

}  // namespace mangohold
