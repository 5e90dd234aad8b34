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
// Agents tell their leader this much later for each rank of the group, so that
// what it receives in a second doesn't grow with them.
constexpr Millis kStatusIntervalPerRank{5};
constexpr Millis kDirectoryInterval{500};
// Being listed tells a leader an address, not that the agent is well.
constexpr Millis kLeaseTtl{30'000};
constexpr Millis kLeaseRenewal{10'000};
constexpr Millis kBypassInterval{300};
// Candidates wait this much longer for each rank before them.
constexpr Millis kCandidateDelayPerRank{150};
constexpr Millis kMaxCandidateDelay{2'400};

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
              .renewal = kLeaseRenewal}),
      rank_(engine, options_.self.backend, counters),
      agents_(store, options_.schema.member_prefix, options_.self.id),
      remote_(store, engine,
              {.schema = options_.schema, .service = options_.service}) {}

absl::Status RankAgent::Start() {
  absl::Status status = socket_.Open(
      options_.self.peer, [this](std::string_view data) { OnDatagram(data); });
  if (!status.ok()) return status;
  leader_heard_at_ = BootNow();
  store_.AddEraListener([this] { OnEraChange(); });
  rank_.OnProcessStart();
  Poll();
  loop_.Every(options_.poll_interval, [this] { Poll(); });
  loop_.Every(options_.transition_poll_interval,
              [this] { PollPendingTransition(); });
  loop_.Every(kLeaderCheckInterval, [this] { WatchLeader(); });
  // Figures are read early, since a new leader may need them at once.
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

// --- Telling ----------------------------------------------------------------

// The agent is listed once it knows its group, by which leaders and entries
// tell the groups of a service apart, and with its engine's pace, by which
// entries choose a rank.
void RankAgent::UpdateRegistration() {
  const RankReport& report = *rank_.report();
  const bool is_pace_changed = published_pace_.Update(report.pace, BootNow());
  if (options_.self.group == report.group && !is_pace_changed) return;
  const bool is_first = options_.self.group.empty();
  options_.self.group = report.group;
  options_.self.pace = published_pace_.value();
  lease_.SetValue(EncodeMember(options_.self));
  if (is_first) lease_.Start();
}

void RankAgent::Poll() {
  rank_.Poll({.on_choices = [this](const auto& chosen) { OnPoll(chosen); },
              .on_holdings = [this] { SendStatus(); }});
}

// What a switch waits for is told as soon as it has happened.
void RankAgent::PollPendingTransition() {
  if (!rank_.HasPendingTransition()) return;
  rank_.Refresh([this] {
    if (HasTransitioned()) SendStatus();
    if (rank_.is_in_group() && !rank_.AreHoldingsKnown()) Poll();
  });
}

void RankAgent::OnPoll(const ExpertCounts& choices) {
  if (rank_.is_in_group()) UpdateRegistration();
  choices_.Add(choices);
  const bool is_due = BootNow() - status_sent_at_ >= StatusInterval();
  if (is_due || HasTransitioned()) SendStatus();
  if (is_due) ForwardChoices();
}

Duration RankAgent::StatusInterval() const {
  const int ranks = rank_.report() ? rank_.report()->size : 0;
  // A poll that comes a little early is the one that is due.
  constexpr Millis kTolerance{20};
  return std::max<Duration>(options_.poll_interval,
                            kStatusIntervalPerRank * ranks) -
         kTolerance;
}

// What a switch waits for is told at once.
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
  RankMessage message = NewRankMessage(RankMessageKind::kStatus, term_,
                                       options_.self, rank_.report());
  message.zone = options_.self.zone;
  message.backend = options_.self.backend;
  message.status = rank_.Status();
  message.status.agent = options_.self.id;
  message.status.term = term_;
  message.status.granted = granted_;
  message.status.ready_for = ready_for_;
  message.status.missing = missing_;
  status_sent_at_ = BootNow();
  last_sent_report_ = message.status.report;
  if (leadership_) return leadership_->OnStatus(message);
  if (!leader_address_.empty()) Send(leader_address_, message);
}

// An agent that collects for others adds theirs to its own.
void RankAgent::ForwardChoices() {
  if (leadership_) return leadership_->OnChoices(choices_.Take());
  const bool is_own = collector_ == options_.self.peer;
  const Endpoint& to =
      collector_.empty() || is_own ? leader_address_ : collector_;
  if (to.empty() || !rank_.is_in_group()) return;
  RankMessage message = NewRankMessage(RankMessageKind::kChoices, term_,
                                       options_.self, rank_.report());
  message.choices = choices_.Take();
  if (!message.choices.empty()) Send(to, message);
}

void RankAgent::Send(const Endpoint& to, const RankMessage& message) {
  socket_.Send(to, EncodeRankMessage(message));
}

// --- Commands ---------------------------------------------------------------

void RankAgent::OnDatagram(std::string_view data) {
  const auto message = DecodeRankMessage(data);
  if (!message) return;
  if (!rank_.report() || message->group != rank_.report()->group) return;
  if (message->term > term_ && message->kind != RankMessageKind::kStatus) {
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
      OnChoices(message->choices);
      break;
    case RankMessageKind::kCount:
      break;
  }
}

// A leader that is new learns at once what the rank is at.
void RankAgent::OnHeartbeat(const RankMessage& message) {
  if (message.term != term_ || leadership_) return;
  const bool is_new = leader_address_ != message.reply_to;
  leader_address_ = message.reply_to;
  leader_rank_ = message.rank;
  leader_heard_at_ = BootNow();
  collector_ = message.collector;
  if (is_new) SendStatus();
}

// A leader that hears of a newer term is none any more.
void RankAgent::OnStatus(const RankMessage& message) {
  if (!leadership_) return;
  if (message.term > term_) return FollowTerm(message.term, Endpoint());
  leadership_->OnStatus(message);
}

void RankAgent::OnChoices(const ExpertCounts& choices) {
  choices_.Add(choices);
  if (leadership_) ForwardChoices();
}

// A command of an older leader is refused: the status tells it the newer term.
void RankAgent::OnCommand(const RankMessage& message) {
  if (!has_read_term_ || message.term < term_) return SendStatus();
  leader_address_ = message.reply_to;
  leader_heard_at_ = BootNow();
  command_queue_.push_back({.command = message.command, .term = message.term});
  RunNextCommand();
}

// Commands are carried out one by one, so that a status tells of all that went
// before.
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
  const bool is_current_term = queued.term == term_;
  if (command.is_grant && is_current_term) granted_ = command.version;
  if (command.is_question && is_current_term) ready_for_ = command.version;
  const bool is_void = !report || !command.order || queued.term < term_ ||
                       report->epoch != command.epoch ||
                       report->rank != command.rank;
  if (is_void || !ResolveMap(command)) return FinishCommand();
  rank_.ExecuteOrder(command, queued.term, [this] { FinishCommand(); });
}

// Makes the whole map of a difference. False if it can't be: the leader is told
// which one is missing.
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
              GroupMap(sets, DealtInTurn(report.size, engine_->experts)));
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

// --- The leader and its succession ------------------------------------------

std::string RankAgent::LeaderKey() const {
  return options_.schema.leader_prefix + rank_.report()->group.value();
}

void RankAgent::FollowTerm(LeaderTerm term, const Endpoint& leader) {
  if (leadership_) {
    Log(LogLevel::kInfo, "leading_ended",
        {{"term", leadership_->term().value()}, {"newer", term.value()}});
  }
  leadership_.reset();
  term_ = term;
  leader_address_ = leader;
  leader_rank_.reset();  // until it beats
  leader_heard_at_ = BootNow();
}

// A term of an earlier era may be unknown to the store by now. Its leader stops
// and takes the first term of the new one.
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
    // The next term brings versions that aren't used up.
    if (!leadership_->HasVersionsLeft()) Campaign();
    return;
  }
  if (!has_read_term_ || BootNow() - leader_heard_at_ > LeaderTimeout())
    Campaign();
}

// The group stands still while it is held, and the agent beside the rank that
// holds it is the first to know. The others step forward one after the other,
// those beside the ranks after the last leader's first.
Duration RankAgent::LeaderTimeout() const {
  const RankReport* report = rank_.report();
  if (report && report->held) return options_.leader_timeout_when_held;
  if (!report || report->size <= 0) return options_.leader_timeout;
  const int ranks_after_leader =
      (report->rank + report->size - leader_rank_.value_or(0)) % report->size;
  const Duration delay_per_rank = std::min<Duration>(
      kCandidateDelayPerRank, Duration(kMaxCandidateDelay) / report->size);
  return options_.leader_timeout + delay_per_rank * ranks_after_leader;
}

// Reads the term in force. A process that has just started only learns it; one
// that misses the leader tries to follow it.
void RankAgent::Campaign() {
  if (!rank_.report()) return;
  is_campaigning_ = true;
  ReadTerm([this](const absl::StatusOr<StoredTerm>& stored) {
    is_campaigning_ = false;
    if (!stored.ok()) return;
    const LeaderTerm term(stored->revision.packed());
    const bool had_read_term = std::exchange(has_read_term_, true);
    // This agent's own term in the copy from which the store came back names no
    // other leader.
    const bool is_restored_own_term = stored->is_own && had_read_term;
    if (term > term_ && !is_restored_own_term)
      return FollowTerm(term, Endpoint());
    if (had_read_term) ClaimLeadership(stored->revision);
  });
}

void RankAgent::ReadTerm(
    std::function<void(const absl::StatusOr<StoredTerm>&)> on_term) {
  const auto on_page = [this, key = LeaderKey(), on_term = std::move(on_term)](
                           const absl::StatusOr<StorePage>& page) {
    if (!page.ok()) {
      Log(LogLevel::kWarning, "term_unread",
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

// A leader that learns of a newer term is none any more.
void RankAgent::ConfirmTerm(std::function<void()> on_confirmed) {
  if (!rank_.report()) return;
  ReadTerm(
      [this, term_at_request = term_, on_confirmed = std::move(on_confirmed)](
          const absl::StatusOr<StoredTerm>& stored) {
        if (!stored.ok()) return;
        const LeaderTerm term(stored->revision.packed());
        if (term > term_) return FollowTerm(term, Endpoint());
        if (term == term_ && term_at_request == term_ && leadership_)
          on_confirmed();
      });
}

void RankAgent::ClaimLeadership(Revision expected) {
  if (!rank_.report()) return;
  is_campaigning_ = true;
  store_.Change(
      {.expectations = {{LeaderKey(), expected}},
       .writes = {{LeaderKey(), options_.self.id.value(), LeaseId()}}},
      [this](const ChangeResult& result) {
        is_campaigning_ = false;
        leader_heard_at_ = BootNow();
        if (result.fate == ChangeFate::kDone) {
          BecomeLeader(LeaderTerm(result.revision.packed()));
        }
      });
}

void RankAgent::BecomeLeader(LeaderTerm term) {
  if (!rank_.report() || term <= term_) return;
  const LeaderTerm former_term = std::exchange(term_, term);
  leader_address_ = options_.self.peer;
  leadership_.reset();
  const std::string demand_key =
      options_.schema.demand_prefix + rank_.report()->group.value();
  leadership_ = std::make_shared<GroupLeader>(
      GroupLeader::Options{.term = term,
                           .self = options_.self,
                           .former_leader = leader_rank_,
                           .former_term = former_term,
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
                // Not at once: this may be called from inside a status.
                loop_.Post([this] { RunNextCommand(); });
              },
          .confirm_term =
              [this](std::function<void()> on_confirmed) {
                ConfirmTerm(std::move(on_confirmed));
              }});
  leadership_->Start();
}

// The figures of the service's engines, which operators publish.
void RankAgent::ReadDeployment() {
  store_.List(options_.schema.deployment_key, "", Freshness::kMayBeStale,
              [this](const absl::StatusOr<StorePage>& page) {
                if (!page.ok()) {
                  return Log(LogLevel::kWarning, "deployment_unread",
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
  if (service != deployment->services.end()) engine_ = service->engine;
}

}  // namespace mangohold
