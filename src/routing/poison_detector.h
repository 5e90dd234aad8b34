// Finds what crashes every backend that runs it ("poison pills"), and keeps it
// from reaching further backends: parts of prompts, and whole requests that
// their callers send again and again. Does no I/O and reads no clock.
//
// When a backend crashes, each request whose answer had not gone on beyond its
// first event there is a suspect, and so is each part of its prompt. A suspect
// is cleared by each answer that does go on. What is left over several crashes
// without such an answer is at fault. Crashes of several backends at once are
// evidence only against what was at most of them.
//
// A request is more specific than a part: a part that has been answered before
// is not blamed for crashes that one request explains. Two requests with the
// same part that crash backends are evidence against the part.
//
// Most requests are new, so one crash is no evidence against a whole request:
// the sound ones that were at the backend run elsewhere when they come again,
// and the one at fault is at the next crash, too.
//
// Entries tell each other of crashes, suspects and cleared ones, so that each
// of them can judge by all. What is blocked is tried again after a long time,
// by one request of one entry: a wrong verdict ends, and a right one costs one
// backend.
#pragma once

#include <bitset>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"

namespace mangohold {

// What may crash backends.
class Suspect {
 public:
  enum class Kind { kPart, kRequest };

  explicit constexpr Suspect(PromptPart part)
      : kind_(Kind::kPart), value_(part.value()) {}
  explicit constexpr Suspect(RequestDigest request)
      : kind_(Kind::kRequest), value_(request.value()) {}

  constexpr Kind kind() const { return kind_; }
  constexpr bool is_request() const { return kind_ == Kind::kRequest; }
  constexpr std::uint64_t value() const { return value_; }
  auto operator<=>(const Suspect&) const = default;

 private:
  Kind kind_;
  std::uint64_t value_;
};
using Suspects = std::vector<Suspect>;

// What entries tell each other.
struct PoisonReport {
  struct Crash {
    InstanceId backend;
    std::int64_t age_us = 0;  // microseconds since then
    Suspects candidates;
  };
  // A request with the suspect was answered.
  struct Cleared {
    Suspect suspect;
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
    // Time until something blocked is tried again, after the first crash that
    // can block it; ten times as long after each further one.
    Duration first_block = std::chrono::seconds(30);
    Duration max_block_of_part = std::chrono::hours(1);
    Duration max_block_of_request = std::chrono::hours(24);
    // Time after which another entry may try what is blocked, and for which the
    // result of a trial is waited for.
    Duration trial_turn = std::chrono::seconds(10);
    // Crashes that block a part which has been answered before, one that never
    // has, and a request.
    int crashes_of_known_part = 2;
    int crashes_of_new_part = 1;
    int crashes_of_request = 2;
    // Upper bounds of what is kept.
    std::size_t max_crashes = 64;     // at most 64
    std::size_t max_candidates = 32;  // of one crash
    std::size_t max_cleared = 8'192;
    // Crashes that block a part, and those that block a request.
    Duration retention_of_parts = std::chrono::hours(2);
    Duration retention_of_requests = std::chrono::hours(24);
  };
  enum class Verdict {
    kPass,
    kHold,  // a crash is not confirmed yet: ask again soon
    kBlock
  };

  explicit PoisonDetector(Options options);

  // Sets the entries that may be sending, among which trials are divided.
  void SetEntries(const std::vector<InstanceId>& entries);

  // Whether a request with these suspects may be sent.
  Verdict Judge(const Suspects& suspects, TimePoint now) const;
  // Time until what blocks the request may be tried again.
  Duration BlockedFor(const Suspects& suspects, TimePoint now) const;
  // True if the request was at a backend when it crashed, and hasn't been
  // answered since.
  bool WasAtCrash(RequestDigest request, TimePoint now) const;
  // True if a backend may have crashed lately, so that suspects matter.
  bool has_crashes() const { return !crashes_.empty(); }

  // A request with these suspects is sent.
  void OnSent(const Suspects& suspects, TimePoint now);
  // The answer to a request that was sent at `sent` went on after its begin.
  void OnAnswered(const InstanceId& backend, const Suspects& suspects,
                  TimePoint sent, TimePoint now);
  // The connection of a request broke before its answer went on.
  void OnBroken(const InstanceId& backend, const Suspects& suspects,
                TimePoint now);
  // The backend refuses connections, or is no longer listed.
  void OnGone(const InstanceId& backend, TimePoint now);

  // What the other entries have to know; empty most of the time.
  PoisonReport Report(TimePoint now) const;
  void OnReport(const PoisonReport& report, TimePoint now);

  // Number of suspects of this kind that are blocked.
  int blocked(Suspect::Kind kind, TimePoint now) const;
  // When what `Report` returns last changed; absent: never.
  std::optional<TimePoint> changed_at() const { return changed_at_; }

 private:
  struct Crash {
    InstanceId backend;
    TimePoint at;
    bool is_confirmed = false;
    Suspects candidates;
  };
  // The evidence against one suspect.
  struct Evidence {
    int crashes = 0;
    TimePoint last;  // the latest of them
  };
  struct SuspectHash {
    std::size_t operator()(const Suspect& suspect) const {
      return suspect.value();
    }
  };
  using ClearedTimes = std::unordered_map<Suspect, TimePoint, SuspectHash>;
  // A set of crashes, by their places in `crashes_`.
  using CrashSet = std::bitset<32>;
  // What follows from the crashes and answers. It is made anew when these have
  // changed. Only confirmed crashes count.
  struct Index {
    std::unordered_map<Suspect, CrashSet, SuspectHash> crashes_with;
    // The crashes since which the suspect hasn't been answered.
    std::unordered_map<Suspect, CrashSet, SuspectHash> uncleared;
    // For each crash: those at about the same time.
    std::vector<CrashSet> simultaneous;
    // For each crash: the request that explains it; absent: none does.
    std::vector<std::optional<Suspect>> request_behind;
    std::unordered_map<Suspect, Evidence, SuspectHash> evidence;
    // The crashes that a part explains which was at several.
    CrashSet with_strong_part;
  };

  Crash& CrashOf(const InstanceId& backend, TimePoint at);
  void MakeRoom();
  bool IsBlocking(const Crash& crash) const;
  Duration RetentionOf(const Crash& crash) const;
  static void AddCandidates(Crash& crash, const Suspects& suspects,
                            std::size_t max);
  const Index& IndexNow() const;
  void AddCrashes(Index& index) const;
  void AddRequests(Index& index) const;
  void AddParts(Index& index) const;
  // True if the suspect was at most of the backends that crashed at about the
  // same time as this crash.
  static bool IsAtMost(const Suspect& suspect, std::size_t crash,
                       const Index& index);
  Evidence EvidenceAgainst(const Suspect& suspect) const;
  Evidence EvidenceAgainstRequest(const Suspect& request,
                                  const Index& index) const;
  Evidence EvidenceAgainstPart(const Suspect& part, const Index& index) const;
  // True if a part against which there is more evidence explains a crash that
  // this suspect was at.
  bool IsExplained(const Suspect& suspect) const;
  bool IsUnderSuspicion(const Suspect& suspect, TimePoint now) const;
  int CrashesNeeded(const Suspect& suspect) const;
  std::optional<TimePoint> BlockedUntil(const Suspect& suspect) const;
  bool MayTry(const Suspect& suspect, TimePoint blocked_until,
              TimePoint now) const;
  Verdict JudgeSuspect(const Suspect& suspect, TimePoint now) const;
  std::optional<TimePoint> LastCleared(const Suspect& suspect) const;
  void Clear(const Suspect& suspect, TimePoint at);
  void RemoveOld(TimePoint now);

  Options options_;
  std::vector<InstanceId> entries_;
  std::vector<Crash> crashes_;
  mutable std::optional<Index> index_;  // absent: to be made anew
  // The latest answers by suspect, in two generations, of which the older one
  // is dropped when the younger one is full.
  ClearedTimes cleared_;
  ClearedTimes cleared_before_;
  std::map<Suspect, TimePoint> trials_;  // when this entry sent the last one
  std::optional<TimePoint> changed_at_;
};

}  // namespace mangohold
