#include "group/rank_agent.h"

#include <algorithm>
#include <utility>

#include "core/log.h"
#include "core/status.h"

namespace mangohold {
namespace {

constexpr Millis kBeatRound{100};
constexpr Millis kWatchInterval{50};
constexpr Millis kSwitchInterval{50};
constexpr Millis kPlanInterval{250};
// Agents tell their leader this much later for each rank of the group, so that
// what it receives in a second doesn't grow with them.
constexpr Millis kTellSpacing{5};
constexpr Millis kDirectoryInterval{500};
// Being listed tells a leader an address, not that the agent is well.
constexpr Millis kLeaseTtl{30'000};
constexpr Millis kLeaseRenewal{10'000};
constexpr Millis kSilentAgentsInterval{300};
// Candidates wait this much longer for each rank before them.
constexpr Millis kCandidateSpacing{150};
constexpr Millis kLongestCandidacy{2'400};

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
  store_.AddEraListener([this] { OnEra(); });
  rank_.OnStart();
  Poll();
  loop_.Every(options_.poll, [this] { Poll(); });
  loop_.Every(options_.awaiting_poll, [this] { PollIfAwaiting(); });
  loop_.Every(kWatchInterval, [this] { WatchLeader(); });
  // Figures are read early, since a new leader may need them at once.
  loop_.Every(kDirectoryInterval, [this] {
    if (!engine_) ReadFigures();
  });
  const auto while_leading = [this](Duration interval,
                                    void (GroupLeader::*act)()) {
    loop_.Every(interval, [this, act] {
      if (leadership_) ((*leadership_).*act)();
    });
  };
  while_leading(kBeatRound, &GroupLeader::Beat);
  while_leading(kSwitchInterval, &GroupLeader::Advance);
  while_leading(kPlanInterval, &GroupLeader::OnPlanRound);
  while_leading(kDirectoryInterval, &GroupLeader::RefreshDirectory);
  while_leading(kSilentAgentsInterval, &GroupLeader::ActForSilentAgents);
  return absl::OkStatus();
}

// --- Telling ----------------------------------------------------------------

// The agent is listed once it knows its group, by which leaders and entries
// tell the groups of a service apart, and with its engine's pace, by which
// entries choose a rank.
void RankAgent::ListItself() {
  const RankReport& report = *rank_.report();
  const bool is_paced = pace_listing_.OnPace(report.pace, BootNow());
  if (options_.self.group == report.group && !is_paced) return;
  const bool is_first = options_.self.group.empty();
  options_.self.group = report.group;
  options_.self.pace = pace_listing_.listed();
  lease_.SetValue(EncodeMember(options_.self));
  if (is_first) lease_.Start();
}

void RankAgent::Poll() {
  rank_.Poll({.on_choices = [this](const auto& chosen) { OnPoll(chosen); },
              .on_holdings = [this] { SendStatus(); }});
}

// What a switch waits for is told as soon as it has happened.
void RankAgent::PollIfAwaiting() {
  if (!rank_.IsAwaiting()) return;
  rank_.Refresh([this] {
    if (HasNews()) SendStatus();
    if (rank_.is_in_group() && !rank_.AreHoldingsKnown()) Poll();
  });
}

void RankAgent::OnPoll(const ExpertCounts& choices) {
  if (rank_.is_in_group()) ListItself();
  choices_.Add(choices);
  const bool is_due = BootNow() - told_at_ >= TellInterval();
  if (is_due || HasNews()) SendStatus();
  if (is_due) PassOnChoices();
}

Duration RankAgent::TellInterval() const {
  const int ranks = rank_.report() ? rank_.report()->size : 0;
  // A poll that comes a little early is the one that is due.
  constexpr Millis kTolerance{20};
  return std::max<Duration>(options_.poll, kTellSpacing * ranks) - kTolerance;
}

// What a switch waits for is told at once.
bool RankAgent::HasNews() const {
  const RankReport* report = rank_.report();
  if (!report) return false;
  return report->epoch != told_.epoch || report->is_open != told_.is_open ||
         report->map != told_.map || report->prepared != told_.prepared ||
         report->armed != told_.armed || report->held != told_.held;
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
  told_at_ = BootNow();
  told_ = message.status.report;
  if (leadership_) return leadership_->OnStatus(message);
  if (!leader_.empty()) Send(leader_, message);
}

// An agent that collects for others adds theirs to its own.
void RankAgent::PassOnChoices() {
  if (leadership_) return leadership_->OnChoices(choices_.Take());
  const bool is_own = collector_ == options_.self.peer;
  const Endpoint& to = collector_.empty() || is_own ? leader_ : collector_;
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
    case RankMessageKind::kBeat:
      OnBeat(*message);
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
void RankAgent::OnBeat(const RankMessage& message) {
  if (message.term != term_ || leadership_) return;
  const bool is_new = leader_ != message.reply_to;
  leader_ = message.reply_to;
  leader_rank_ = message.rank;
  leader_heard_ = BootNow();
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
  if (leadership_) PassOnChoices();
}

// A command of an older leader is refused: the status tells it the newer term.
void RankAgent::OnCommand(const RankMessage& message) {
  if (!knows_term_ || message.term < term_) return SendStatus();
  leader_ = message.reply_to;
  leader_heard_ = BootNow();
  jobs_.push_back({.command = message.command, .term = message.term});
  RunNextJob();
}

// Commands are carried out one by one, so that a status tells of all that went
// before.
void RankAgent::RunNextJob() {
  if (is_running_job_ || jobs_.empty()) return;
  is_running_job_ = true;
  const Job job = std::move(jobs_.front());
  jobs_.pop_front();
  rank_.Refresh([this, job] { Execute(job); });
}

void RankAgent::Execute(Job job) {
  RankCommand& command = job.command;
  const RankReport* report = rank_.report();
  const bool is_of_term = job.term == term_;
  if (command.is_grant && is_of_term) granted_ = command.version;
  if (command.is_question && is_of_term) ready_for_ = command.version;
  const bool is_void = !report || !command.order || job.term < term_ ||
                       report->epoch != command.epoch ||
                       report->rank != command.rank;
  if (is_void || !ResolveMap(command)) return FinishJob();
  rank_.Order(command, job.term, [this] { FinishJob(); });
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

void RankAgent::FinishJob() {
  is_running_job_ = false;
  SendStatus();
  RunNextJob();
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
  leader_ = leader;
  leader_rank_.reset();  // until it beats
  leader_heard_ = BootNow();
}

// A term of an earlier era may be unknown to the store by now. Its leader stops
// and takes the first term of the new one.
void RankAgent::OnEra() {
  if (!leadership_) return;
  Log(LogLevel::kInfo, "leading_ended",
      {{"term", leadership_->term().value()}, {"era", store_.era().value()}});
  leadership_.reset();
  if (!is_challenging_) Challenge();
}

void RankAgent::WatchLeader() {
  if (is_challenging_ || !rank_.is_in_group()) return;
  if (leadership_) {
    // The next term brings versions that aren't used up.
    if (!leadership_->HasVersionsLeft()) Challenge();
    return;
  }
  if (!knows_term_ || BootNow() - leader_heard_ > Patience()) Challenge();
}

// The group stands still while it is held, and the agent beside the rank that
// holds it is the first to know. The others step forward one after the other,
// those beside the ranks after the last leader's first.
Duration RankAgent::Patience() const {
  const RankReport* report = rank_.report();
  if (report && report->held) return options_.leader_silence_when_held;
  if (!report || report->size <= 0) return options_.leader_silence;
  const int after_leader =
      (report->rank + report->size - leader_rank_.value_or(0)) % report->size;
  const Duration spacing = std::min<Duration>(
      kCandidateSpacing, Duration(kLongestCandidacy) / report->size);
  return options_.leader_silence + spacing * after_leader;
}

// Reads the term in force. A process that has just started only learns it; one
// that misses the leader tries to follow it.
void RankAgent::Challenge() {
  if (!rank_.report()) return;
  is_challenging_ = true;
  ReadTerm([this](const absl::StatusOr<StoredTerm>& stored) {
    is_challenging_ = false;
    if (!stored.ok()) return;
    const LeaderTerm term(stored->revision.packed());
    const bool knew_term = std::exchange(knows_term_, true);
    // This agent's own term in the copy from which the store came back names no
    // other leader.
    const bool is_of_copy = stored->is_own && knew_term;
    if (term > term_ && !is_of_copy) return FollowTerm(term, Endpoint());
    if (knew_term) TakeOver(stored->revision);
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
  ReadTerm([this, asked_for = term_, on_confirmed = std::move(on_confirmed)](
               const absl::StatusOr<StoredTerm>& stored) {
    if (!stored.ok()) return;
    const LeaderTerm term(stored->revision.packed());
    if (term > term_) return FollowTerm(term, Endpoint());
    if (term == term_ && asked_for == term_ && leadership_) on_confirmed();
  });
}

void RankAgent::TakeOver(Revision expected) {
  if (!rank_.report()) return;
  is_challenging_ = true;
  store_.Commit(
      {.preconditions = {{LeaderKey(), expected}},
       .writes = {{LeaderKey(), options_.self.id.value(), LeaseId()}}},
      [this](const TransactionResult& result) {
        is_challenging_ = false;
        leader_heard_ = BootNow();
        if (result.outcome == TransactionOutcome::kApplied) {
          Lead(LeaderTerm(result.revision.packed()));
        }
      });
}

void RankAgent::Lead(LeaderTerm term) {
  if (!rank_.report() || term <= term_) return;
  const LeaderTerm former_term = std::exchange(term_, term);
  leader_ = options_.self.peer;
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
      GroupLeader::Means{.loop = loop_,
                         .store = store_,
                         .counters = counters_,
                         .rank = rank_,
                         .agents = agents_,
                         .remote = remote_,
                         .engine = engine_},
      GroupLeader::Handlers{
          .send = [this](const Endpoint& to,
                         const std::string& bytes) { socket_.Send(to, bytes); },
          .on_own_command =
              [this, term](const RankCommand& command) {
                jobs_.push_back({.command = command, .term = term});
                // Not at once: this may be called from inside a status.
                loop_.Post([this] { RunNextJob(); });
              },
          .confirm_term =
              [this](std::function<void()> on_confirmed) {
                ConfirmTerm(std::move(on_confirmed));
              }});
  leadership_->Begin();
}

// The figures of the service's engines, which operators publish.
void RankAgent::ReadFigures() {
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
