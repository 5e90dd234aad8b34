#include "group/group_leader.h"

#include <algorithm>
#include <ranges>
#include <utility>

#include "core/log.h"
#include "group/count_aggregation.h"

namespace mangohold {
namespace {

// Agents that have no place in the group get a beat this often.
constexpr Millis kSeekInterval{400};
// Maps fill this part of the link at the most.
constexpr double kMapShareOfLink = 0.6;
constexpr Millis kPacing{10};
// Agents answer a new leader within this time, if they can.
constexpr Millis kTimeToAnswer{300};
// A leader gives orders over agents' heads for this long after it asked the
// store whether it still leads. It asks more often.
constexpr Millis kConfirmationAge{400};

bool Contains(const std::vector<int>& ranks, int rank) {
  return std::ranges::find(ranks, rank) != ranks.end();
}

}  // namespace

GroupLeader::GroupLeader(Options options, Means means, Handlers handlers)
    : options_(std::move(options)),
      means_(means),
      handlers_(std::move(handlers)),
      began_(BootNow()),
      switch_({.term = options_.term,
               .own_rank = means_.rank.report()->rank,
               .former_leader = options_.former_leader,
               .former_term = options_.former_term,
               .experts = means_.engine ? means_.engine->experts : 0}),
      planning_(options_.planning),
      keeper_(means_.store, options_.demand_key),
      pacer_({.bytes_per_s = options_.link_bytes_per_s * kMapShareOfLink}) {}

GroupLeader::~GroupLeader() { means_.remote.OnLeaderGone(); }

void GroupLeader::Begin() {
  Log(LogLevel::kInfo, "leading_began",
      {{"group", means_.rank.report()->group.value()},
       {"term", options_.term.value()}});
  means_.remote.OnLeader([this](const auto& report, const auto& engine) {
    OnRemoteReport(report, engine);
  });
  RefreshDirectory();
  keeper_.Load([weak = weak_from_this()](const ExpertDemand& demand) {
    if (const auto self = weak.lock()) self->planning_.Restore(demand);
  });
  Beat();
}

// --- Messages ---------------------------------------------------------------

RankMessage GroupLeader::NewMessage(RankMessageKind kind) const {
  return NewRankMessage(kind, options_.term, options_.self,
                        means_.rank.report());
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
  means_.loop.After(kPacing, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->SendDue();
  });
}

// Agents of the group are told where their choices go. The group is told in
// every round while it may be held, and in every second one otherwise.
void GroupLeader::Beat() {
  const bool is_due = ++beat_rounds_ % 2 == 1 || MayBeHeld();
  if (!is_due || means_.rank.report() == nullptr) return;
  RankMessage beat = NewMessage(RankMessageKind::kBeat);
  const auto collectors = Collectors();
  for (int rank = 0; rank < std::ssize(collectors); ++rank) {
    const Member* agent = means_.agents.AgentOf(rank);
    if (agent == nullptr || agent->id == options_.self.id) continue;
    const Member* collector =
        collectors[rank] ? means_.agents.AgentOf(*collectors[rank]) : nullptr;
    beat.collector = collector != nullptr ? collector->peer : Endpoint();
    Send(agent->peer, beat);
  }
  SeekAgents();
}

// As long as an agent is missing it is looked for among those that have no
// place in the group.
void GroupLeader::SeekAgents() {
  const TimePoint now = BootNow();
  const bool is_due = !sought_at_ || now - *sought_at_ >= kSeekInterval;
  if (!is_due || !IsAgentMissing()) return;
  const auto unplaced = means_.agents.Unplaced(means_.rank.report()->group);
  if (unplaced.empty()) return;  // or the list hasn't been read yet
  sought_at_ = now;
  const RankMessage beat = NewMessage(RankMessageKind::kBeat);
  for (const Member& agent : unplaced) Send(agent.peer, beat);
}

std::vector<std::optional<int>> GroupLeader::Collectors() const {
  const RankReport& report = *means_.rank.report();
  const auto silent = switch_.SilentRanks(BootNow());
  std::vector<CollectorCandidate> ranks(
      static_cast<std::size_t>(std::max(0, report.size)));
  for (int rank = 0; rank < std::ssize(ranks); ++rank) {
    const Member* agent = means_.agents.AgentOf(rank);
    if (agent == nullptr) continue;
    ranks[rank] = {.zone = agent->zone,
                   .is_responsive = !Contains(silent, rank)};
  }
  return AssignCollectors(ranks, report.rank);
}

void GroupLeader::RefreshDirectory() {
  means_.agents.Refresh(BootNow(), IsAgentMissing());
}

// A leader misses agents of ranks that say nothing, or that it can't address.
bool GroupLeader::IsAgentMissing() const {
  const RankReport* report = means_.rank.report();
  if (report == nullptr) return false;
  if (switch_.size() < report->size) return true;
  if (!switch_.SilentRanks(BootNow()).empty()) return true;
  return std::ranges::any_of(
      std::views::iota(0, report->size),
      [this](int rank) { return means_.agents.AgentOf(rank) == nullptr; });
}

void GroupLeader::OnStatus(const RankMessage& message) {
  const TimePoint now = BootNow();
  const int rank = message.status.report.rank;
  means_.remote.OnAgentHeard(rank);
  means_.agents.OnHeard(rank,
                        {.id = message.sender,
                         .role = MemberRole::kAgent,
                         .zone = message.zone,
                         .peer = message.reply_to,
                         .backend = message.backend,
                         .group = message.group},
                        now);
  switch_.OnStatus(message.status, now);
  Advance();
}

void GroupLeader::OnChoices(const ExpertCounts& choices) {
  if (means_.engine) planning_.Add(choices, *means_.engine);
}

// --- The switch -------------------------------------------------------------

void GroupLeader::Advance() {
  const auto before = switch_.phase();
  for (const RankCommand& command : switch_.Advance(BootNow())) Give(command);
  if (switch_.phase() != before) {
    Log(LogLevel::kInfo, "map_switch_phase",
        {{"phase", static_cast<int>(switch_.phase())},
         {"version", switch_.version().value()}});
    needs_first_plan_ = switch_.phase() == MapSwitch::Phase::kIdle &&
                        switch_.version() == MapVersion();
  }
  // A group that has formed anew needs a map as soon as all have told what they
  // hold.
  if (needs_first_plan_ && switch_.CurrentMap(BootNow())) {
    needs_first_plan_ = false;
    means_.loop.Post([weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->Plan();
    });
  }
}

void GroupLeader::Give(const RankCommand& command) {
  const RankReport* own = means_.rank.report();
  if (own != nullptr && command.rank == own->rank) {
    return handlers_.on_own_command(command);
  }
  const Member* agent = means_.agents.AgentOf(command.rank);
  if (command.is_direct && agent != nullptr) {
    return GiveDirectly(agent->backend, command);
  }
  const Endpoint* engine = means_.remote.Find(command.rank);
  if (engine != nullptr && command.order) GiveDirectly(*engine, command);
  // An agent that isn't known yet is found by beats first.
  if (agent == nullptr) return;
  RankMessage message = NewMessage(RankMessageKind::kCommand);
  message.command = command;
  if (command.order == OrderKind::kPrepare) {
    SendPaced(agent->peer, message);
  } else {
    Send(agent->peer, message);
  }
}

// Agents refuse a leader that was succeeded; engines don't know of terms. One
// whose machine has stood still, or that is cut off from the others, takes all
// agents for silent, and doesn't know of its successor.
bool GroupLeader::MayOverrule() const {
  return confirmed_as_of_ && BootNow() - *confirmed_as_of_ <= kConfirmationAge;
}

// Only what ends a hold is ordered over an agent's head; a preparation waits
// for the agent's return.
void GroupLeader::GiveDirectly(const Endpoint& engine,
                               const RankCommand& command) {
  const bool is_allowed = command.is_direct ||
                          command.order == OrderKind::kArm ||
                          command.order == OrderKind::kGo;
  if (!is_allowed) return;
  const auto may_give = [weak = weak_from_this(),
                         is_direct = command.is_direct] {
    const auto self = weak.lock();
    return self != nullptr && (is_direct || self->MayOverrule());
  };
  means_.remote.Order(engine, command, options_.term, may_give,
                      [weak = weak_from_this(), engine, rank = command.rank] {
                        const auto self = weak.lock();
                        if (self != nullptr) self->OnOrderGiven(engine, rank);
                      });
}

// Asks what the order has done, at the agent if there is one.
void GroupLeader::OnOrderGiven(const Endpoint& engine, int rank) {
  const Member* agent = means_.agents.AgentOf(rank);
  if (means_.remote.Find(rank) != nullptr || agent == nullptr) {
    return means_.remote.Read(engine);
  }
  RankMessage question = NewMessage(RankMessageKind::kCommand);
  question.command.rank = rank;
  Send(agent->peer, question);
}

// True if the group may be held.
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

// While a hold may be in force, the leader acts for agents that say nothing:
// their engines may be sound, and the group stands still.
void GroupLeader::ActForSilentAgents() {
  const TimePoint now = BootNow();
  const RankReport* own = means_.rank.report();
  if (own == nullptr || !MayBeHeld() || now - began_ < kTimeToAnswer) return;
  if (switch_.SilentRanks(now).empty()) return SeekSilentRanks();
  handlers_.confirm_term([weak = weak_from_this(), now] {
    const auto self = weak.lock();
    if (self == nullptr) return;
    self->confirmed_as_of_ = now;
    self->SeekSilentRanks();
  });
}

void GroupLeader::SeekSilentRanks() {
  const TimePoint now = BootNow();
  const RankReport* own = means_.rank.report();
  if (own == nullptr) return;
  means_.remote.Seek(switch_.SilentRanks(now), own->group, means_.agents, now);
}

void GroupLeader::OnRemoteReport(const RankReport& report,
                                 const Endpoint& engine) {
  const RankReport* own = means_.rank.report();
  if (own == nullptr || report.group != own->group) return;
  const TimePoint now = BootNow();
  const bool is_needed = means_.remote.Find(report.rank) != nullptr ||
                         Contains(switch_.SilentRanks(now), report.rank);
  if (!is_needed || !MayOverrule()) return;
  means_.remote.OnFound(report.rank, engine);
  switch_.OnStatus({.term = options_.term, .report = report}, now);
  Advance();
}

// --- Plans ------------------------------------------------------------------

void GroupLeader::OnPlanRound() {
  const auto present = switch_.CurrentMap(BootNow());
  planning_.EndPeriod(present ? &*present : nullptr);
  if (planning_.HasEnoughSamples()) keeper_.Save(planning_.demand(), BootNow());
  Plan();
}

// Looks for a better map, set by set, so that the loop turns in between.
void GroupLeader::Plan() {
  if (!means_.engine || planning_.is_planning()) return;
  if (!switch_.HasVersionsLeft()) return;
  const auto present = switch_.CurrentMap(BootNow());
  if (!present) return;
  if (planning_.Begin(*present, switch_.Slowdowns(), *means_.engine)) PlanOn();
}

void GroupLeader::PlanOn() {
  if (!planning_.PlanNextSet()) return FinishPlan();
  means_.loop.Post([weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->PlanOn();
  });
}

// Begins the switch to the planned map, if the group is as it was when the plan
// was begun.
void GroupLeader::FinishPlan() {
  const auto plan = planning_.Take();
  const TimePoint now = BootNow();
  if (!plan || switch_.CurrentMap(now) != plan->current) return;
  Log(LogLevel::kInfo, "map_planned",
      {{"skew_before_percent", static_cast<int>(plan->skew_before * 100)},
       {"skew_after_percent", static_cast<int>(plan->skew_after * 100)},
       {"copies", CountCopies(plan->current, plan->next)}});
  means_.counters.Count(Event::kMapSwitches);
  switch_.Begin(plan->next, now);
  Advance();
}

}  // namespace mangohold
