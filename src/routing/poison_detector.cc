#include "routing/poison_detector.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <ranges>
#include <utility>

#include "core/stable_hash.h"

namespace mangohold {
namespace {

// A backend needs at least this long from one crash to the next.
constexpr Duration kMinRestartTime = std::chrono::seconds(1);
// Longest time that a report is under way. What a report says of a part that
// was answered may look older by this than it is, but never newer.
constexpr Duration kMaxTransit = std::chrono::milliseconds(200);
// A crash that blocks no part is forgotten after this time.
constexpr Duration kCrashRetention = std::chrono::minutes(2);
constexpr int kBlockGrowth = 10;
constexpr std::size_t kMaxIdLength = 256;
constexpr TimePoint kNever = TimePoint::min();

std::int64_t ToMicros(Duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration)
      .count();
}

bool Contains(const Suspects& suspects, const Suspect& suspect) {
  return std::ranges::find(suspects, suspect) != suspects.end();
}

Duration Distance(TimePoint a, TimePoint b) { return a < b ? b - a : a - b; }

}  // namespace

PoisonDetector::PoisonDetector(Options options) : options_(std::move(options)) {
  options_.max_crashes = std::min(options_.max_crashes, CrashSet().size());
}

void PoisonDetector::SetEntries(const std::vector<InstanceId>& entries) {
  entries_ = entries;
}

PoisonDetector::Verdict PoisonDetector::Judge(const Suspects& suspects,
                                              TimePoint now) const {
  if (crashes_.empty()) return Verdict::kPass;
  Verdict verdict = Verdict::kPass;
  for (const Suspect& suspect : suspects) {
    verdict = std::max(verdict, JudgeSuspect(suspect, now));
  }
  return verdict;
}

PoisonDetector::Verdict PoisonDetector::JudgeSuspect(const Suspect& suspect,
                                                     TimePoint now) const {
  const auto until = BlockedUntil(suspect);
  if (until && !MayTry(suspect, *until, now)) return Verdict::kBlock;
  return IsUnderSuspicion(suspect, now) ? Verdict::kHold : Verdict::kPass;
}

Duration PoisonDetector::BlockedFor(const Suspects& suspects,
                                    TimePoint now) const {
  Duration longest = options_.trial_turn;
  for (const Suspect& suspect : suspects) {
    longest = std::max(longest, BlockedUntil(suspect).value_or(now) - now);
  }
  return longest;
}

bool PoisonDetector::WasAtCrash(RequestDigest request, TimePoint now) const {
  const Suspect suspect(request);
  if (IndexNow().uncleared.contains(suspect)) return true;
  return std::ranges::any_of(crashes_, [&](const Crash& crash) {
    return !crash.is_confirmed && now - crash.at <= options_.hold_time &&
           Contains(crash.candidates, suspect);
  });
}

// True while it is open whether a backend has crashed that had this, and a
// crash would block it.
bool PoisonDetector::IsUnderSuspicion(const Suspect& suspect,
                                      TimePoint now) const {
  const bool is_open = std::ranges::any_of(crashes_, [&](const Crash& crash) {
    return !crash.is_confirmed && now - crash.at <= options_.hold_time &&
           Contains(crash.candidates, suspect);
  });
  if (!is_open) return false;
  if (!suspect.is_request()) return !LastCleared(suspect);
  return EvidenceAgainst(suspect).crashes + 1 >= options_.crashes_of_request;
}

std::optional<TimePoint> PoisonDetector::LastCleared(
    const Suspect& suspect) const {
  for (const auto* generation : {&cleared_, &cleared_before_}) {
    const auto it = generation->find(suspect);
    if (it != generation->end()) return it->second;
  }
  return std::nullopt;
}

const PoisonDetector::Index& PoisonDetector::IndexNow() const {
  if (index_) return *index_;
  Index index;
  AddCrashes(index);
  AddRequests(index);
  AddParts(index);
  index_ = std::move(index);
  return *index_;
}

void PoisonDetector::AddCrashes(Index& index) const {
  index.simultaneous.resize(crashes_.size());
  for (std::size_t at = 0; at < crashes_.size(); ++at) {
    const Crash& crash = crashes_[at];
    if (!crash.is_confirmed) continue;
    for (const Suspect& suspect : crash.candidates) {
      index.crashes_with[suspect].set(at);
      const bool is_cleared = LastCleared(suspect).value_or(kNever) > crash.at;
      if (!is_cleared) index.uncleared[suspect].set(at);
    }
    for (std::size_t other = 0; other < crashes_.size(); ++other) {
      const bool is_simultaneous =
          Distance(crashes_[other].at, crash.at) <= options_.simultaneity;
      if (is_simultaneous) index.simultaneous[other].set(at);
    }
  }
}

void PoisonDetector::AddRequests(Index& index) const {
  index.request_behind.resize(crashes_.size());
  for (const auto& [suspect, crashes] : index.uncleared) {
    if (!suspect.is_request()) continue;
    const Evidence evidence = EvidenceAgainstRequest(suspect, index);
    index.evidence[suspect] = evidence;
    if (evidence.crashes < options_.crashes_of_request) continue;
    for (std::size_t at = 0; at < crashes_.size(); ++at) {
      if (crashes.test(at)) index.request_behind[at] = suspect;
    }
  }
}

void PoisonDetector::AddParts(Index& index) const {
  for (const auto& [suspect, crashes] : index.uncleared) {
    if (suspect.is_request()) continue;
    const Evidence evidence = EvidenceAgainstPart(suspect, index);
    index.evidence[suspect] = evidence;
    if (evidence.crashes >= 2) index.with_strong_part |= crashes;
  }
}

bool PoisonDetector::IsAtMost(const Suspect& suspect, std::size_t crash,
                              const Index& index) {
  const CrashSet& simultaneous = index.simultaneous[crash];
  const CrashSet with_suspect = index.crashes_with.at(suspect) & simultaneous;
  return 2 * with_suspect.count() > simultaneous.count();
}

PoisonDetector::Evidence PoisonDetector::EvidenceAgainst(
    const Suspect& suspect) const {
  const Index& index = IndexNow();
  const auto found = index.evidence.find(suspect);
  return found == index.evidence.end() ? Evidence() : found->second;
}

// Copies of one request that crash several backends at once count each: a sound
// one is seldom at more than one of them.
PoisonDetector::Evidence PoisonDetector::EvidenceAgainstRequest(
    const Suspect& request, const Index& index) const {
  Evidence evidence;
  const CrashSet& crashes = index.uncleared.at(request);
  for (std::size_t at = 0; at < crashes_.size(); ++at) {
    if (!crashes.test(at) || !IsAtMost(request, at, index)) continue;
    ++evidence.crashes;
    evidence.last = std::max(evidence.last, crashes_[at].at);
  }
  return evidence;
}

// All crashes that one request explains count as one, and as none if there is
// nothing else. A part that has never been answered gets no such excuse: it may
// be as rare as the request.
PoisonDetector::Evidence PoisonDetector::EvidenceAgainstPart(
    const Suspect& part, const Index& index) const {
  Evidence evidence;
  Suspects requests;  // that explain crashes
  const bool is_known = LastCleared(part).has_value();
  const CrashSet& crashes = index.uncleared.at(part);
  for (std::size_t at = 0; at < crashes_.size(); ++at) {
    if (!crashes.test(at)) continue;
    const TimePoint crashed_at = crashes_[at].at;
    const bool is_counted =
        evidence.crashes > 0 &&
        Distance(crashed_at, evidence.last) <= options_.simultaneity;
    if (is_counted || !IsAtMost(part, at, index)) continue;
    const auto& request = index.request_behind[at];
    if (is_known && request) {
      if (Contains(requests, *request)) continue;
      requests.push_back(*request);
    }
    ++evidence.crashes;
    evidence.last = std::max(evidence.last, crashed_at);
  }
  const bool is_one_request = evidence.crashes == 1 && requests.size() == 1;
  return is_one_request ? Evidence() : evidence;
}

// A part that was at several crashes leaves nothing to explain about another
// one that was at a single one of them.
bool PoisonDetector::IsExplained(const Suspect& suspect) const {
  const Index& index = IndexNow();
  const auto crashes = index.uncleared.find(suspect);
  return crashes != index.uncleared.end() &&
         (crashes->second & index.with_strong_part).any();
}

int PoisonDetector::CrashesNeeded(const Suspect& suspect) const {
  if (suspect.is_request()) return options_.crashes_of_request;
  return LastCleared(suspect) ? options_.crashes_of_known_part
                              : options_.crashes_of_new_part;
}

std::optional<TimePoint> PoisonDetector::BlockedUntil(
    const Suspect& suspect) const {
  const Evidence evidence = EvidenceAgainst(suspect);
  if (evidence.crashes < CrashesNeeded(suspect)) return std::nullopt;
  if (evidence.crashes == 1 && IsExplained(suspect)) return std::nullopt;
  const int first = suspect.is_request() ? options_.crashes_of_request : 1;
  const Duration max_block = suspect.is_request()
                                 ? options_.max_block_of_request
                                 : options_.max_block_of_part;
  Duration block = options_.first_block;
  for (int i = first; i < evidence.crashes && block < max_block; ++i) {
    block *= kBlockGrowth;
  }
  return evidence.last + std::min(block, max_block);
}

// One entry at a time may try a suspect again, chosen by rendezvous hashing,
// with one request in its turn.
bool PoisonDetector::MayTry(const Suspect& suspect, TimePoint blocked_until,
                            TimePoint now) const {
  if (now < blocked_until) return false;
  const auto turn = (now - blocked_until) / options_.trial_turn;
  const auto score = [&](const InstanceId& entry) {
    return MixedHash(StableHash(entry.value()) ^ MixedHash(suspect.value()) ^
                     static_cast<std::uint64_t>(turn));
  };
  const bool is_own_turn =
      std::ranges::none_of(entries_, [&](const InstanceId& entry) {
        return entry != options_.self && score(entry) < score(options_.self);
      });
  const auto trial = trials_.find(suspect);
  const TimePoint begin = blocked_until + turn * options_.trial_turn;
  return is_own_turn && (trial == trials_.end() || trial->second < begin);
}

void PoisonDetector::OnSent(const Suspects& suspects, TimePoint now) {
  if (crashes_.empty()) return;
  for (const Suspect& suspect : suspects) {
    if (BlockedUntil(suspect)) trials_[suspect] = now;
  }
}

PoisonDetector::Crash& PoisonDetector::CrashOf(const InstanceId& backend,
                                               TimePoint at) {
  const auto known = std::ranges::find_if(crashes_, [&](const Crash& crash) {
    return crash.backend == backend && Distance(crash.at, at) < kMinRestartTime;
  });
  if (known != crashes_.end()) {
    known->at = std::min(known->at, at);
    index_.reset();
    return *known;
  }
  MakeRoom();
  index_.reset();
  crashes_.push_back({.backend = backend, .at = at});
  return crashes_.back();
}

// Forgets the oldest crash that blocks nothing, so that a loss of many backends
// doesn't end a verdict.
void PoisonDetector::MakeRoom() {
  if (crashes_.size() < options_.max_crashes) return;
  const auto oldest = std::ranges::find_if(
      crashes_, [this](const Crash& crash) { return !IsBlocking(crash); });
  crashes_.erase(oldest == crashes_.end() ? crashes_.begin() : oldest);
  index_.reset();
}

bool PoisonDetector::IsBlocking(const Crash& crash) const {
  return RetentionOf(crash) > kCrashRetention;
}

// How long a crash is kept: longest if it is evidence that blocks a request.
Duration PoisonDetector::RetentionOf(const Crash& crash) const {
  Duration retention = kCrashRetention;
  for (const Suspect& suspect : crash.candidates) {
    if (!BlockedUntil(suspect)) continue;
    retention = std::max(retention, suspect.is_request()
                                        ? options_.retention_of_requests
                                        : options_.retention_of_parts);
  }
  return retention;
}

void PoisonDetector::AddCandidates(Crash& crash, const Suspects& suspects,
                                   std::size_t max) {
  for (const Suspect& suspect : suspects) {
    if (crash.candidates.size() >= max) return;
    if (Contains(crash.candidates, suspect)) continue;
    crash.candidates.push_back(suspect);
  }
}

void PoisonDetector::OnBroken(const InstanceId& backend,
                              const Suspects& suspects, TimePoint now) {
  RemoveOld(now);
  Crash& crash = CrashOf(backend, now);
  AddCandidates(crash, suspects, options_.max_candidates);
  if (crash.is_confirmed) changed_at_ = now;
}

void PoisonDetector::OnGone(const InstanceId& backend, TimePoint now) {
  for (Crash& crash : crashes_) {
    const bool is_new = crash.backend == backend && !crash.is_confirmed &&
                        now - crash.at <= options_.confirmation_time;
    if (!is_new) continue;
    crash.is_confirmed = true;
    changed_at_ = now;
    index_.reset();
  }
}

void PoisonDetector::OnAnswered(const InstanceId& backend,
                                const Suspects& suspects, TimePoint sent,
                                TimePoint now) {
  const auto is_at_crash = [this](const Suspect& suspect) {
    return std::ranges::any_of(crashes_, [&](const Crash& crash) {
      return Contains(crash.candidates, suspect);
    });
  };
  for (const Suspect& suspect : suspects) {
    // Most requests come once, so that only suspected ones are worth noting.
    if (suspect.is_request() && !is_at_crash(suspect)) continue;
    if (EvidenceAgainst(suspect).crashes > 0) changed_at_ = now;
    Clear(suspect, now);
  }
  // A backend that answers a later request hasn't crashed.
  const auto removed = std::erase_if(crashes_, [&](const Crash& crash) {
    return crash.backend == backend && !crash.is_confirmed && sent > crash.at;
  });
  if (removed > 0) index_.reset();
}

void PoisonDetector::Clear(const Suspect& suspect, TimePoint at) {
  trials_.erase(suspect);
  if (index_ && index_->crashes_with.contains(suspect)) index_.reset();
  if (cleared_.size() >= options_.max_cleared / 2 &&
      !cleared_.contains(suspect)) {
    cleared_before_ = std::exchange(cleared_, {});
  }
  TimePoint& latest = cleared_[suspect];
  latest = std::max(latest, at);
}

PoisonReport PoisonDetector::Report(TimePoint now) const {
  PoisonReport report;
  Suspects told;
  for (const Crash& crash : crashes_) {
    if (!crash.is_confirmed) continue;
    report.crashes.push_back({.backend = crash.backend,
                              .age_us = ToMicros(now - crash.at),
                              .candidates = crash.candidates});
    for (const Suspect& suspect : crash.candidates) {
      const TimePoint cleared = LastCleared(suspect).value_or(kNever);
      if (cleared == kNever || Contains(told, suspect)) continue;
      told.push_back(suspect);
      report.cleared.push_back(
          {.suspect = suspect, .age_us = ToMicros(now - cleared)});
    }
  }
  return report;
}

void PoisonDetector::OnReport(const PoisonReport& report, TimePoint now) {
  RemoveOld(now);
  const auto is_sound_age = [this](std::int64_t age_us) {
    return age_us >= 0 && age_us <= ToMicros(options_.retention_of_requests);
  };
  for (const PoisonReport::Crash& told : report.crashes) {
    const bool is_sound = is_sound_age(told.age_us) && !told.backend.empty() &&
                          told.backend.value().size() <= kMaxIdLength;
    if (!is_sound) continue;
    Crash& crash =
        CrashOf(told.backend, now - std::chrono::microseconds(told.age_us));
    const std::size_t before = crash.candidates.size();
    AddCandidates(crash, told.candidates, options_.max_candidates);
    const bool is_news =
        !crash.is_confirmed || crash.candidates.size() > before;
    crash.is_confirmed = true;
    index_.reset();
    if (is_news) changed_at_ = now;
  }
  for (const PoisonReport::Cleared& told : report.cleared) {
    if (!is_sound_age(told.age_us)) continue;
    const TimePoint at =
        now - std::chrono::microseconds(told.age_us) - kMaxTransit;
    const TimePoint known = LastCleared(told.suspect).value_or(kNever);
    if (known >= at) continue;
    const bool is_news =
        known == kNever || EvidenceAgainst(told.suspect).crashes > 0;
    if (is_news) changed_at_ = now;
    Clear(told.suspect, at);
  }
}

int PoisonDetector::blocked(Suspect::Kind kind, TimePoint now) const {
  Suspects blocked;
  for (const Crash& crash : crashes_) {
    for (const Suspect& suspect : crash.candidates) {
      if (suspect.kind() != kind || Contains(blocked, suspect)) continue;
      if (JudgeSuspect(suspect, now) == Verdict::kBlock) {
        blocked.push_back(suspect);
      }
    }
  }
  return static_cast<int>(blocked.size());
}

void PoisonDetector::RemoveOld(TimePoint now) {
  const auto is_old = [&](const Crash& crash) {
    const Duration age = now - crash.at;
    if (!crash.is_confirmed) return age > options_.confirmation_time;
    return age > kCrashRetention && age > RetentionOf(crash);
  };
  std::vector<Crash> kept;
  std::ranges::remove_copy_if(crashes_, std::back_inserter(kept), is_old);
  if (kept.size() == crashes_.size()) return;
  crashes_ = std::move(kept);
  index_.reset();
}

}  // namespace mangohold
