// Finds parts of prompts that crash every backend which answers a request with
// them ("poison pills"), and keeps requests with such a part from reaching
// further backends. Does no I/O and reads no clock.
//
// When a backend crashes, each part of a request whose answer had not gone on
// beyond its first event there is a candidate. A part is cleared by each answer
// that does go on. What is left over several crashes without such an answer is
// at fault. Crashes of several backends at once are evidence only against parts
// that were at most of them.
//
// Entries tell each other of crashes, candidates and cleared parts, so that
// each of them can judge by all. A blocked part is tried again after a long
// time, by one request of one entry: a wrong verdict ends, and a right one
// costs one backend.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"

namespace mangohold {

// What entries tell each other.
struct PoisonReport {
  struct Crash {
    InstanceId backend;
    std::int64_t age_us = 0;  // microseconds since then
    std::vector<PromptPart> candidates;
  };
  // A request with the part was answered.
  struct Cleared {
    PromptPart part;
    std::int64_t age_us = 0;  // microseconds since then
  };
  std::vector<Crash> crashes;
  std::vector<Cleared> cleared;

  bool empty() const { return crashes.empty() && cleared.empty(); }
};

class PoisonDetector {
 public:
  struct Options {
    InstanceId self;
    // A broken connection is taken for a crash if its backend refuses a
    // connection, or leaves the list, within this time.
    Duration confirmation_time = std::chrono::seconds(5);
    // For so long a request waits for that.
    Duration hold_time = std::chrono::milliseconds(500);
    // Crashes no further apart than this are one event.
    Duration simultaneity = std::chrono::milliseconds(500);
    // Time until a blocked part is tried again, after one crash; ten times as
    // long after each further one.
    Duration first_block = std::chrono::seconds(30);
    Duration max_block = std::chrono::hours(1);
    // Time after which another entry may try a blocked part, and for which the
    // result of a trial is waited for.
    Duration trial_turn = std::chrono::seconds(10);
    // Crashes that block a part which has been answered before, and one that
    // never has.
    int crashes_of_known_part = 2;
    int crashes_of_new_part = 1;
    // Upper bounds of what is kept.
    std::size_t max_crashes = 32;
    std::size_t max_candidates = 32;  // of one crash
    std::size_t max_cleared = 8'192;
    Duration retention = std::chrono::hours(2);
  };
  enum class Verdict {
    kPass,
    kHold,  // a crash is not confirmed yet: ask again soon
    kBlock
  };

  explicit PoisonDetector(Options options) : options_(std::move(options)) {}

  // Sets the entries that may be sending, among which trials are divided.
  void SetEntries(const std::vector<InstanceId>& entries);

  // Whether a request with these parts may be sent.
  Verdict Judge(const std::vector<PromptPart>& parts, TimePoint now) const;
  // Time until the part that blocks the request may be tried again.
  Duration BlockedFor(const std::vector<PromptPart>& parts,
                      TimePoint now) const;

  // A request with these parts is sent.
  void OnSent(const std::vector<PromptPart>& parts, TimePoint now);
  // The answer to a request that was sent at `sent` went on after its begin.
  void OnAnswered(const InstanceId& backend,
                  const std::vector<PromptPart>& parts, TimePoint sent,
                  TimePoint now);
  // The connection of a request broke before its answer went on.
  void OnBroken(const InstanceId& backend, const std::vector<PromptPart>& parts,
                TimePoint now);
  // The backend refuses connections, or is no longer listed.
  void OnGone(const InstanceId& backend, TimePoint now);

  // What the other entries have to know; empty most of the time.
  PoisonReport Report(TimePoint now) const;
  void OnReport(const PoisonReport& report, TimePoint now);

  // Number of parts that are blocked.
  int blocked(TimePoint now) const;
  // When what `Report` returns last changed; absent: never.
  std::optional<TimePoint> changed_at() const { return changed_at_; }

 private:
  struct Crash {
    InstanceId backend;
    TimePoint at;
    bool is_confirmed = false;
    std::vector<PromptPart> candidates;
  };
  // The evidence against one part.
  struct Evidence {
    int crashes = 0;
    TimePoint last;  // the latest of them
  };

  Crash& CrashOf(const InstanceId& backend, TimePoint at);
  void MakeRoom();
  bool IsBlocking(const Crash& crash) const;
  static void AddCandidates(Crash& crash, const std::vector<PromptPart>& parts,
                            std::size_t max);
  bool IsCleared(PromptPart part, const Crash& crash) const;
  bool IsCandidate(PromptPart part, const Crash& crash) const;
  // Number of backends that crashed at about the same time as `crash`, and of
  // those of them at which the part was a candidate.
  std::pair<int, int> CountSimultaneous(PromptPart part,
                                        const Crash& crash) const;
  Evidence EvidenceAgainst(PromptPart part) const;
  // True if a part against which there is more evidence explains the crash.
  bool IsExplained(PromptPart part, const Crash& crash) const;
  bool IsUnderSuspicion(PromptPart part, TimePoint now) const;
  std::optional<TimePoint> BlockedUntil(PromptPart part) const;
  bool MayTry(PromptPart part, TimePoint blocked_until, TimePoint now) const;
  Verdict JudgePart(PromptPart part, TimePoint now) const;
  std::optional<TimePoint> LastCleared(PromptPart part) const;
  void Clear(PromptPart part, TimePoint at);
  void RemoveOld(TimePoint now);

  Options options_;
  std::vector<InstanceId> entries_;
  std::deque<Crash> crashes_;
  // The latest answers by part, in two generations, of which the older one is
  // dropped when the younger one is full.
  std::unordered_map<std::uint64_t, TimePoint> cleared_;
  std::unordered_map<std::uint64_t, TimePoint> cleared_before_;
  std::map<PromptPart, TimePoint> trials_;  // when this entry sent the last one
  std::optional<TimePoint> changed_at_;
};

}  // namespace mangohold
