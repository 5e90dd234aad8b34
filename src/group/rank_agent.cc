#include "group/rank_agent.h"

#include <algorithm>
#include <ranges>
#include <utility>

#include "core/log.h"
#include "core/status.h"
#include "group/demand_text.h"
#include "store/list_all.h"

namespace mangohold {
namespace {

// A leader beats in every round while the group may be held, and in every
// second one otherwise.
constexpr Millis kBeatRound{100};
constexpr Millis kWatchInterval{50};
constexpr Millis kSwitchInterval{50};
constexpr Millis kPlanInterval{250};
// Agents that aren't known to be of the group get a beat this often.
constexpr Millis kSeekInterval{400};
// Agents tell their leader this much later for each rank of the group, so that
// what it receives in a second doesn't grow with them.
constexpr Millis kTellSpacing{5};
// Maps fill this part of the link at the most.
constexpr double kMapShareOfLink = 0.6;
constexpr Millis kPacing{10};
constexpr Millis kDirectoryInterval{500};
// Being listed tells a leader an address, not that the agent is well.
constexpr Millis kLeaseTtl{30'000};
constexpr Millis kLeaseRenewal{10'000};
constexpr Millis kSilentAgentsInterval{300};
// Agents answer a new leader within this time, if they can.
constexpr Millis kTimeToAnswer{300};
// Candidates wait this much longer for each rank before them.
constexpr Millis kCandidateSpacing{150};
constexpr Millis kLongestCandidacy{2'400};
// Choices that a plan has to rest on, for each expert of all sets.
constexpr double kLeastChoicesPerExpert = 20;
// Demand that was read from the store has the weight of this many plans.
constexpr double kRestoredPlans = 4;
constexpr std::chrono::seconds kDemandInterval(4);

}  // namespace

RankAgent::RankAgent(EventLoop& loop, Store& store, EngineApi& engine,
                     Options options, Counters& counters)
    : loop_(loop),
      store_(store),
      engine_(engine),
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
      pacer_({.bytes_per_s = options_.link_bytes_per_s * kMapShareOfLink}) {}

absl::Status RankAgent::Start() {
  absl::Status status = socket_.Open(
      options_.self.peer, [this](std::string_view data) { OnDatagram(data); });
  if (!status.ok()) return status;
  leader_heard_ = BootNow();
  rank_.OnStart();
  const auto poll = [this] {
    rank_.Poll({.on_choices = [this](const auto& chosen) { OnPoll(chosen); },
                .on_holdings = [this] { SendStatus(); }});
  };
  poll();
  loop_.Every(options_.poll, poll);
  loop_.Every(kBeatRound, [this] {
    if (++beat_rounds_ % 2 == 0 || MayBeHeld()) Beat();
  });
  loop_.Every(kWatchInterval, [this] { WatchLeader(); });
  loop_.Every(kSwitchInterval, [this] { AdvanceSwitch(); });
  loop_.Every(kPlanInterval, [this] {
    EndPeriod();
    Plan();
  });
  loop_.Every(kDirectoryInterval, [this] { RefreshDirectory(); });
  loop_.Every(kSilentAgentsInterval, [this] { ActForSilentAgents(); });
  return absl::OkStatus();
}

// The agent is listed once it knows its group, by which leaders and entries
// tell the groups of a service apart.
void RankAgent::ListItself() {
  const GroupName& group = rank_.report()->group;
  if (options_.self.group == group) return;
  const bool is_first = options_.self.group.empty();
  options_.self.group = group;
  lease_.SetValue(EncodeMember(options_.self));
  if (is_first) lease_.Start();
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
  const RankReport& told = told_.report;
  return report->epoch != told.epoch || report->is_open != told.is_open ||
         report->map != told.map || report->prepared != told.prepared ||
         report->armed != told.armed || report->held != told.held;
}

void RankAgent::SendStatus() {
  if (!rank_.is_in_group()) return;
  RankMessage message = NewMessage(RankMessageKind::kStatus);
  message.zone = options_.self.zone;
  message.backend = options_.self.backend;
  message.status = rank_.Status();
  message.status.agent = options_.self.id;
  message.status.term = term_;
  message.status.granted = granted_;
  message.status.missing = missing_;
  told_at_ = BootNow();
  told_ = message.status;
  if (leadership_) return OnStatus(message);
  if (!leader_.empty()) SendTo(leader_, message);
}

// An agent that collects for others adds theirs to its own.
void RankAgent::PassOnChoices() {
  if (leadership_) return leadership_->demand.Add(choices_.Take(), experts_);
  const bool is_own = collector_ == options_.self.peer;
  const Endpoint& to = collector_.empty() || is_own ? leader_ : collector_;
  if (to.empty() || !rank_.is_in_group()) return;
  RankMessage message = NewMessage(RankMessageKind::kChoices);
  message.choices = choices_.Take();
  if (!message.choices.empty()) SendTo(to, message);
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
      OnChoices(*message);
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
  if (command.is_grant && job.term == term_) granted_ = command.version;
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
  if (command.delta->base == MapVersion() && experts_ > 0) {
    const auto sets = rank_.Status().holdings.size();
    maps_.Put(MapVersion(), GroupMap(sets, DealtInTurn(report.size, experts_)));
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

// --- Leading ----------------------------------------------------------------

RankMessage RankAgent::NewMessage(RankMessageKind kind) const {
  return {.kind = kind,
          .group = rank_.report() ? rank_.report()->group : GroupName(),
          .term = term_,
          .sender = options_.self.id,
          .rank = rank_.report() ? rank_.report()->rank : 0,
          .reply_to = options_.self.peer};
}

void RankAgent::SendTo(const Endpoint& to, const RankMessage& message) {
  socket_.Send(to, EncodeRankMessage(message));
}

// A leader that hears of a newer term is none any more.
void RankAgent::FollowTerm(LeaderTerm term, const Endpoint& leader) {
  if (leadership_) {
    Log(LogLevel::kInfo, "leading_ended",
        {{"term", leadership_->term.value()}, {"newer", term.value()}});
  }
  leadership_.reset();
  pacer_.Clear();
  term_ = term;
  leader_ = leader;
  leader_rank_.reset();  // until it beats
  leader_heard_ = BootNow();
}

void RankAgent::WatchLeader() {
  if (leadership_ || is_challenging_ || !rank_.is_in_group()) {
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
  const std::string key =
      options_.schema.leader_prefix + rank_.report()->group.value();
  store_.List(key, "", Freshness::kLinearizable, [this, key](const auto& page) {
    is_challenging_ = false;
    if (!page.ok()) return;
    Revision revision;
    for (const StoreItem& item : page->items) {
      if (item.key == key) revision = item.revision;
    }
    const LeaderTerm term(revision.value());
    const bool knew_term = std::exchange(knows_term_, true);
    if (term > term_) return FollowTerm(term, Endpoint());
    if (knew_term) TakeOver(revision);
  });
}

void RankAgent::TakeOver(Revision expected) {
  if (!rank_.report()) return;
  is_challenging_ = true;
  const std::string key =
      options_.schema.leader_prefix + rank_.report()->group.value();
  store_.Change({.expectations = {{key, expected}},
                 .writes = {{key, options_.self.id.value(), LeaseId()}}},
                [this](const ChangeResult& result) {
                  is_challenging_ = false;
                  leader_heard_ = BootNow();
                  if (result.fate == ChangeFate::kDone) {
                    Lead(LeaderTerm(result.revision.value()));
                  }
                });
}

void RankAgent::Lead(LeaderTerm term) {
  if (!rank_.report() || term <= term_) return;
  const LeaderTerm former_term = term_;
  term_ = term;
  leader_ = options_.self.peer;
  leadership_ = std::make_unique<Leadership>();
  leadership_->term = term;
  leadership_->began = BootNow();
  direct_.clear();
  search_.Rest();
  leadership_->map_switch = std::make_unique<MapSwitch>(
      MapSwitch::Options{.term = term,
                         .own_rank = rank_.report()->rank,
                         .former_leader = leader_rank_,
                         .former_term = former_term,
                         .experts = experts_});
  Log(LogLevel::kInfo, "leading_began",
      {{"group", rank_.report()->group.value()}, {"term", term.value()}});
  RefreshDirectory();
  ReadDemand();
  Beat();
}

// Agents of the group are told where their choices go. As long as one is
// missing it is looked for among the agents that have no place in the group.
void RankAgent::Beat() {
  if (!leadership_ || !rank_.report()) return;
  RankMessage beat = NewMessage(RankMessageKind::kBeat);
  const auto collectors = Collectors();
  for (int rank = 0; rank < std::ssize(collectors); ++rank) {
    const Member* agent = agents_.AgentOf(rank);
    if (agent == nullptr || agent->id == options_.self.id) continue;
    const Member* collector =
        collectors[rank] ? agents_.AgentOf(*collectors[rank]) : nullptr;
    beat.collector = collector != nullptr ? collector->peer : Endpoint();
    SendTo(agent->peer, beat);
  }
  const TimePoint now = BootNow();
  if (now - sought_at_ < kSeekInterval || !IsAgentMissing()) return;
  const auto unplaced = agents_.Unplaced(rank_.report()->group);
  if (unplaced.empty()) return;  // or the list hasn't been read yet
  sought_at_ = now;
  beat.collector = Endpoint();
  for (const Member& agent : unplaced) SendTo(agent.peer, beat);
}

std::vector<std::optional<int>> RankAgent::Collectors() const {
  const RankReport& report = *rank_.report();
  const auto silent = leadership_->map_switch->SilentRanks(BootNow());
  std::vector<CollectorCandidate> ranks(
      static_cast<std::size_t>(std::max(0, report.size)));
  for (int rank = 0; rank < std::ssize(ranks); ++rank) {
    const Member* agent = agents_.AgentOf(rank);
    if (agent == nullptr) continue;
    ranks[rank] = {.zone = agent->zone,
                   .is_heard = std::ranges::find(silent, rank) == silent.end()};
  }
  return AssignCollectors(ranks, report.rank);
}

void RankAgent::OnChoices(const RankMessage& message) {
  choices_.Add(message.choices);
  if (leadership_) PassOnChoices();
}

// Only a leader addresses other agents. Figures are read early, since a new
// leader may need them at once.
void RankAgent::RefreshDirectory() {
  if (placement_.places == 0) ReadFigures();
  if (leadership_) agents_.Refresh(BootNow(), IsAgentMissing());
}

// A leader misses agents of ranks that say nothing, or that it can't address.
bool RankAgent::IsAgentMissing() const {
  if (!leadership_ || !rank_.report()) return false;
  const MapSwitch& map_switch = *leadership_->map_switch;
  if (map_switch.size() < rank_.report()->size) return true;
  if (!map_switch.SilentRanks(BootNow()).empty()) return true;
  return std::ranges::any_of(
      std::views::iota(0, rank_.report()->size),
      [this](int rank) { return agents_.AgentOf(rank) == nullptr; });
}

void RankAgent::OnStatus(const RankMessage& message) {
  if (!leadership_) return;
  if (message.term > leadership_->term) {
    return FollowTerm(message.term, Endpoint());
  }
  const TimePoint now = BootNow();
  direct_.erase(message.status.report.rank);
  agents_.OnHeard(message.status.report.rank,
                  {.id = message.sender,
                   .role = MemberRole::kAgent,
                   .zone = message.zone,
                   .peer = message.reply_to,
                   .backend = message.backend,
                   .group = message.group},
                  now);
  leadership_->map_switch->OnStatus(message.status, now);
  AdvanceSwitch();
}

void RankAgent::AdvanceSwitch() {
  if (!leadership_) return;
  MapSwitch& map_switch = *leadership_->map_switch;
  const auto before = map_switch.phase();
  for (const RankCommand& command : map_switch.Advance(BootNow())) {
    Give(command);
  }
  if (map_switch.phase() != before) {
    Log(LogLevel::kInfo, "map_switch_phase",
        {{"phase", static_cast<int>(map_switch.phase())},
         {"version", map_switch.version().value()}});
  }
  // A group that has formed anew needs a map as soon as it can be planned.
  if (map_switch.version() == MapVersion() && map_switch.CanBegin(BootNow())) {
    loop_.Post([this] { Plan(); });
  }
}

void RankAgent::Give(const RankCommand& command) {
  RankMessage message = NewMessage(RankMessageKind::kCommand);
  message.command = command;
  if (rank_.report() && command.rank == rank_.report()->rank) {
    jobs_.push_back({.command = command, .term = term_});
    // Not at once: this may be called from inside a status.
    loop_.Post([this] { RunNextJob(); });
    return;
  }
  const Member* agent = agents_.AgentOf(command.rank);
  if (command.is_direct && agent != nullptr) {
    return GiveDirectly(agent->backend, command);
  }
  const auto direct = direct_.find(command.rank);
  if (direct != direct_.end() && command.order) {
    GiveDirectly(direct->second, command);
  }
  // An agent that isn't known yet is found by beats first.
  if (agent == nullptr) return;
  if (command.order == OrderKind::kPrepare) {
    SendPaced(agent->peer, message);
  } else {
    SendTo(agent->peer, message);
  }
}

void RankAgent::SendPaced(const Endpoint& to, const RankMessage& message) {
  pacer_.Queue({.to = to, .bytes = EncodeRankMessage(message)});
  if (!std::exchange(is_pacing_, true)) SendDue();
}

void RankAgent::SendDue() {
  for (const auto& message : pacer_.TakeDue(BootNow())) {
    socket_.Send(message.to, message.bytes);
  }
  is_pacing_ = !pacer_.is_empty();
  if (is_pacing_) loop_.After(kPacing, [this] { SendDue(); });
}

void RankAgent::EndPeriod() {
  if (!leadership_) return;
  const auto present = leadership_->map_switch->PresentMap(BootNow());
  leadership_->demand.EndPeriod(present ? &*present : nullptr);
}

// Looks for a better map, set by set, so that the loop turns in between.
void RankAgent::Plan() {
  if (!leadership_ || leadership_->planner) return;
  if (placement_.places == 0) return;
  const DemandEstimate& demand = leadership_->demand;
  const MapSwitch& map_switch = *leadership_->map_switch;
  const auto present = map_switch.PresentMap(BootNow());
  if (!present || present->size() != demand.demand().size()) return;
  const auto experts = static_cast<double>(demand.demand().size()) * experts_;
  if (demand.Weight() < kLeastChoicesPerExpert * experts) return;
  placement_.paces = map_switch.Paces();
  const double skew = SkewOf(*present, demand.demand(), placement_.paces);
  if (skew < 1 + options_.least_gain) return;
  leadership_->planner =
      std::make_unique<EvenPlanner>(*present, demand.demand(), placement_);
  PlanOn();
}

void RankAgent::PlanOn() {
  if (!leadership_ || !leadership_->planner) return;
  if (!leadership_->planner->PlanNextSet()) return FinishPlan();
  loop_.Post([this] { PlanOn(); });
}

// Begins the switch to the planned map, if it is worth it and the group is as
// it was when the plan was begun.
void RankAgent::FinishPlan() {
  const auto planner = std::exchange(leadership_->planner, nullptr);
  MapSwitch& map_switch = *leadership_->map_switch;
  const TimePoint now = BootNow();
  if (map_switch.PresentMap(now) != planner->present()) return;
  const ExpertDemand& demand = planner->demand();
  const double before = SkewOf(planner->present(), demand, placement_.paces);
  const double after = SkewOf(planner->map(), demand, placement_.paces);
  if (before - after < options_.least_gain) return;
  Log(LogLevel::kInfo, "map_planned",
      {{"skew_before_percent", static_cast<int>(before * 100)},
       {"skew_after_percent", static_cast<int>(after * 100)},
       {"copies", CountCopies(planner->present(), planner->map())}});
  counters_.Count(Event::kMapSwitches);
  KeepDemand();
  maps_.Put(map_switch.PresentVersion(), planner->present());
  map_switch.Begin(planner->map(), now);
  AdvanceSwitch();
}

// Keeps what is known of the demand where a later leader finds it. A write that
// fails is made good by the next plan's.
void RankAgent::KeepDemand() {
  const TimePoint now = BootNow();
  if (now - kept_demand_at_ < kDemandInterval || !rank_.report()) return;
  kept_demand_at_ = now;
  const std::string key =
      options_.schema.demand_prefix + rank_.report()->group.value();
  const std::string text = EncodeDemand(leadership_->demand.demand());
  store_.Change({.writes = {{key, text, LeaseId()}}},
                [](const ChangeResult& result) {
                  if (result.fate == ChangeFate::kDone) return;
                  Log(LogLevel::kInfo, "demand_not_kept",
                      {{"fate", static_cast<int>(result.fate)}});
                });
}

void RankAgent::ReadDemand() {
  const std::string key =
      options_.schema.demand_prefix + rank_.report()->group.value();
  store_.List(key, "", Freshness::kMayBeStale, [this, key](const auto& page) {
    if (!page.ok()) return LogEngineCall("demand", page.status());
    if (!leadership_) return;
    for (const StoreItem& item : page->items) {
      const auto demand = DecodeDemand(item.value);
      if (item.key != key || !demand || demand->empty()) continue;
      const auto experts =
          static_cast<double>(demand->size() * demand->front().size());
      leadership_->demand.Restore(
          *demand, kRestoredPlans * kLeastChoicesPerExpert * experts);
      Log(LogLevel::kInfo, "demand_restored",
          {{"sets", demand->size()}, {"revision", item.revision.value()}});
    }
  });
}

// True if this agent leads and the group may be held.
bool RankAgent::MayBeHeld() const {
  if (!leadership_) return false;
  switch (leadership_->map_switch->phase()) {
    case MapSwitch::Phase::kReading:
    case MapSwitch::Phase::kHolding:
    case MapSwitch::Phase::kArming:
    case MapSwitch::Phase::kUndoing:
    case MapSwitch::Phase::kReleasing:
      return true;
    default:
      return false;
  }
}

// While a hold may be in force, the leader acts for agents that say nothing:
// their engines may be sound, and the group stands still. The engines are asked
// at the addresses where they serve callers, since those beside their agents
// may have gone silent with them.
void RankAgent::ActForSilentAgents() {
  if (!leadership_) return;
  const TimePoint now = BootNow();
  const auto silent = leadership_->map_switch->SilentRanks(now);
  if (silent.empty()) search_.Rest();
  if (!MayBeHeld() || now - leadership_->began < kTimeToAnswer) return;
  bool is_one_unknown = false;
  for (const int rank : silent) {
    const Member* agent = agents_.AgentOf(rank);
    if (agent != nullptr) ReadRemote(agent->backend);
    is_one_unknown = is_one_unknown || !direct_.contains(rank);
  }
  if (!is_one_unknown || !search_.IsDue(now)) return;
  ListAll(store_, options_.schema.backend_prefix, Freshness::kMayBeStale,
          [this](const auto& engines) {
            if (engines.ok()) return ReadSilentRanks(*engines);
            LogEngineCall("backend servers", engines.status());
          });
}

void RankAgent::ReadSilentRanks(const std::vector<StoreItem>& engines) {
  if (!rank_.report()) return;
  const TimePoint now = BootNow();
  for (const StoreItem& item : engines) {
    const auto record = options_.schema.decode_backend(
        InstanceId(item.key.substr(options_.schema.backend_prefix.size())),
        item.value);
    if (!record.ok() || record->service != options_.service) continue;
    if (search_.IsForeign(record->address, rank_.report()->group, now)) {
      continue;
    }
    ReadRemote(record->address);
  }
}

bool RankAgent::IsSilent(int rank) const {
  if (!leadership_) return false;
  const auto silent = leadership_->map_switch->SilentRanks(BootNow());
  return std::ranges::find(silent, rank) != silent.end();
}

void RankAgent::ReadRemote(const Endpoint& engine) {
  engine_.Report(engine, [this, engine](const auto& report) {
    if (!report.ok()) {
      return LogEngineCall("report of " + engine.value(), report.status());
    }
    search_.OnReport(engine, report->group, BootNow());
    const RankReport* own = rank_.report();
    if (!leadership_ || !own || report->group != own->group) return;
    const auto direct = direct_.find(report->rank);
    const bool is_needed = direct != direct_.end() || IsSilent(report->rank);
    if (!is_needed) return;
    direct_[report->rank] = engine;
    leadership_->map_switch->OnStatus({.term = term_, .report = *report},
                                      BootNow());
    AdvanceSwitch();
  });
}

// Only what ends a hold is ordered over an agent's head; a preparation waits
// for the agent's return.
void RankAgent::GiveDirectly(const Endpoint& engine,
                             const RankCommand& command) {
  const bool is_allowed = command.is_direct ||
                          command.order == OrderKind::kArm ||
                          command.order == OrderKind::kGo;
  if (!is_allowed) return;
  engine_.Report(engine, [this, engine, command](const auto& report) {
    const bool is_void = !leadership_ || !report.ok() ||
                         report->epoch != command.epoch ||
                         report->rank != command.rank;
    if (is_void) return;
    GiveOrder(engine_, engine, *report, command, term_,
              [this, engine, rank = command.rank](OrderFate /*fate*/) {
                const Member* agent = agents_.AgentOf(rank);
                if (direct_.contains(rank) || agent == nullptr) {
                  return ReadRemote(engine);
                }
                RankMessage question = NewMessage(RankMessageKind::kCommand);
                question.command.rank = rank;
                SendTo(agent->peer, question);
              });
  });
}

// The engine's places for experts, which operators publish with its service.
void RankAgent::ReadFigures() {
  store_.List(options_.schema.deployment_key, "", Freshness::kMayBeStale,
              [this](const auto& page) {
                if (!page.ok() || page->items.empty()) return;
                const auto deployment = options_.schema.decode_deployment(
                    page->items.front().value);
                if (!deployment.ok()) return;
                for (const ServiceSpec& service : deployment->services) {
                  if (service.name != options_.service || !service.engine) {
                    continue;
                  }
                  experts_ = service.engine->experts;
                  placement_ = {
                      .places = service.engine->places,
                      .spare_places = service.engine->spare_places,
                      .least_saving_per_copy = options_.least_saving_per_copy};
                }
              });
}

}  // namespace mangohold
