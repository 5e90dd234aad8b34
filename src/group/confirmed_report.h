// The state of an engine that can be relied on. An engine may put a wrong
// number into an answer, so that a report that differs from the one before is
// used only once a second one says the same. Uses neither clock nor
// network.
#pragma once

#include <algorithm>
#include <optional>

#include "backend/engine_api.h"

namespace mangohold {

class ConfirmedReport {
 public:
  // Reads in a row until two agree; without, the report of before stays in use.
  static constexpr int kMaxReads = 4;

  // Takes a report as it was read. Returns false if it has to be read again: it
  // differs from the one in use and from the one read right before.
  bool OnRead(const RankReport& report) {
    const bool is_confirmed = (in_use_ && AreAlike(*in_use_, report)) ||
                              (last_read_ && AreAlike(*last_read_, report));
    if (is_confirmed) Use(report);
    last_read_ = report;
    return is_confirmed;
  }
  // The engine can't be reached.
  void Reset() { *this = ConfirmedReport(); }

  // The newest confirmed report, with the lower slowdown of the last two reads.
  // Null without one.
  const RankReport* report() const { return in_use_ ? &*in_use_ : nullptr; }
  // A pass that has certainly been started: the lower one of the last two
  // reads.
  PassNumber started_pass() const { return started_pass_; }

 private:
  // A report that is more passes ahead than this is read again. The pass of a
  // wrong one is then off by no more.
  static constexpr std::uint64_t kMaxPassesBetweenReads = 32;

  // True if the reports name the same state, possibly some passes later.
  static bool AreAlike(const RankReport& before, const RankReport& after) {
    return before.group == after.group && before.epoch == after.epoch &&
           before.rank == after.rank && before.size == after.size &&
           before.is_open == after.is_open && before.map == after.map &&
           before.prepared == after.prepared && before.armed == after.armed &&
           before.armed_at == after.armed_at && before.held == after.held &&
           before.pass <= after.pass &&
           after.pass.value() - before.pass.value() <= kMaxPassesBetweenReads;
  }

  void Use(const RankReport& report) {
    in_use_ = report;
    started_pass_ = report.pass;
    if (!last_read_) return;
    started_pass_ = std::min(report.pass, last_read_->pass);
    in_use_->slowdown = std::min(report.slowdown, last_read_->slowdown);
  }

  std::optional<RankReport> in_use_;
  std::optional<RankReport> last_read_;
  PassNumber started_pass_;
};

}  // namespace mangohold
