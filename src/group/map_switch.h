// The switch of a group of ranks from one expert map to the next, so that no
// pass ever begins with two maps. Decisions only: statuses of ranks and the
// time go in, commands to ranks come out.
//
// 1. Every rank prepares the new map.
// 2. Every agent is asked whether it is ready. One whose machine stands still
//    doesn't answer, and the switch is dropped with nothing held or armed.
// 3. One rank holds a pass S that lies ahead, and the hold is confirmed. It is
//    never the leader's own, so that a leader whose machine stops can be
//    succeeded.
// 4. Every rank arms the new map for S, the leader's own one last, and that one
//    only once the agent of the holding rank has granted it.
// 5. When all are confirmed armed, the hold is released. As long as this comes
//    before the group reaches S, no rank ever waits.
//
// Until a rank is confirmed, its command is given again. Once a rank may be
// armed, the way on is to arm the others, and the hold keeps S from beginning
// until that is done. Only the rank of a former leader that can't be reached is
// known not to be armed as long as the holding rank's agent hasn't granted it;
// then those that are armed are disarmed instead. One that may still be armed
// by a late order prepares another version, which makes that order void. An
// order may be carried out late: one that arms or holds for S is void once S
// has begun or the group has formed anew, and until then it asks for what all
// ranks are brought to anyway.
//
// A new leader reads all ranks first, which also ends the power of the leader
// before it over each rank that it has read, and then goes on from what it
// finds. The ranks themselves are the record.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "backend/engine_api.h"
#include "core/clock.h"
#include "group/map_delta.h"

namespace mangohold {

// The term of a leader; a later one ends the power of those before it.
using LeaderTerm = Number<struct LeaderTermTag>;

// A rank as its agent last told.
struct RankStatus {
  InstanceId agent;
  LeaderTerm term;  // the highest that the agent has seen
  RankReport report;
  std::vector<std::vector<int>> holdings;  // experts by set, of the map in use
  // The newest map that the engine has accepted to prepare in this epoch.
  MapVersion accepted;
  // The newest map for which the agent let the leader arm its own rank.
  MapVersion granted;
  // The newest map for whose switch the agent said that it is ready.
  MapVersion ready_for;
  // An order to arm that got no answer may still be carried out.
  bool may_arm_late = false;
  // A map that the agent can't make out of a difference, since it doesn't know
  // the one before.
  MapVersion missing;
};

// What a leader asks of a rank's agent.
struct RankCommand {
  int rank = 0;
  // Absent: only the rank's status is asked for.
  std::optional<OrderKind> order;
  GroupEpoch epoch;
  MapVersion version;
  PassNumber pass;
  // kPrepare: the map, or its difference from one that the agent should know.
  GroupMap map;
  std::shared_ptr<const MapDelta> delta;
  // To be given to the engine itself, not by its agent.
  bool is_direct = false;
  // Without an order: lets the leader arm its own rank with `version`.
  bool is_grant = false;
  // Without an order: asks whether it is ready for the switch to `version`.
  bool is_readiness_query = false;
};

class MapSwitch {
 public:
  struct Options {
    LeaderTerm term;
    int own_rank = 0;  // the rank beside the leader
    // The rank beside the leader before, where known, and that leader's term.
    std::optional<int> former_leader;
    LeaderTerm former_term;
    int experts = 0;  // of one set; 0: unknown
    // A rank without a newer status is unknown after this.
    Duration status_timeout = std::chrono::milliseconds(1'500);
    // A command without effect is given again after this.
    Duration command_retry_interval = std::chrono::milliseconds(200);
    // A preparation that wasn't accepted is given again after this for each
    // rank, and after twice as long each time: maps are large.
    Duration prepare_retry_interval_per_rank = std::chrono::milliseconds(10);
    // The same for a preparation that the engine has accepted.
    Duration accepted_retry_interval = std::chrono::seconds(4);
    // A preparation that doesn't come to an end is given up after this.
    Duration prepare_timeout = std::chrono::seconds(12);
    // All agents have to say within this that they are ready, and are asked
    // again after the other.
    Duration readiness_timeout = std::chrono::milliseconds(400);
    Duration readiness_retry_interval = std::chrono::milliseconds(100);
    // Time in which a hold and the arming of all ranks are expected to be done.
    Duration min_arming_time = std::chrono::milliseconds(120);
  };
  enum class Phase {
    kReading,
    kIdle,
    kPreparing,
    kQueryingReadiness,
    kHolding,
    kArming,
    kUndoing,
    kReleasing,
    kAwaitingSwitch,
    kDeposed,  // an agent has seen a later term
    kCount
  };

  explicit MapSwitch(Options options) : options_(options) {}

  void OnStatus(const RankStatus& status, TimePoint now);
  // Commands that are due. Call it after each status and from time to time.
  std::vector<RankCommand> Advance(TimePoint now);

  // True if a new map may be begun: all ranks are known, sound and at rest.
  bool CanBegin(TimePoint now) const;
  // The map in use, if all ranks agree and have told what they hold.
  std::optional<GroupMap> CurrentMap(TimePoint now) const;
  // Its version, as the first rank told.
  MapVersion CurrentVersion() const;
  // How many times as long as usual each rank takes, as last told.
  std::vector<double> Slowdowns() const;
  void Begin(GroupMap map, TimePoint now);
  // False if the versions of this term are nearly used up, so that no further
  // switch may begin.
  bool HasVersionsLeft() const;

  Phase phase() const { return phase_; }
  MapVersion version() const { return version_; }
  int size() const { return static_cast<int>(ranks_.size()); }
  // Ranks that haven't told anything for too long.
  std::vector<int> SilentRanks(TimePoint now) const;

 private:
  struct Rank {
    RankStatus status;
    bool is_known = false;
    TimePoint heard_at;
    std::optional<TimePoint> commanded_at;
    int command_count = 0;  // in this phase, without effect
  };

  bool AllKnown(TimePoint now) const;
  bool AreUniform() const;
  bool IsArmed(const Rank& rank) const;
  bool HasSwitched(const Rank& rank) const;
  bool CanUndo(TimePoint now) const;
  std::optional<int> HolderOf(PassNumber pass) const;
  bool IsOfFormerLeader(const Rank& rank) const;
  bool IsPendingGranted(const Rank& rank) const;
  bool IsUndone(const Rank& rank) const;
  void Undo(TimePoint now);
  std::optional<GroupMap> MapOfKnownRanks() const;
  MapVersion NextVersion(bool is_undo);
  bool OthersAreArmed() const;
  bool IsGranted() const;
  bool NeedsGrant() const;
  void EnterPhase(Phase phase, TimePoint now);
  void Resume(TimePoint now);
  std::optional<int> HoldingRank() const;
  PassNumber LastPass() const;
  PassNumber ChoosePass() const;
  void RecordArmingTime(TimePoint now);
  void UpdatePhase(TimePoint now);
  bool IsCommandDue(const Rank& rank, TimePoint now) const;
  Duration PrepareRetryInterval(const Rank& rank) const;
  RankCommand PrepareCommand(const Rank& rank) const;
  std::optional<RankCommand> CommandFor(int index) const;

  Options options_;
  Phase phase_ = Phase::kReading;
  TimePoint phase_began_;
  std::vector<Rank> ranks_;
  GroupEpoch epoch_;
  // The switch in progress.
  MapVersion version_;
  std::uint64_t versions_issued_ = 0;
  GroupMap map_;
  std::shared_ptr<const MapDelta> delta_;  // to `map_`; null: not known
  PassNumber pass_;
  int holder_ = 0;
  bool is_undone_ = false;  // the hold is released without a switch
  // Time from the choice of a pass to the release of its hold, as it was
  // lately.
  Duration expected_arming_time_{0};
  TimePoint arming_began_;
  // Passes a second, from the statuses.
  PassNumber rate_pass_;
  TimePoint rate_measured_at_;
  double passes_per_s_ = 0;
};

}  // namespace mangohold
