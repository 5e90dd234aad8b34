#include "group/map_switch.h"

#include <algorithm>
#include <utility>

#include "group/expert_lists.h"

namespace mangohold {
namespace {

// Maximum number of times that the retry interval of a preparation is doubled.
constexpr int kMaxDoublings = 3;
// A rank that takes longer than this many times its usual time counts as this
// slow.
constexpr double kMaxSlowdown = 1'000;

// Returns the version that the rank has armed or, if none, prepared, if it is
// newer than the map in use.
std::optional<MapVersion> PendingVersion(const RankReport& report) {
  const auto next = report.armed ? report.armed : report.prepared;
  return next && *next > report.map ? next : std::nullopt;
}

// Returns the rank that holds the passes of a leader's switches; never the
// leader's own rank in a group of several.
int HolderFor(int leader_rank, int size) {
  return leader_rank == 0 && size > 1 ? 1 : 0;
}

RankCommand ReleaseCommand(const RankReport& report) {
  return {.order = OrderKind::kGo, .pass = report.held.value_or(PassNumber())};
}

}  // namespace

void MapSwitch::OnStatus(const RankStatus& status, TimePoint now) {
  const RankReport& report = status.report;
  if (report.size <= 0 || report.rank < 0 || report.rank >= report.size) return;
  if (status.term > options_.term) phase_ = Phase::kDeposed;
  if (phase_ == Phase::kDeposed) return;
  votes_.OnReport(report.rank, FormationOf(report), now);
  if (FormationOf(report) == formation_) {
    of_other_formations_.erase(report.rank);
  } else {
    of_other_formations_[report.rank] = {.status = status, .heard_at = now};
  }
  if (const auto formation = NewFormation(report, now)) {
    return OnFormation(*formation, now);
  }
  if (report.epoch < formation_.epoch || report.rank >= size()) return;
  Place(status, now);
}

// Returns the formation that the group is in now, if it isn't the one taken
// last. `report` is the newest one.
std::optional<Formation> MapSwitch::NewFormation(const RankReport& report,
                                                 TimePoint now) const {
  if (FormationOf(report) == formation_) return std::nullopt;
  const bool is_first = formation_.size == 0;
  if (is_first && report.rank == options_.own_rank) return FormationOf(report);
  const auto majority = votes_.Majority(now);
  return majority == formation_ ? std::nullopt : majority;
}

// A group that has formed anew has lost all holds, prepared maps and armed
// maps.
void MapSwitch::OnFormation(const Formation& formation, TimePoint now) {
  formation_ = formation;
  ranks_.assign(static_cast<std::size_t>(formation.size), Rank());
  forecast_.OnNewEpoch();
  EnterPhase(Phase::kReading, now);
  for (const auto& [rank, heard] : std::exchange(of_other_formations_, {})) {
    if (FormationOf(heard.status.report) != formation) continue;
    Place(heard.status, heard.heard_at);
  }
}

// Takes the status of a rank of the current formation.
void MapSwitch::Place(const RankStatus& status, TimePoint now) {
  const RankReport& report = status.report;
  Rank& rank = ranks_[report.rank];
  const RankReport& before = rank.status.report;
  const bool has_engine_changed = before.prepared != report.prepared ||
                                  before.armed != report.armed ||
                                  before.held != report.held;
  const bool has_agent_changed = status.missing != rank.status.missing ||
                                 status.ready_for != rank.status.ready_for;
  if (has_engine_changed || has_agent_changed) {
    rank.commanded_at.reset();
    rank.command_count = 0;
  }
  rank.status = status;
  rank.is_known = status.term >= options_.term;
  // An agent that hasn't seen this term still executes commands of earlier
  // ones.
  if (!rank.is_known) rank.status.may_arm_late = true;
  rank.last_heard = now;
  forecast_.OnStatus(LastPass(), now);
}

std::vector<RankCommand> MapSwitch::Advance(TimePoint now) {
  UpdatePhase(now);
  std::vector<RankCommand> commands;
  for (int index = 0; index < size(); ++index) {
    if (!IsCommandDue(ranks_[index], now)) continue;
    auto command = CommandFor(index);
    if (!command) continue;
    command->rank = index;
    command->epoch = formation_.epoch;
    ranks_[index].commanded_at = now;
    ++ranks_[index].command_count;
    commands.push_back(*std::move(command));
  }
  return commands;
}

// Enters the next phase once the ranks have completed the current one.
void MapSwitch::UpdatePhase(TimePoint now) {
  const auto all = [this](auto predicate) {
    return std::ranges::all_of(ranks_, predicate);
  };
  switch (phase_) {
    case Phase::kReading:
      if (!ranks_.empty() && AllKnown(now)) {
        Resume(now);
      } else if (CanUndo(now)) {
        Undo(now);
        is_former_unarmed_ = true;
      }
      break;
    case Phase::kIdle:
      // A delayed order has placed an unexpected hold.
      if (HoldingRank() && AllKnown(now)) Resume(now);
      break;
    case Phase::kPreparing:
      if (all([this](const Rank& rank) {
            return rank.status.report.prepared == version_;
          })) {
        EnterPhase(Phase::kQueryingReadiness, now);
      } else if (now - phase_began_ > options_.prepare_timeout) {
        EnterPhase(Phase::kReading, now);
      }
      break;
    case Phase::kQueryingReadiness:
      if (all([this](const Rank& rank) {
            return rank.status.ready_for == version_;
          })) {
        pass_ = forecast_.Choose(LastPass());
        forecast_.OnArmingBegan(now);
        EnterPhase(Phase::kHolding, now);
      } else if (now - phase_began_ > options_.readiness_timeout) {
        EnterPhase(Phase::kIdle, now);
      }
      break;
    case Phase::kHolding:
      // No order to arm has been sent yet, so that another pass may be chosen
      // if the group has reached this one.
      if (ranks_[holder_].status.report.held == pass_) {
        // Without its agent there will be no grant.
        is_undone_ = IsWithoutAgent(ranks_[holder_]);
        EnterPhase(is_undone_ ? Phase::kReleasing : Phase::kArming, now);
      } else if (LastPass() >= pass_) {
        pass_ = forecast_.Choose(LastPass());
        ranks_[holder_].commanded_at.reset();
      }
      break;
    case Phase::kArming:
      if (all([this](const Rank& rank) { return IsArmed(rank); })) {
        EnterPhase(Phase::kReleasing, now);
      }
      break;
    case Phase::kUndoing:
      // A delayed order has armed the last rank. None has been disarmed, so the
      // switch can be completed.
      if (AllKnown(now) && armed_ranks().AreForOneSwitch()) return Resume(now);
      if (map_.empty()) map_ = MapOfKnownRanks().value_or(GroupMap());
      if (all([this](const Rank& rank) { return IsUndone(rank); })) {
        is_undone_ = true;
        EnterPhase(Phase::kReleasing, now);
      }
      break;
    case Phase::kReleasing:
      if (!HoldingRank()) {
        forecast_.OnReleased(now);
        EnterPhase(is_undone_ ? Phase::kReading : Phase::kAwaitingSwitch, now);
        is_undone_ = false;
      }
      break;
    case Phase::kAwaitingSwitch:
      if (HoldingRank()) {
        EnterPhase(Phase::kReleasing, now);
      } else if (all([this](const Rank& rank) { return HasSwitched(rank); })) {
        EnterPhase(Phase::kIdle, now);
      } else if (AllKnown(now) && armed_ranks().armed == 0) {
        // No rank will switch: a wrong report named the version.
        EnterPhase(Phase::kReading, now);
      }
      break;
    case Phase::kDeposed:
    case Phase::kCount:
      break;
  }
}

// Continues from the state of the ranks, after all of them have been read.
void MapSwitch::Resume(TimePoint now) {
  // Step 1: find the version and the pass of the switch in progress, if any.
  const ArmedRanks armed = armed_ranks();
  const auto first_armed = std::ranges::find_if(ranks_, [](const Rank& rank) {
    return rank.status.report.armed.has_value();
  });
  const RankReport& reference = first_armed != ranks_.end()
                                    ? first_armed->status.report
                                    : ranks_.front().status.report;
  version_ =
      reference.armed.value_or(reference.prepared.value_or(MapVersion()));
  pass_ = armed.passes.empty() ? PassNumber() : *armed.passes.begin();
  // Step 2: handle the cases in which all ranks are armed or none holds a pass.
  if (armed.AreForOneSwitch()) {
    return EnterPhase(
        HoldingRank() ? Phase::kReleasing : Phase::kAwaitingSwitch, now);
  }
  if (!HoldingRank()) {
    return EnterPhase(armed.armed > 0 ? Phase::kAwaitingSwitch : Phase::kIdle,
                      now);
  }
  // Step 3: the leader that began the switch can't complete it any more.
  Undo(now);
}

void MapSwitch::Undo(TimePoint now) {
  version_ = versions_.Next(/*is_undo=*/true);
  delta_.reset();
  map_ = MapOfKnownRanks().value_or(GroupMap());
  is_former_unarmed_ = false;
  EnterPhase(Phase::kUndoing, now);
}

// A leader arms its own rank only after the agent of the holding rank has
// granted it. The former leader's rank is therefore not armed, and the switch
// can be undone, if that rank is the only unreachable one, that agent knows
// that it has granted nothing, and the switch was started by the former leader
// and not by an earlier one.
//
// The hold is left in place while the group is idle: it does no harm then, and
// the pass of a delayed order may still lie ahead.
bool MapSwitch::CanUndo(TimePoint now) const {
  if (!options_.former_leader_rank || !HoldingRank()) return false;
  const int former = *options_.former_leader_rank;
  if (former >= size() || ranks_[former].is_known) return false;
  // Step 1: all other ranks are known, and none can be armed by a delayed order
  // unless that order can be voided.
  const bool has_map = MapOfKnownRanks().has_value();
  bool is_serving = false;
  for (int index = 0; index < size(); ++index) {
    const Rank& rank = ranks_[index];
    if (index == former) continue;
    if (!rank.is_known || rank.last_heard + options_.status_timeout < now) {
      return false;
    }
    if (rank.status.may_arm_late && !has_map) return false;
    is_serving = is_serving || rank.status.report.running > 0;
  }
  // Step 2: they are at the former leader's switch, and its grant wasn't given.
  const auto pending = PendingOfOthers(former);
  const bool is_of_former =
      pending && MapVersions::IsArmedIn(options_.former_term, *pending);
  if (!is_serving || !is_of_former) return false;
  const RankStatus& holder = ranks_[HolderFor(former, size())].status;
  return GrantOf(*pending, holder.ready_for, holder.granted) ==
         Grant::kNotGiven;
}

// Returns the version that all ranks but `unreachable` have pending; nullopt if
// they differ or one has none. The unreachable rank has prepared it too, since
// a leader holds no pass before all ranks have, so it can't be armed for an
// earlier version any more.
std::optional<MapVersion> MapSwitch::PendingOfOthers(int unreachable) const {
  std::optional<MapVersion> common;
  for (int index = 0; index < size(); ++index) {
    if (index == unreachable) continue;
    const auto pending = PendingVersion(ranks_[index].status.report);
    if (!pending || (common && *common != *pending)) return std::nullopt;
    common = pending;
  }
  return common;
}

// True if the rank isn't armed and can't be armed by a delayed order, which is
// void once the rank has prepared the undo's version.
bool MapSwitch::IsUndone(const Rank& rank) const {
  const RankReport& report = rank.status.report;
  if (report.armed) return false;
  return !rank.status.may_arm_late || report.prepared == version_;
}

// Ranks are disarmed only once some other rank can't be armed any more. Then
// the switch can't be completed, and every later leader undoes it too, so that
// an order to disarm or to release that is executed late does no harm. Ranks
// that are all armed, but for different switches, are disarmed as well, since
// any of these may begin; no order of events is known that leads there.
bool MapSwitch::CanDisarm() const {
  const ArmedRanks armed = armed_ranks();
  if (armed.AreAll()) return !armed.AreForOneSwitch();
  return is_former_unarmed_ ||
         std::ranges::any_of(ranks_, [this](const Rank& rank) {
           return rank.is_known && IsUndone(rank);
         });
}

std::optional<GroupMap> MapSwitch::MapOfKnownRanks() const {
  std::vector<ExpertLists> lists;
  std::ranges::transform(
      ranks_, std::back_inserter(lists), [](const Rank& rank) {
        return rank.is_known ? rank.status.holdings : ExpertLists();
      });
  return CompleteMap(lists, options_.experts);
}

// True if the rank is armed for this leader's own switch. The version tells
// that, also where a report leaves out the pass; see ArmedRanks.
bool MapSwitch::IsArmed(const Rank& rank) const {
  const RankReport& report = rank.status.report;
  return rank.is_known && report.armed == version_ &&
         report.armed_at.value_or(pass_) == pass_;
}

bool MapSwitch::OthersAreArmed() const {
  for (int index = 0; index < size(); ++index) {
    if (index != options_.own_rank && !IsArmed(ranks_[index])) return false;
  }
  return true;
}

bool MapSwitch::IsGranted() const {
  return ranks_[holder_].status.granted == version_;
}

bool MapSwitch::NeedsGrant() const {
  return OthersAreArmed() && !IsGranted() &&
         !IsArmed(ranks_[options_.own_rank]);
}

bool MapSwitch::NeedsNewTerm() const {
  if (!HasVersionsLeft()) return true;
  if (phase_ != Phase::kArming || !NeedsGrant()) return false;
  return IsWithoutAgent(ranks_[holder_]);
}

// True if only the rank's engine answers.
bool MapSwitch::IsWithoutAgent(const Rank& rank) {
  return rank.is_known && !rank.status.is_from_agent;
}

bool MapSwitch::HasSwitched(const Rank& rank) const {
  return rank.is_known && rank.status.report.map == version_;
}

void MapSwitch::EnterPhase(Phase phase, TimePoint now) {
  phase_ = phase;
  phase_began_ = now;
  for (Rank& rank : ranks_) {
    rank.commanded_at.reset();
    rank.command_count = 0;
    // Reading requires a new status of every rank.
    if (phase == Phase::kReading) rank.is_known = false;
  }
}

ArmedRanks MapSwitch::armed_ranks() const {
  ArmedRanks armed;
  for (const Rank& rank : ranks_) armed.Add(rank.status.report);
  return armed;
}

std::optional<int> MapSwitch::HoldingRank() const {
  const auto it = std::ranges::find_if(ranks_, [](const Rank& rank) {
    return rank.status.report.held.has_value();
  });
  if (it == ranks_.end()) return std::nullopt;
  return static_cast<int>(it - ranks_.begin());
}

PassNumber MapSwitch::LastPass() const {
  PassNumber last;
  for (const Rank& rank : ranks_) {
    last = std::max(last, rank.status.report.pass);
  }
  return last;
}

bool MapSwitch::IsCommandDue(const Rank& rank, TimePoint now) const {
  const Duration retry =
      phase_ == Phase::kPreparing           ? PrepareRetryInterval(rank)
      : phase_ == Phase::kQueryingReadiness ? options_.readiness_retry_interval
                                            : options_.command_retry_interval;
  return !rank.commanded_at || now - *rank.commanded_at >= retry;
}

Duration MapSwitch::PrepareRetryInterval(const Rank& rank) const {
  if (rank.status.accepted == version_) return options_.accepted_retry_interval;
  const Duration first =
      std::max(options_.command_retry_interval,
               options_.prepare_retry_interval_per_rank * size());
  return first * (1 << std::clamp(rank.command_count - 1, 0, kMaxDoublings));
}

// Sends the full map to an agent that can't apply the delta.
RankCommand MapSwitch::PrepareCommand(const Rank& rank) const {
  RankCommand command{.order = OrderKind::kPrepare, .version = version_};
  if (delta_ && rank.status.missing != version_) {
    command.delta = delta_;
  } else {
    command.map = map_;
  }
  return command;
}

// Returns the command that brings a rank towards the current phase's goal, or
// nullopt if none is needed. Before any rank is armed, a hold that this leader
// didn't order comes from a delayed order of an earlier leader. It would stop
// the group, so it is released.
std::optional<RankCommand> MapSwitch::CommandFor(int index) const {
  const Rank& rank = ranks_[index];
  const RankReport& report = rank.status.report;
  switch (phase_) {
    case Phase::kReading:
      if (!rank.is_known) return RankCommand();
      break;
    case Phase::kPreparing:
      if (report.held) return ReleaseCommand(report);
      if (report.prepared != version_) return PrepareCommand(rank);
      break;
    case Phase::kQueryingReadiness:
      if (report.held) return ReleaseCommand(report);
      if (rank.status.ready_for != version_) {
        return RankCommand{.version = version_, .is_readiness_query = true};
      }
      break;
    case Phase::kHolding:
      if (report.held && (index != holder_ || report.held != pass_)) {
        return ReleaseCommand(report);
      }
      if (index == holder_ && report.held != pass_) {
        return RankCommand{
            .order = OrderKind::kHold, .pass = pass_, .is_direct = true};
      }
      break;
    case Phase::kUndoing:
      if (report.armed) {
        if (!CanDisarm()) break;
        return RankCommand{.order = OrderKind::kDisarm,
                           .version = *report.armed};
      }
      if (!IsUndone(rank) && !map_.empty()) {
        return RankCommand{
            .order = OrderKind::kPrepare, .version = version_, .map = map_};
      }
      break;
    case Phase::kArming:
      if (report.held && index != holder_) return ReleaseCommand(report);
      // A delayed order may have armed it for another leader's pass.
      if (report.armed && !IsArmed(rank)) {
        return RankCommand{.order = OrderKind::kDisarm,
                           .version = *report.armed};
      }
      if (index == holder_ && NeedsGrant()) {
        return RankCommand{.version = version_, .is_grant = true};
      }
      if (!IsArmed(rank) && (index != options_.own_rank || IsGranted())) {
        return RankCommand{
            .order = OrderKind::kArm, .version = version_, .pass = pass_};
      }
      break;
    case Phase::kReleasing:
      if (report.held) return ReleaseCommand(report);
      break;
    case Phase::kIdle:
    case Phase::kAwaitingSwitch:
    case Phase::kDeposed:
    case Phase::kCount:
      break;
  }
  return std::nullopt;
}

bool MapSwitch::AllKnown(TimePoint now) const {
  return std::ranges::all_of(ranks_, [&](const Rank& rank) {
    return rank.is_known && rank.last_heard + options_.status_timeout >= now;
  });
}

std::vector<int> MapSwitch::SilentRanks(TimePoint now) const {
  std::vector<int> silent;
  for (int index = 0; index < size(); ++index) {
    if (ranks_[index].last_heard + options_.status_timeout < now) {
      silent.push_back(index);
    }
  }
  return silent;
}

bool MapSwitch::AreUniform() const {
  return std::ranges::all_of(ranks_, [this](const Rank& rank) {
    const RankReport& report = rank.status.report;
    return report.is_open && !report.armed && !report.held &&
           report.map == ranks_.front().status.report.map;
  });
}

bool MapSwitch::CanBegin(TimePoint now) const {
  return phase_ == Phase::kIdle && !ranks_.empty() && AllKnown(now) &&
         AreUniform();
}

std::optional<GroupMap> MapSwitch::CurrentMap(TimePoint now) const {
  if (!CanBegin(now)) return std::nullopt;
  const std::size_t sets = ranks_.front().status.holdings.size();
  GroupMap map(sets);
  for (const Rank& rank : ranks_) {
    if (rank.status.holdings.size() != sets || sets == 0) return std::nullopt;
    for (std::size_t set = 0; set < sets; ++set) {
      map[set].push_back(rank.status.holdings[set]);
    }
  }
  return map;
}

MapVersion MapSwitch::CurrentVersion() const {
  return ranks_.empty() ? MapVersion() : ranks_.front().status.report.map;
}

std::vector<double> MapSwitch::Slowdowns() const {
  std::vector<double> slowdowns;
  std::ranges::transform(
      ranks_, std::back_inserter(slowdowns), [](const Rank& rank) {
        return std::min(std::max(1.0, rank.status.report.slowdown),
                        kMaxSlowdown);
      });
  return slowdowns;
}

void MapSwitch::Begin(GroupMap map, TimePoint now) {
  version_ = versions_.Next(/*is_undo=*/false);
  const auto current = CurrentMap(now);
  delta_ = current ? std::make_shared<MapDelta>(
                         MakeDelta(CurrentVersion(), *current, map))
                   : nullptr;
  map_ = Canonicalize(std::move(map));
  holder_ = HolderFor(options_.own_rank, size());
  EnterPhase(Phase::kPreparing, now);
}

}  // namespace mangohold
