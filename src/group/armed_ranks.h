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
};

}  // namespace mangohold
