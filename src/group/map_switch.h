// Switches a group of ranks from one expert map to the next, so that no forward
// pass ever begins with ranks on different maps. A state machine without clock
// and network: it takes rank statuses and the time, and returns commands to
// ranks.
//
// 1. Every rank prepares the new map.
// 2. Every agent is asked whether it is ready. The agent of a stalled machine
//    doesn't answer; then the switch is abandoned with nothing held or armed.
// 3. One rank holds a future pass S and confirms the hold. It is never the
//    leader's own rank, so that a successor can take over if the leader's
//    machine stops.
// 4. Every rank arms the new map for S. The leader's own rank is the last one,
//    and is armed only after the agent of the holding rank has granted it.
// 5. When all ranks are confirmed to be armed, the hold is released. If this
//    happens before the group reaches S, no rank ever waits.
//
// A command is retried until the rank's status confirms it. The hold prevents S
// from beginning while some ranks are armed and others aren't. If the leader is
// lost before that, its successor undoes the switch: it disarms the armed
// ranks, and a rank that a delayed order may still arm prepares another
// version, which voids that order. Only the leader that began a switch arms
// ranks. A switch for which all ranks are armed is never undone, as an order to
// release its hold may be on its way.
//
// An undo needs to know all ranks, with one exception: if the only unreachable
// rank is the one of the former leader, and the agent of the holding rank knows
// that it hasn't granted its arming, that rank is known not to be armed. An
// agent that has started after the beginning of the switch doesn't know what it
// granted; then the hold stands until the unreachable rank's engine or agent
// answers, or the group forms again.
//
// Orders may be executed late. An order to arm or hold for S is void once S has
// started or the group has formed anew (a new epoch).
//
// A group has formed anew if most of its ranks report so. A rank that alone
// reports a later epoch reports a wrong one, or the others haven't been read
// yet. Its status is used like any other in both cases: in the first one the
// rest of it is right, and in the second one engines refuse all orders of the
// earlier epoch.
//
// A new leader first reads the status of all ranks. Each rank that it has read
// refuses commands of earlier leaders. The new leader then releases the hold if
// all ranks are armed, and undoes the switch otherwise: the ranks themselves
// are the only record of a switch.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "backend/engine_api.h"
#include "core/clock.h"
#include "group/agent_promises.h"
#include "group/armed_ranks.h"
#include "group/formation_votes.h"
#include "group/leader_term.h"
#include "group/map_delta.h"
#include "group/map_versions.h"
#include "group/pass_forecast.h"

namespace mangohold {

// The status of a rank, as last sent by its agent. An agent keeps `granted`,
// `ready_for` and its unanswered orders in memory; see `GrantOf` and
// `UnansweredArmOrders` for what a restart of its process leaves unknown.
struct RankStatus {
  InstanceId agent;
  LeaderTerm term;  // the highest one that the agent has seen
  RankReport report;
  ExpertLists holdings;  // of the map in use
  // The newest version whose preparation the engine has accepted in this epoch.
  MapVersion accepted;
  // The newest version for which the agent granted the leader the arming of its
  // own rank.
  MapVersion granted;
  // The newest version for which the agent has answered the readiness query.
  MapVersion ready_for;
  // True if an unanswered order to arm may still be executed.
  bool may_arm_late = false;
  // A version that the agent can't build from its delta, because it doesn't
  // have the base map. 0: none.
  MapVersion missing;
  // False if the agent is silent and only the engine answers. Not sent.
  bool is_from_agent = true;
};

// The status of a rank whose agent is silent, as its engine reports it to the
// leader of `term`. Nothing is known of what its agent promised or ordered.
inline RankStatus StatusWithoutAgent(LeaderTerm term,
                                     const RankReport& report) {
  return {.term = term,
          .report = report,
          .may_arm_late = true,
          .is_from_agent = false};
}

// A command of a leader to the agent of a rank.
struct RankCommand {
  int rank = 0;
  // Absent: only requests the rank's status.
  std::optional<OrderKind> order;
  GroupEpoch epoch;
  MapVersion version;
  PassNumber pass;
  // kPrepare: the full map, or its delta to a map that the agent should have.
  GroupMap map;
  std::shared_ptr<const MapDelta> delta;
  // Sent to the engine itself instead of its agent, and therefore in no
  // message.
  bool is_direct = false;
  // Without an order: asks the agent to grant the leader the arming of its own
  // rank with `version`.
  bool is_grant = false;
  // Without an order: asks the agent whether it is ready for the switch to
  // `version`.
  bool is_readiness_query = false;
};

// The leader's side of the switch, for one term.
class MapSwitch {
 public:
  struct Options {
    LeaderTerm term;
    int own_rank = 0;  // the rank on the leader's machine
    // The rank on the previous leader's machine, if known, and that leader's
    // term.
    std::optional<int> former_leader_rank;
    LeaderTerm former_term;
    int experts = 0;  // per set; 0: unknown
    // A rank that sends no status for this long is considered silent.
    Duration status_timeout = std::chrono::milliseconds(1'500);
    // Interval at which a command without effect is repeated.
    Duration command_retry_interval = std::chrono::milliseconds(200);
    // The same for a preparation that wasn't accepted, per rank of the group.
    // The interval doubles with each attempt, since maps are large.
    Duration prepare_retry_interval_per_rank = std::chrono::milliseconds(10);
    // The same for a preparation that the engine has accepted.
    Duration accepted_retry_interval = std::chrono::seconds(4);
    // A preparation that takes longer than this is abandoned.
    Duration prepare_timeout = std::chrono::seconds(12);
    // All agents must report that they are ready within `readiness_timeout`;
    // until then they are asked at every `readiness_retry_interval`.
    Duration readiness_timeout = std::chrono::milliseconds(400);
    Duration readiness_retry_interval = std::chrono::milliseconds(100);
    // Minimum time to allow for a hold and the arming of all ranks.
    Duration min_arming_time = std::chrono::milliseconds(120);
  };
  enum class Phase {
    // Logged as numbers: keep the order.
    kReading,            // waits for a status of every rank
    kIdle,               // no switch is in progress
    kPreparing,          // waits until every rank has prepared the map
    kQueryingReadiness,  // waits until every agent has answered
    kHolding,            // waits until the hold is confirmed
    kArming,             // waits until every rank is armed
    kUndoing,            // waits until no rank is or can be armed
    kReleasing,          // waits until no rank holds a pass
    kAwaitingSwitch,     // waits until every rank uses the new map
    kDeposed,            // an agent has seen a later term
    kCount
  };

  explicit MapSwitch(Options options)
      : options_(options),
        votes_(options.own_rank, options.status_timeout),
        versions_(options.term),
        forecast_(options.min_arming_time) {}

  // Takes the status of a rank. The first formation of the group is the one
  // that the leader's own rank reports, every other one that of most ranks; it
  // makes the switch start over from kReading. A status of an earlier epoch is
  // ignored.
  void OnStatus(const RankStatus& status, TimePoint now);
  // Returns the commands that are due. Call it after each status and
  // periodically.
  std::vector<RankCommand> Advance(TimePoint now);

  // True if a new switch may begin: no switch is in progress, and all ranks
  // have a recent status, accept work, use the same map, and are neither armed
  // nor held.
  bool CanBegin(TimePoint now) const;
  // The map in use. Nullopt unless CanBegin() and all ranks have reported the
  // experts that they hold.
  std::optional<GroupMap> CurrentMap(TimePoint now) const;
  // The version of the map in use, as reported by rank 0. 0 without ranks.
  MapVersion CurrentVersion() const;
  // Step time of each rank relative to its usual one, as last reported; at
  // least 1.
  std::vector<double> Slowdowns() const;
  // Begins the switch to `map`. CanBegin() must be true.
  void Begin(GroupMap map, TimePoint now);
  // False if the versions of this term are nearly used up. Then no further
  // switch may begin in this term.
  bool HasVersionsLeft() const { return versions_.HasLeft(); }
  // True if this term can't go on and its leader should claim a new one: its
  // versions are used up, or the agent that has to grant the arming of the
  // leader's own rank is silent while its engine answers. A new term can undo
  // the switch, because agents then refuse the commands of this one.
  bool NeedsNewTerm() const;

  Phase phase() const { return phase_; }
  MapVersion version() const { return version_; }
  GroupEpoch epoch() const { return formation_.epoch; }
  int size() const { return static_cast<int>(ranks_.size()); }
  // What the ranks are armed for, by their last status.
  ArmedRanks armed_ranks() const;
  // The rank that holds a pass, by its last status.
  std::optional<int> HoldingRank() const;
  // Returns the ranks whose last status is older than `status_timeout`.
  std::vector<int> SilentRanks(TimePoint now) const;

 private:
  struct Rank {
    RankStatus status;
    bool is_known = false;
    TimePoint last_heard;
    std::optional<TimePoint> commanded_at;
    int command_count = 0;  // in this phase, without effect so far
  };
  struct HeardStatus {
    RankStatus status;
    TimePoint heard_at;
  };

  std::optional<Formation> NewFormation(const RankReport& report,
                                        TimePoint now) const;
  void OnFormation(const Formation& formation, TimePoint now);
  void Place(const RankStatus& status, TimePoint now);
  bool AllKnown(TimePoint now) const;
  bool AreUniform() const;
  bool IsArmed(const Rank& rank) const;
  static bool IsWithoutAgent(const Rank& rank);
  bool HasSwitched(const Rank& rank) const;
  bool CanUndo(TimePoint now) const;
  std::optional<MapVersion> PendingOfOthers(int unreachable) const;
  bool IsUndone(const Rank& rank) const;
  bool CanDisarm() const;
  void Undo(TimePoint now);
  // The map in use as reported by the ranks; see `CompleteMap`.
  std::optional<GroupMap> MapOfKnownRanks() const;
  bool OthersAreArmed() const;
  bool IsGranted() const;
  bool NeedsGrant() const;
  void EnterPhase(Phase phase, TimePoint now);
  void Resume(TimePoint now);
  PassNumber LastPass() const;
  void UpdatePhase(TimePoint now);
  bool IsCommandDue(const Rank& rank, TimePoint now) const;
  Duration PrepareRetryInterval(const Rank& rank) const;
  RankCommand PrepareCommand(const Rank& rank) const;
  std::optional<RankCommand> CommandFor(int index) const;

  Options options_;
  Phase phase_ = Phase::kReading;
  TimePoint phase_began_;
  std::vector<Rank> ranks_;
  Formation formation_;  // of size 0: none has been taken yet
  FormationVotes votes_;
  // The newest status of each rank that reports another formation, for the case
  // that it is taken.
  std::map<int, HeardStatus> of_other_formations_;
  // The switch in progress.
  MapVersion version_;
  MapVersions versions_;
  GroupMap map_;
  // From the map in use to `map_`; null if the map in use is unknown.
  std::shared_ptr<const MapDelta> delta_;
  PassNumber pass_;
  int holder_ = 0;
  bool is_undone_ = false;  // the hold is released after an undo
  // The undo goes past the former leader's rank, which is known to be unarmed.
  bool is_former_unarmed_ = false;
  PassForecast forecast_;
};

}  // namespace mangohold
