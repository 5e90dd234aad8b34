#include "group/rank_agent.h"

#include <algorithm>
#include <utility>

#include "core/log.h"
#include "core/status.h"

namespace mangohold {
namespace {

constexpr Millis kHeartbeatInterval{100};
constexpr Millis kLeaderCheckInterval{50};
constexpr Millis kSwitchInterval{50};
constexpr Millis kPlanInterval{250};
// The interval between two statuses of an agent is at least this for each rank
// of the group, so that the rate of statuses at the leader is bounded.
constexpr Millis kStatusIntervalPerRank{5};
constexpr Millis kDirectoryInterval{500};
// The TTL may be long: the registration tells leaders the agent's address, and
// isn't used to detect failures.
constexpr Millis kLeaseTtl{30'000};
constexpr Millis kLeaseRenewal{10'000};
constexpr Millis kBypassInterval{300};
// Candidates wait this much longer for each rank between the last leader's and
// their own. The longest delay in a group is bounded by kMaxCandidateDelay.
constexpr Millis kCandidateDelayPerRank{150};
constexpr Millis kMaxCandidateDelay{2'400};
// Time to end an order or a switch in progress before the process ends.
constexpr Millis kMaxLeaveTime{1'000};
constexpr Millis kLeaveTick{10};

}  // namespace

RankAgent::RankAgent(EventLoop& loop, Store& store, EngineApi& engine,
                     Options options, Counters& counters)
    : loop_(loop),
      store_(store),
      options_(std::move(options)),
      counters_(counters),
      socket_(loop.io(), counters),
      lease_(loop, store,
             {.key = options_.schema.member_prefix + options_.self.id.value(),
              .value = EncodeMember(options_.self),
              .ttl = kLeaseTtl,
              .renewal_interval = kLeaseRenewal}),
      rank_(engine, options_.self.backend, counters),
      agents_(store, options_.schema.member_prefix, options_.self.id),
      remote_(store, engine,
              {.schema = options_.schema, .service = options_.service}) {}

absl::Status RankAgent::Start() {
  absl::Status status = socket_.Open(
      options_.self.peer, [this](std::string_view data) { OnDatagram(data); });
  if (!status.ok()) return status;
  leader_heard_ = BootNow();
  store_.AddEraListener([this] { OnEraChange(); });
  rank_.OnProcessStart();
  Poll();
  loop_.Every(options_.poll_interval, [this] { Poll(); });
  loop_.Every(options_.transition_poll_interval,
              [this] { PollPendingTransition(); });
  loop_.Every(kLeaderCheckInterval, [this] { WatchLeader(); });
  // The engine figures are read early, since a new leader needs them at once.
  loop_.Every(kDirectoryInterval, [this] {
    if (!engine_) ReadDeployment();
  });
  const auto while_leading = [this](Duration interval,
                                    void (GroupLeader::*act)()) {
    loop_.Every(interval, [this, act] {
      if (leadership_) ((*leadership_).*act)();
    });
  };
  while_leading(kHeartbeatInterval, &GroupLeader::SendHeartbeats);
  while_leading(kSwitchInterval, &GroupLeader::Advance);
  while_leading(kPlanInterval, &GroupLeader::OnPlanTimer);
  while_leading(kDirectoryInterval, &GroupLeader::RefreshDirectory);
  while_leading(kBypassInterval, &GroupLeader::BypassSilentAgents);
  return absl::OkStatus();
}

// --- Status reports ---------------------------------------------------------

// Registers the agent in the store once its group is known. Leaders and entries
// use the group to distinguish the groups of a service, and entries use the
// slowdown to choose a rank.
void RankAgent::UpdateRegistration() {
  const RankReport& report = *rank_.report();
  const bool is_slowdown_changed =
      published_slowdown_.Update(report.slowdown, BootNow());
  if (options_.self.group == report.group && !is_slowdown_changed) return;
  const bool is_first = options_.self.group.empty();
  options_.self.group = report.group;
  options_.self.slowdown = published_slowdown_.value();
  lease_.SetValue(EncodeMember(options_.self));
  if (is_first) lease_.Start();
}

void RankAgent::Poll() {
  rank_.Poll({.on_counts = [this](const auto& chosen) { OnPoll(chosen); },
              .on_holdings = [this] { SendStatus(); }});
}

// Polls faster while a map switch waits for the engine, and reports the change
// as soon as it has happened.
void RankAgent::PollPendingTransition() {
  if (!rank_.HasPendingTransition()) return;
  rank_.Refresh([this] {
    if (HasTransitioned()) SendStatus();
    if (rank_.is_in_group() && !rank_.AreHoldingsKnown()) Poll();
  });
}

void RankAgent::OnPoll(const ExpertCounts& counts) {
  if (rank_.is_in_group()) UpdateRegistration();
  counts_.Add(counts);
  const bool is_due = BootNow() - status_sent_at_ >= StatusInterval();
  if (is_due || HasTransitioned()) SendStatus();
  if (is_due) ForwardCounts();
}

Duration RankAgent::StatusInterval() const {
  const int ranks = rank_.report() ? rank_.report()->size : 0;
  // Timers jitter; a poll that is slightly early must not skip its status.
  constexpr Millis kTolerance{20};
  return std::max<Duration>(options_.poll_interval,
                            kStatusIntervalPerRank * ranks) -
         kTolerance;
}

// True if the report differs from the last one sent in a field that a map
// switch depends on. Such changes are sent at once.
bool RankAgent::HasTransitioned() const {
  const RankReport* report = rank_.report();
  if (!report) return false;
  return report->epoch != last_sent_report_.epoch ||
         report->is_open != last_sent_report_.is_open ||
         report->map != last_sent_report_.map ||
         report->prepared != last_sent_report_.prepared ||
         report->armed != last_sent_report_.armed ||
         report->held != last_sent_report_.held;
}

void RankAgent::SendStatus() {
  if (!rank_.is_in_group()) return;
  RankMessage message = NewRankMessage(RankMessageKind::kStatus, leader_.term,
                                       options_.self, rank_.report());
  message.zone = options_.self.zone;
  message.backend = options_.self.backend;
  message.status = rank_.Status();
  message.status.agent = options_.self.id;
  message.status.term = leader_.term;
  message.status.granted = promises_.granted();
  message.status.ready_for = promises_.ready_for();
  message.status.missing = missing_;
  status_sent_at_ = BootNow();
  last_sent_report_ = message.status.report;
  if (leadership_) return leadership_->OnStatus(message);
  if (!leader_address_.empty()) Send(leader_address_, message);
}

// Sends the counts to the collector or the leader. Those received from other
// agents, if this agent is their collector, have been added to its own.
void RankAgent::ForwardCounts() {
  if (leadership_) return leadership_->OnCounts(counts_.Take());
  const bool is_own = collector_ == options_.self.peer;
  const Endpoint& to =
      collector_.empty() || is_own ? leader_address_ : collector_;
  if (to.empty() || !rank_.is_in_group()) return;
  RankMessage message = NewRankMessage(RankMessageKind::kChoices, leader_.term,
                                       options_.self, rank_.report());
  message.counts = counts_.Take();
  if (!message.counts.empty()) Send(to, message);
}

void RankAgent::Send(const Endpoint& to, const RankMessage& message) {
  socket_.Send(to, EncodeRankMessage(message));
}

// --- Commands ---------------------------------------------------------------

void RankAgent::OnDatagram(std::string_view data) {
  const auto message = DecodeRankMessage(data);
  if (!message) return;
  if (!rank_.report() || message->group != rank_.report()->group) return;
  if (message->term > leader_.term &&
      message->kind != RankMessageKind::kStatus) {
    FollowTerm(message->term, message->reply_to);
  }
  switch (message->kind) {
    case RankMessageKind::kHeartbeat:
      OnHeartbeat(*message);
      break;
    case RankMessageKind::kStatus:
      OnStatus(*message);
      break;
    case RankMessageKind::kCommand:
      OnCommand(*message);
      break;
    case RankMessageKind::kChoices:
      OnCounts(message->counts);
      break;
    case RankMessageKind::kCount:
      break;
  }
}

// A new leader is sent the rank's status at once.
void RankAgent::OnHeartbeat(const RankMessage& message) {
  if (message.term != leader_.term || leadership_) return;
  const bool is_new = leader_address_ != message.reply_to;
  leader_address_ = message.reply_to;
  leader_.OnHeartbeat(message.rank);
  leader_heard_ = BootNow();
  collector_ = message.collector;
  if (is_new) SendStatus();
}

// A status with a newer term deposes this leader.
void RankAgent::OnStatus(const RankMessage& message) {
  if (!leadership_) return;
  if (message.term > leader_.term) return FollowTerm(message.term, Endpoint());
  leadership_->OnStatus(message);
}

void RankAgent::OnCounts(const ExpertCounts& counts) {
  counts_.Add(counts);
  if (leadership_) ForwardCounts();
}

// A command of an older term is rejected. The status sent in reply tells that
// leader the newer term.
void RankAgent::OnCommand(const RankMessage& message) {
  if (!knows_term_ || message.term < leader_.term) return SendStatus();
  leader_address_ = message.reply_to;
  leader_heard_ = BootNow();
  command_queue_.push_back({.command = message.command, .term = message.term});
  RunNextCommand();
}

// Commands are executed one at a time, so that a status reflects all commands
// before it.
void RankAgent::RunNextCommand() {
  if (is_running_command_ || command_queue_.empty()) return;
  is_running_command_ = true;
  const QueuedCommand queued = std::move(command_queue_.front());
  command_queue_.pop_front();
  rank_.Refresh([this, queued] { Execute(queued); });
}

void RankAgent::Execute(QueuedCommand queued) {
  RankCommand& command = queued.command;
  const RankReport* report = rank_.report();
  const bool is_current_term = queued.term == leader_.term;
  if (command.is_grant && is_current_term) {
    promises_.OnGrantRequest(command.version);
    Log(LogLevel::kInfo, "grant_given",
        {{"term", queued.term.value()},
         {"version", command.version.value()},
         {"ready_for", promises_.ready_for().value()}});
  }
  if (command.is_readiness_query && is_current_term && report != nullptr) {
    promises_.OnReadinessQuery(command.version, *report);
  }
  // An order of another epoch is refused by the engine itself: the epoch in its
  // report may be wrong.
  const bool is_void = !report || !command.order ||
                       queued.term < leader_.term ||
                       report->rank != command.rank;
  if (is_void || !ResolveMap(command)) return FinishCommand();
  rank_.ExecuteOrder(command, queued.term, [this] { FinishCommand(); });
}

// Replaces a delta in a command to prepare by the full map. Returns false if
// the base of the delta is unknown; the status then reports the map as missing.
bool RankAgent::ResolveMap(RankCommand& command) {
  if (command.order != OrderKind::kPrepare) return true;
  if (!command.delta) {
    maps_.Put(command.version, command.map);
    missing_ = MapVersion();
    return true;
  }
  const RankReport& report = *rank_.report();
  if (command.delta->base == MapVersion() && engine_) {
    const auto sets = rank_.Status().holdings.size();
    maps_.Put(MapVersion(),
              GroupMap(sets, RoundRobinMap(report.size, engine_->experts)));
  }
  auto map = maps_.Resolve(command.version, *command.delta);
  missing_ = map ? MapVersion() : command.version;
  if (!map) {
    Log(LogLevel::kInfo, "map_missing",
        {{"version", command.version.value()},
         {"base", command.delta->base.value()}});
    return false;
  }
  command.map = *std::move(map);
  return true;
}

void RankAgent::FinishCommand() {
  is_running_command_ = false;
  SendStatus();
  RunNextCommand();
}

void RankAgent::Leave(const std::function<void()>& on_done) {
  if (leadership_) leadership_->BeginLeaving();
  EndWhenDone(BootNow() + kMaxLeaveTime, on_done);
}

void RankAgent::EndWhenDone(TimePoint limit,
                            const std::function<void()>& on_done) {
  const bool is_holding = leadership_ && leadership_->IsHolding();
  const bool is_executing = is_running_command_ || !command_queue_.empty();
  const bool is_done = !is_holding && !is_executing;
  if (!is_done && BootNow() < limit) {
    return loop_.After(kLeaveTick,
                       [this, limit, on_done] { EndWhenDone(limit, on_done); });
  }
  Log(LogLevel::kInfo, "leaving_ended",
      {{"holding", static_cast<int>(is_holding)},
       {"executing", static_cast<int>(is_executing)}});
  on_done();
}

// --- Leader election --------------------------------------------------------

std::string RankAgent::LeaderKey() const {
  return options_.schema.leader_prefix + rank_.report()->group.value();
}

void RankAgent::FollowTerm(LeaderTerm term, const Endpoint& leader) {
  if (leadership_) {
    Log(LogLevel::kInfo, "leading_ended",
        {{"term", leadership_->term().value()}, {"newer", term.value()}});
  }
  leadership_.reset();
  leader_.Follow(term);
  leader_address_ = leader;
  leader_heard_ = BootNow();
}

// The era changes when the store was restored from a backup, which may not have
// the current term. The leader steps down and campaigns for a term of the new
// era.
void RankAgent::OnEraChange() {
  if (!leadership_) return;
  Log(LogLevel::kInfo, "leading_ended",
      {{"term", leadership_->term().value()}, {"era", store_.era().value()}});
  leadership_.reset();
  if (!is_campaigning_) Campaign();
}

void RankAgent::WatchLeader() {
  if (is_campaigning_ || !rank_.is_in_group()) return;
  if (leadership_) {
    if (leadership_->NeedsNewTerm()) Campaign();
    return;
  }
  if (!knows_term_ || BootNow() - leader_heard_ > LeaderTimeout()) Campaign();
}

// Time without a message of the leader after which this agent campaigns. It is
// shortest for the agent whose rank holds a pass, since the group stands still
// until the hold is released. The others campaign one after the other, in the
// order of their ranks after the last leader's, so that they rarely compete.
Duration RankAgent::LeaderTimeout() const {
  const RankReport* report = rank_.report();
  if (report && report->held) return options_.leader_timeout_when_held;
  if (!report || report->size <= 0) return options_.leader_timeout;
  const int leader_rank = leader_.rank.value_or(0) % report->size;
  const int ranks_after_leader =
      (report->rank + report->size - leader_rank) % report->size;
  const Duration delay_per_rank = std::min<Duration>(
      kCandidateDelayPerRank, Duration(kMaxCandidateDelay) / report->size);
  return options_.leader_timeout + delay_per_rank * ranks_after_leader;
}

// Reads the newest term from the store, and claims the next one if no newer
// leader is found. A process that has just started only learns the term.
void RankAgent::Campaign() {
  if (!rank_.report()) return;
  is_campaigning_ = true;
  ReadTerm([this](const absl::StatusOr<StoredTerm>& stored) {
    is_campaigning_ = false;
    if (!stored.ok()) return;
    const LeaderTerm term(stored->revision.packed());
    const bool knew_term = std::exchange(knows_term_, true);
    // After the store was restored from a copy, the newest term may be this
    // agent's own. It names no other leader, so the agent claims the next one.
    const bool is_restored = stored->is_own && knew_term;
    const bool is_others = term > leader_.term && !is_restored;
    if (is_others) return FollowTerm(term, Endpoint());
    if (knew_term) ClaimLeadership(stored->revision);
  });
}

void RankAgent::ReadTerm(
    std::function<void(const absl::StatusOr<StoredTerm>&)> on_term) {
  const auto on_page = [this, key = LeaderKey(), on_term = std::move(on_term)](
                           const absl::StatusOr<StorePage>& page) {
    if (!page.ok()) {
      Log(LogLevel::kWarning, "leader_term_read_failed",
          {{"error", MessageOf(page.status())}});
      return on_term(page.status());
    }
    StoredTerm stored;
    for (const StoreItem& item : page->items) {
      if (item.key != key) continue;
      stored = {.revision = item.revision,
                .is_own = item.value == options_.self.id.value()};
    }
    on_term(stored);
  };
  store_.List(LeaderKey(), "", Freshness::kLinearizable, on_page);
}

// Calls `on_confirmed` if the store's newest term is still this leader's. A
// newer term deposes this leader. Nothing is called if the read fails.
void RankAgent::ConfirmTerm(std::function<void()> on_confirmed) {
  if (!rank_.report()) return;
  ReadTerm(
      [this, old_term = leader_.term, on_confirmed = std::move(on_confirmed)](
          const absl::StatusOr<StoredTerm>& stored) {
        if (!stored.ok()) return;
        const LeaderTerm term(stored->revision.packed());
        if (term > leader_.term) return FollowTerm(term, Endpoint());
        const bool is_same = term == leader_.term && old_term == leader_.term;
        if (is_same && leadership_) on_confirmed();
      });
}

void RankAgent::ClaimLeadership(Revision expected) {
  if (!rank_.report()) return;
  is_campaigning_ = true;
  store_.Commit(
      {.preconditions = {{LeaderKey(), expected}},
       .writes = {{LeaderKey(), options_.self.id.value(), LeaseId()}}},
      [this](const TransactionResult& result) {
        is_campaigning_ = false;
        leader_heard_ = BootNow();
        if (result.outcome == TransactionOutcome::kApplied) {
          BecomeLeader(LeaderTerm(result.revision.packed()));
        }
      });
}

void RankAgent::BecomeLeader(LeaderTerm term) {
  if (!rank_.report() || term <= leader_.term) return;
  const KnownLeader former = leader_.Succeed(term, rank_.report()->rank);
  leader_address_ = options_.self.peer;
  leadership_.reset();
  const std::string demand_key =
      options_.schema.demand_prefix + rank_.report()->group.value();
  leadership_ = std::make_shared<GroupLeader>(
      GroupLeader::Options{.term = term,
                           .self = options_.self,
                           .former_leader_rank = former.rank,
                           .former_term = former.term,
                           .demand_key = demand_key,
                           .planning = options_.planning,
                           .link_bytes_per_s = options_.link_bytes_per_s},
      GroupLeader::Dependencies{.loop = loop_,
                                .store = store_,
                                .counters = counters_,
                                .rank = rank_,
                                .agents = agents_,
                                .remote = remote_,
                                .engine = engine_},
      GroupLeader::Handlers{
          .send = [this](const Endpoint& to,
                         const std::string& bytes) { socket_.Send(to, bytes); },
          .execute_locally =
              [this, term](const RankCommand& command) {
                command_queue_.push_back({.command = command, .term = term});
                // Deferred: the caller may be processing a status.
                loop_.Post([this] { RunNextCommand(); });
              },
          .confirm_term =
              [this](std::function<void()> on_confirmed) {
                ConfirmTerm(std::move(on_confirmed));
              }});
  leadership_->Start();
  // The leader's own rank names the formation of its group.
  rank_.Refresh([this] { SendStatus(); });
}

// Reads the figures of the service's engines, which operators publish in the
// deployment.
void RankAgent::ReadDeployment() {
  store_.List(options_.schema.deployment_key, "", Freshness::kMayBeStale,
              [this](const absl::StatusOr<StorePage>& page) {
                if (!page.ok()) {
                  return Log(LogLevel::kWarning, "deployment_read_failed",
                             {{"error", MessageOf(page.status())}});
                }
                for (const StoreItem& item : page->items) OnDeployment(item);
              });
}

void RankAgent::OnDeployment(const StoreItem& item) {
  const auto deployment = options_.schema.decode_deployment(item.value);
  if (!deployment.ok()) {
    return Log(LogLevel::kError, "deployment_rejected",
               {{"revision", item.revision.number()},
                {"error", MessageOf(deployment.status())}});
  }
  const auto service = std::ranges::find(deployment->services, options_.service,
                                         &ServiceSpec::name);
  if (service == deployment->services.end()) return;
  engine_ = service->engine;
  if (engine_) rank_.SetLayout(LayoutOf(*engine_));
}

}  // namespace mangohold
