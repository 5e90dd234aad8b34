#include "group/group_leader.h"

#include <algorithm>
#include <ranges>
#include <utility>

#include "core/log.h"
#include "group/count_aggregation.h"

namespace mangohold {
namespace {

// Interval of heartbeats to agents whose rank is unknown.
constexpr Millis kDiscoveryInterval{400};
// Share of the link rate that maps may use.
constexpr double kMaxMapShareOfLink = 0.6;
constexpr Millis kPacingInterval{10};
// Reachable agents send a status to a new leader within this time.
constexpr Millis kStatusGrace{300};
// A leader sends orders to engines directly, bypassing silent agents, only
// within this time after a read of the store that confirmed its term. It reads
// the term more often than this.
constexpr Millis kMaxConfirmationAge{400};

bool Contains(const std::vector<int>& ranks, int rank) {
  return std::ranges::find(ranks, rank) != ranks.end();
}

}  // namespace

GroupLeader::GroupLeader(Options options, Dependencies dependencies,
                         Handlers handlers)
    : options_(std::move(options)),
      deps_(dependencies),
      handlers_(std::move(handlers)),
      started_(BootNow()),
      switch_({.term = options_.term,
               .own_rank = deps_.rank.report()->rank,
               .former_leader_rank = options_.former_leader_rank,
               .former_term = options_.former_term,
               .experts = deps_.engine ? deps_.engine->experts : 0}),
      planner_(options_.planning),
      demand_checkpoint_(deps_.store, options_.demand_key),
      pacer_({.bytes_per_s = options_.link_bytes_per_s * kMaxMapShareOfLink}) {}

GroupLeader::~GroupLeader() { deps_.remote.OnLeaderStop(); }

void GroupLeader::Start() {
  Log(LogLevel::kInfo, "leading_began",
      {{"group", deps_.rank.report()->group.value()},
       {"term", options_.term.value()}});
  deps_.remote.OnLeaderStart([this](const auto& report, const auto& engine) {
    OnRemoteReport(report, engine);
  });
  RefreshDirectory();
  demand_checkpoint_.Load(
      [weak = weak_from_this()](const ExpertDemand& demand) {
        if (const auto self = weak.lock()) self->planner_.Restore(demand);
      });
  SendHeartbeats();
}

// --- Messages ---------------------------------------------------------------

RankMessage GroupLeader::NewMessage(RankMessageKind kind) const {
  return NewRankMessage(kind, options_.term, options_.self,
                        deps_.rank.report());
}

void GroupLeader::Send(const Endpoint& to, const RankMessage& message) {
  handlers_.send(to, EncodeRankMessage(message));
}

void GroupLeader::SendPaced(const Endpoint& to, const RankMessage& message) {
  pacer_.Queue({.to = to, .bytes = EncodeRankMessage(message)});
  if (!std::exchange(is_pacing_, true)) SendDue();
}

void GroupLeader::SendDue() {
  for (const auto& message : pacer_.TakeDue(BootNow())) {
    handlers_.send(message.to, message.bytes);
  }
  is_pacing_ = !pacer_.is_empty();
  if (!is_pacing_) return;
  deps_.loop.After(kPacingInterval, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->SendDue();
  });
}

// Each heartbeat names the collector to which the agent sends its counts.
// Heartbeats are sent on every call while the group may be held, and on every
// second one otherwise.
void GroupLeader::SendHeartbeats() {
  const bool is_due = ++heartbeat_rounds_ % 2 == 1 || MayBeHeld();
  if (!is_due || deps_.rank.report() == nullptr) return;
  RankMessage heartbeat = NewMessage(RankMessageKind::kHeartbeat);
  const auto collectors = ChooseCollectors();
  for (int rank = 0; rank < std::ssize(collectors); ++rank) {
    const Member* agent = deps_.agents.FindByRank(rank);
    if (agent == nullptr || agent->id == options_.self.id) continue;
    const Member* collector =
        collectors[rank] ? deps_.agents.FindByRank(*collectors[rank]) : nullptr;
    heartbeat.collector = collector != nullptr ? collector->peer : Endpoint();
    Send(agent->peer, heartbeat);
  }
  DiscoverAgents();
}

// While the agent of some rank is missing, sends heartbeats to all agents of
// the group whose rank is unknown. They reply with a status that names their
// rank.
void GroupLeader::DiscoverAgents() {
  const TimePoint now = BootNow();
  const bool is_due =
      !last_discovery_at_ || now - *last_discovery_at_ >= kDiscoveryInterval;
  if (!is_due || !IsAgentMissing()) return;
  const auto without_rank =
      deps_.agents.AgentsWithoutRank(deps_.rank.report()->group);
  if (without_rank.empty()) return;  // also if the list hasn't been read yet
  last_discovery_at_ = now;
  const RankMessage heartbeat = NewMessage(RankMessageKind::kHeartbeat);
  for (const Member& agent : without_rank) Send(agent.peer, heartbeat);
}

std::vector<std::optional<int>> GroupLeader::ChooseCollectors() const {
  const RankReport& report = *deps_.rank.report();
  const auto silent = switch_.SilentRanks(BootNow());
  std::vector<CollectorCandidate> ranks(
      static_cast<std::size_t>(std::max(0, report.size)));
  for (int rank = 0; rank < std::ssize(ranks); ++rank) {
    const Member* agent = deps_.agents.FindByRank(rank);
    if (agent == nullptr) continue;
    ranks[rank] = {.zone = agent->zone,
                   .is_responsive = !Contains(silent, rank)};
  }
  return AssignCollectors(ranks, report.rank);
}

void GroupLeader::RefreshDirectory() {
  deps_.agents.Refresh(BootNow(), IsAgentMissing());
}

// True if a rank is silent or the address of its agent is unknown.
bool GroupLeader::IsAgentMissing() const {
  const RankReport* report = deps_.rank.report();
  if (report == nullptr) return false;
  if (switch_.size() < report->size) return true;
  if (!switch_.SilentRanks(BootNow()).empty()) return true;
  return std::ranges::any_of(
      std::views::iota(0, report->size),
      [this](int rank) { return deps_.agents.FindByRank(rank) == nullptr; });
}

void GroupLeader::OnStatus(const RankMessage& message) {
  const TimePoint now = BootNow();
  const int rank = message.status.report.rank;
  deps_.remote.OnAgentStatus(rank);
  deps_.agents.OnStatus(rank,
                        {.id = message.sender,
                         .role = MemberRole::kAgent,
                         .zone = message.zone,
                         .peer = message.reply_to,
                         .backend = message.backend,
                         .group = message.group},
                        now);
  TakeStatus(message.status, now);
}

// Logs a change of the group's epoch with the rank whose status caused it: a
// group that has formed anew discards the switch in progress.
void GroupLeader::TakeStatus(const RankStatus& status, TimePoint now) {
  const GroupEpoch before = switch_.epoch();
  switch_.OnStatus(status, now);
  if (switch_.epoch() != before) {
    Log(LogLevel::kInfo, "group_epoch_changed",
        {{"term", options_.term.value()},
         {"rank", status.report.rank},
         {"before", before.value()},
         {"epoch", switch_.epoch().value()},
         {"own_epoch", deps_.rank.report() != nullptr
                           ? deps_.rank.report()->epoch.value()
                           : 0}});
  }
  Advance();
}

void GroupLeader::OnCounts(const ExpertCounts& counts) {
  if (deps_.engine) planner_.Add(counts, *deps_.engine);
}

// --- The switch -------------------------------------------------------------

void GroupLeader::Advance() {
  const auto before = switch_.phase();
  for (const RankCommand& command : switch_.Advance(BootNow())) Issue(command);
  if (switch_.phase() != before) {
    if (before == MapSwitch::Phase::kReading) LogRanksRead();
    Log(LogLevel::kInfo, "map_switch_phase",
        {{"phase", static_cast<int>(switch_.phase())},
         {"version", switch_.version().value()}});
    needs_first_plan_ = switch_.phase() == MapSwitch::Phase::kIdle &&
                        switch_.version() == MapVersion();
  }
  // A group that has formed again needs a map as soon as all ranks have
  // reported the experts that they hold.
  if (needs_first_plan_ && switch_.CurrentMap(BootNow())) {
    needs_first_plan_ = false;
    deps_.loop.Post([weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->StartPlan();
    });
  }
}

// What a new leader has found, on which it completes, undoes or passes over the
// switch of its predecessor.
void GroupLeader::LogRanksRead() const {
  const ArmedRanks armed = switch_.armed_ranks();
  Log(LogLevel::kInfo, "ranks_read",
      {{"term", options_.term.value()},
       {"ranks", armed.ranks},
       {"armed", armed.armed},
       {"versions", armed.versions.size()},
       {"passes", armed.passes.size()},
       {"without_pass", armed.without_pass},
       {"holding_rank", switch_.HoldingRank().value_or(-1)}});
}

void GroupLeader::Issue(const RankCommand& command) {
  const RankReport* own = deps_.rank.report();
  if (own != nullptr && command.rank == own->rank) {
    return handlers_.execute_locally(command);
  }
  const Member* agent = deps_.agents.FindByRank(command.rank);
  if (command.is_direct && agent != nullptr) {
    return OrderDirectly(agent->backend, command);
  }
  const Endpoint* engine = deps_.remote.FindEngine(command.rank);
  if (engine != nullptr && command.order) OrderDirectly(*engine, command);
  // An unknown agent has to be discovered by heartbeats first.
  if (agent == nullptr) return;
  RankMessage message = NewMessage(RankMessageKind::kCommand);
  message.command = command;
  if (command.order == OrderKind::kPrepare) {
    SendPaced(agent->peer, message);
  } else {
    Send(agent->peer, message);
  }
}

// Agents reject commands of a deposed leader, but engines don't know terms. A
// leader whose machine was paused or is partitioned from the others considers
// all agents silent and doesn't know its successor. So it must have confirmed
// its term shortly before it sends orders to engines directly.
bool GroupLeader::IsTermConfirmed() const {
  return term_confirmed_at_ &&
         BootNow() - *term_confirmed_at_ <= kMaxConfirmationAge;
}

// Sends an order to an engine, bypassing its agent. Only orders that help to
// end a hold are sent this way; other preparations wait until the agent is
// back.
void GroupLeader::OrderDirectly(const Endpoint& engine,
                                const RankCommand& command) {
  const bool is_undoing = switch_.phase() == MapSwitch::Phase::kUndoing;
  const bool is_allowed = command.is_direct || is_undoing ||
                          command.order == OrderKind::kArm ||
                          command.order == OrderKind::kGo;
  if (!is_allowed) return;
  const auto may_send = [weak = weak_from_this(),
                         is_direct = command.is_direct] {
    const auto self = weak.lock();
    return self != nullptr && (is_direct || self->IsTermConfirmed());
  };
  deps_.remote.SendOrder(
      engine, command, options_.term, may_send,
      [weak = weak_from_this(), engine, rank = command.rank] {
        const auto self = weak.lock();
        if (self != nullptr) self->OnDirectOrderDone(engine, rank);
      });
}

// Requests a new report after a direct order: from the agent if it is known,
// otherwise, or if the engine itself was located, from the engine.
void GroupLeader::OnDirectOrderDone(const Endpoint& engine, int rank) {
  const Member* agent = deps_.agents.FindByRank(rank);
  if (deps_.remote.FindEngine(rank) != nullptr || agent == nullptr) {
    return deps_.remote.Query(engine);
  }
  RankMessage status_request = NewMessage(RankMessageKind::kCommand);
  status_request.command.rank = rank;
  Send(agent->peer, status_request);
}

// True in the phases of a switch in which a rank may be holding a pass, so that
// the group stands still.
bool GroupLeader::MayBeHeld() const {
  switch (switch_.phase()) {
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

bool GroupLeader::IsHolding() const {
  return MayBeHeld() && switch_.phase() != MapSwitch::Phase::kReading;
}

// While a hold may be in effect, the leader queries and commands the engines of
// silent agents directly: the engines may be healthy, and until the hold is
// released the whole group stands still.
void GroupLeader::BypassSilentAgents() {
  const TimePoint now = BootNow();
  const RankReport* own = deps_.rank.report();
  if (own == nullptr || !MayBeHeld() || now - started_ < kStatusGrace) return;
  if (switch_.SilentRanks(now).empty()) return QuerySilentRanks();
  handlers_.confirm_term([weak = weak_from_this(), now] {
    const auto self = weak.lock();
    if (self == nullptr) return;
    self->term_confirmed_at_ = now;
    self->QuerySilentRanks();
  });
}

void GroupLeader::QuerySilentRanks() {
  const TimePoint now = BootNow();
  const RankReport* own = deps_.rank.report();
  if (own == nullptr) return;
  deps_.remote.QueryRanks(switch_.SilentRanks(now), own->group, deps_.agents,
                          now);
}

void GroupLeader::OnRemoteReport(const RankReport& report,
                                 const Endpoint& engine) {
  const RankReport* own = deps_.rank.report();
  if (own == nullptr || report.group != own->group) return;
  const TimePoint now = BootNow();
  const bool is_needed = deps_.remote.FindEngine(report.rank) != nullptr ||
                         Contains(switch_.SilentRanks(now), report.rank);
  if (!is_needed || !IsTermConfirmed()) return;
  const RankReport* confirmed = deps_.remote.Confirm(engine, report);
  if (confirmed == nullptr) return;
  deps_.remote.SetEngine(confirmed->rank, engine);
  TakeStatus(StatusWithoutAgent(options_.term, *confirmed), now);
}

// --- Plans ------------------------------------------------------------------

void GroupLeader::OnPlanTimer() {
  const auto current = switch_.CurrentMap(BootNow());
  planner_.EndPeriod(current ? &*current : nullptr);
  if (planner_.HasEnoughSamples()) {
    demand_checkpoint_.Save(planner_.demand(), BootNow());
  }
  StartPlan();
}

// Starts to plan a better map. The sets are planned one per event loop turn, so
// that other events aren't delayed.
void GroupLeader::StartPlan() {
  if (!deps_.engine || planner_.is_planning() || is_leaving_) return;
  if (!switch_.HasVersionsLeft()) return;
  const auto current = switch_.CurrentMap(BootNow());
  if (!current) return;
  if (planner_.Begin(*current, switch_.Slowdowns(), *deps_.engine)) {
    ContinuePlan();
  }
}

void GroupLeader::ContinuePlan() {
  if (!planner_.PlanNextSet()) return FinishPlan();
  deps_.loop.Post([weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->ContinuePlan();
  });
}

// Starts the switch to the planned map, unless the map in use has changed since
// planning began.
void GroupLeader::FinishPlan() {
  const auto plan = planner_.Take();
  const TimePoint now = BootNow();
  const bool is_current = plan && switch_.CurrentMap(now) == plan->current;
  if (!is_current || is_leaving_) return;
  Log(LogLevel::kInfo, "map_planned",
      {{"skew_before_percent", static_cast<int>(plan->skew_before * 100)},
       {"skew_after_percent", static_cast<int>(plan->skew_after * 100)},
       {"copies", CountCopies(plan->current, plan->next)}});
  deps_.counters.Count(Event::kMapSwitches);
  switch_.Begin(plan->next, now);
  Advance();
}

}  // namespace mangohold
