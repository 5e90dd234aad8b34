// What the ranks of a group are armed for, as last reported: one switch that
// can be completed, or parts of a switch that has to be undone.
#pragma once

#include <optional>
#include <set>

#include "backend/engine_api.h"

namespace mangohold {

struct ArmedRanks {
  int ranks = 0;
  int armed = 0;
  // Armed ranks whose report doesn't tell the pass.
  int without_pass = 0;
  std::set<MapVersion> versions;
  std::set<PassNumber> passes;  // the reported ones

  void Add(const RankReport& report) {
    ++ranks;
    if (!report.armed) return;
    ++armed;
    versions.insert(*report.armed);
    if (report.armed_at) {
      passes.insert(*report.armed_at);
    } else {
      ++without_pass;
    }
  }

  bool AreAll() const { return ranks > 0 && armed == ranks; }
  // True if all ranks are armed for the same switch, which its version tells: a
  // leader arms a version for one pass only, and no other leader arms it. A
  // report that doesn't tell the pass therefore leaves no doubt.
  bool AreForOneSwitch() const {
    return AreAll() && versions.size() == 1 && passes.size() <= 1;
  }
};

}  // namespace mangohold
