// Which formation a group is in, by what its ranks report. An engine may report
// a wrong epoch or size, once or for good, and a wrong higher epoch looks like
// that of a group that has formed anew. A formation is therefore taken only if
// most ranks report it. Uses neither clock nor network.
#pragma once

#include <map>
#include <optional>

#include "backend/engine_api.h"
#include "core/clock.h"

namespace mangohold {

// What is new whenever a group forms: its epoch, and the number of its ranks.
struct Formation {
  GroupEpoch epoch;
  int size = 0;

  auto operator<=>(const Formation&) const = default;
};

inline Formation FormationOf(const RankReport& report) {
  return {.epoch = report.epoch, .size = report.size};
}

class FormationVotes {
 public:
  // A vote older than `timeout` doesn't count, except that of `own_rank`, which
  // counts as a rank of the group even before its first one.
  FormationVotes(int own_rank, Duration timeout)
      : own_rank_(own_rank), timeout_(timeout) {}

  void OnReport(int rank, const Formation& formation, TimePoint now) {
    votes_[rank] = {.formation = formation, .cast_at = now};
  }

  // The formation reported by more than half of its ranks and of all ranks that
  // have reported recently; nullopt if there is none. The second condition
  // keeps a rank that reports a group of one from deciding alone.
  std::optional<Formation> Majority(TimePoint now) const {
    std::map<Formation, int> counts;
    int voters = votes_.contains(own_rank_) ? 0 : 1;
    for (const auto& [rank, vote] : votes_) {
      if (vote.cast_at + timeout_ < now && rank != own_rank_) continue;
      ++voters;
      ++counts[vote.formation];
    }
    for (const auto& [formation, count] : counts) {
      const bool is_majority = 2 * count > formation.size && 2 * count > voters;
      if (is_majority && own_rank_ < formation.size) return formation;
    }
    return std::nullopt;
  }

 private:
  struct Vote {
    Formation formation;
    TimePoint cast_at;
  };

  int own_rank_;
  Duration timeout_;
  std::map<int, Vote> votes_;  // the newest one of each rank
};

}  // namespace mangohold
