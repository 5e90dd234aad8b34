#include "routing/poison_detector.h"

#include <algorithm>
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

bool Contains(const std::vector<PromptPart>& parts, PromptPart part) {
  return std::ranges::find(parts, part) != parts.end();
}

Duration Distance(TimePoint a, TimePoint b) { return a < b ? b - a : a - b; }

}  // namespace

void PoisonDetector::SetEntries(const std::vector<InstanceId>& entries) {
  entries_ = entries;
}

PoisonDetector::Verdict PoisonDetector::Judge(
    const std::vector<PromptPart>& parts, TimePoint now) const {
  if (crashes_.empty()) return Verdict::kPass;
  Verdict verdict = Verdict::kPass;
  for (const PromptPart part : parts) {
    verdict = std::max(verdict, JudgePart(part, now));
  }
  return verdict;
}

PoisonDetector::Verdict PoisonDetector::JudgePart(PromptPart part,
                                                  TimePoint now) const {
  const auto until = BlockedUntil(part);
  if (until && !MayTry(part, *until, now)) return Verdict::kBlock;
  return IsUnderSuspicion(part, now) ? Verdict::kHold : Verdict::kPass;
}

Duration PoisonDetector::BlockedFor(const std::vector<PromptPart>& parts,
                                    TimePoint now) const {
  Duration longest = options_.trial_turn;
  for (const PromptPart part : parts) {
    longest = std::max(longest, BlockedUntil(part).value_or(now) - now);
  }
  return longest;
}

// True while it is open whether a backend has crashed that had a request with
// the part, which has never been answered.
bool PoisonDetector::IsUnderSuspicion(PromptPart part, TimePoint now) const {
  if (LastCleared(part)) return false;
  return std::ranges::any_of(crashes_, [&](const Crash& crash) {
    return !crash.is_confirmed && now - crash.at <= options_.hold_time &&
           Contains(crash.candidates, part);
  });
}

std::optional<TimePoint> PoisonDetector::LastCleared(PromptPart part) const {
  for (const auto* generation : {&cleared_, &cleared_before_}) {
    const auto it = generation->find(part.value());
    if (it != generation->end()) return it->second;
  }
  return std::nullopt;
}

bool PoisonDetector::IsCleared(PromptPart part, const Crash& crash) const {
  return LastCleared(part).value_or(kNever) > crash.at;
}

bool PoisonDetector::IsCandidate(PromptPart part, const Crash& crash) const {
  return crash.is_confirmed && Contains(crash.candidates, part) &&
         !IsCleared(part, crash);
}

std::pair<int, int> PoisonDetector::CountSimultaneous(
    PromptPart part, const Crash& crash) const {
  int backends = 0;
  int with_part = 0;
  for (const Crash& other : crashes_) {
    const bool is_simultaneous =
        other.is_confirmed &&
        Distance(other.at, crash.at) <= options_.simultaneity;
    if (!is_simultaneous) continue;
    ++backends;
    if (Contains(other.candidates, part)) ++with_part;
  }
  return {backends, with_part};
}

PoisonDetector::Evidence PoisonDetector::EvidenceAgainst(
    PromptPart part) const {
  Evidence evidence;
  for (const Crash& crash : crashes_) {
    if (!IsCandidate(part, crash)) continue;
    const bool is_counted =
        evidence.crashes > 0 &&
        Distance(crash.at, evidence.last) <= options_.simultaneity;
    if (is_counted) continue;
    const auto [backends, with_part] = CountSimultaneous(part, crash);
    if (2 * with_part <= backends) continue;
    ++evidence.crashes;
    evidence.last = std::max(evidence.last, crash.at);
  }
  return evidence;
}

// A part that was at several crashes leaves nothing to explain about another
// one that was at a single one of them.
bool PoisonDetector::IsExplained(PromptPart part, const Crash& crash) const {
  return std::ranges::any_of(crash.candidates, [&](PromptPart other) {
    return other != part && IsCandidate(other, crash) &&
           EvidenceAgainst(other).crashes >= 2;
  });
}

std::optional<TimePoint> PoisonDetector::BlockedUntil(PromptPart part) const {
  const Evidence evidence = EvidenceAgainst(part);
  const int needed = LastCleared(part) ? options_.crashes_of_known_part
                                       : options_.crashes_of_new_part;
  if (evidence.crashes < needed) return std::nullopt;
  const bool is_explained =
      evidence.crashes == 1 &&
      std::ranges::any_of(crashes_, [&](const Crash& crash) {
        return IsCandidate(part, crash) && IsExplained(part, crash);
      });
  if (is_explained) return std::nullopt;
  Duration block = options_.first_block;
  for (int i = 1; i < evidence.crashes && block < options_.max_block; ++i) {
    block *= kBlockGrowth;
  }
  return evidence.last + std::min(block, options_.max_block);
}

// One entry at a time may try a part again, chosen by rendezvous hashing, with
// one request in its turn.
bool PoisonDetector::MayTry(PromptPart part, TimePoint blocked_until,
                            TimePoint now) const {
  if (now < blocked_until) return false;
  const auto turn = (now - blocked_until) / options_.trial_turn;
  const auto score = [&](const InstanceId& entry) {
    return MixedHash(StableHash(entry.value()) ^ MixedHash(part.value()) ^
                     static_cast<std::uint64_t>(turn));
  };
  const bool is_own_turn =
      std::ranges::none_of(entries_, [&](const InstanceId& entry) {
        return entry != options_.self && score(entry) < score(options_.self);
      });
  const auto trial = trials_.find(part);
  const TimePoint begin = blocked_until + turn * options_.trial_turn;
  return is_own_turn && (trial == trials_.end() || trial->second < begin);
}

void PoisonDetector::OnSent(const std::vector<PromptPart>& parts,
                            TimePoint now) {
  if (crashes_.empty()) return;
  for (const PromptPart part : parts) {
    if (BlockedUntil(part)) trials_[part] = now;
  }
}

PoisonDetector::Crash& PoisonDetector::CrashOf(const InstanceId& backend,
                                               TimePoint at) {
  const auto known = std::ranges::find_if(crashes_, [&](const Crash& crash) {
    return crash.backend == backend && Distance(crash.at, at) < kMinRestartTime;
  });
  if (known != crashes_.end()) {
    known->at = std::min(known->at, at);
    return *known;
  }
  MakeRoom();
  crashes_.push_back({.backend = backend, .at = at});
  return crashes_.back();
}

// Forgets the oldest crash that blocks no part, so that a loss of many backends
// doesn't end a verdict.
void PoisonDetector::MakeRoom() {
  if (crashes_.size() < options_.max_crashes) return;
  const auto oldest = std::ranges::find_if(
      crashes_, [this](const Crash& crash) { return !IsBlocking(crash); });
  crashes_.erase(oldest == crashes_.end() ? crashes_.begin() : oldest);
}

bool PoisonDetector::IsBlocking(const Crash& crash) const {
  return std::ranges::any_of(crash.candidates, [this](PromptPart part) {
    return BlockedUntil(part).has_value();
  });
}

void PoisonDetector::AddCandidates(Crash& crash,
                                   const std::vector<PromptPart>& parts,
                                   std::size_t max) {
  for (const PromptPart part : parts) {
    if (crash.candidates.size() >= max) return;
    if (!Contains(crash.candidates, part)) crash.candidates.push_back(part);
  }
}

void PoisonDetector::OnBroken(const InstanceId& backend,
                              const std::vector<PromptPart>& parts,
                              TimePoint now) {
  RemoveOld(now);
  Crash& crash = CrashOf(backend, now);
  AddCandidates(crash, parts, options_.max_candidates);
  if (crash.is_confirmed) changed_at_ = now;
}

void PoisonDetector::OnGone(const InstanceId& backend, TimePoint now) {
  for (Crash& crash : crashes_) {
    const bool is_new = crash.backend == backend && !crash.is_confirmed &&
                        now - crash.at <= options_.confirmation_time;
    if (!is_new) continue;
    crash.is_confirmed = true;
    changed_at_ = now;
  }
}

void PoisonDetector::OnAnswered(const InstanceId& backend,
                                const std::vector<PromptPart>& parts,
                                TimePoint sent, TimePoint now) {
  for (const PromptPart part : parts) {
    if (EvidenceAgainst(part).crashes > 0) changed_at_ = now;
    Clear(part, now);
  }
  // A backend that answers a later request hasn't crashed.
  std::erase_if(crashes_, [&](const Crash& crash) {
    return crash.backend == backend && !crash.is_confirmed && sent > crash.at;
  });
}

void PoisonDetector::Clear(PromptPart part, TimePoint at) {
  trials_.erase(part);
  if (cleared_.size() >= options_.max_cleared / 2 &&
      !cleared_.contains(part.value())) {
    cleared_before_ = std::exchange(cleared_, {});
  }
  TimePoint& latest = cleared_[part.value()];
  latest = std::max(latest, at);
}

PoisonReport PoisonDetector::Report(TimePoint now) const {
  PoisonReport report;
  std::vector<PromptPart> parts;
  for (const Crash& crash : crashes_) {
    if (!crash.is_confirmed) continue;
    report.crashes.push_back({.backend = crash.backend,
                              .age_us = ToMicros(now - crash.at),
                              .candidates = crash.candidates});
    for (const PromptPart part : crash.candidates) {
      const TimePoint cleared = LastCleared(part).value_or(kNever);
      if (cleared == kNever || Contains(parts, part)) continue;
      parts.push_back(part);
      report.cleared.push_back(
          {.part = part, .age_us = ToMicros(now - cleared)});
    }
  }
  return report;
}

void PoisonDetector::OnReport(const PoisonReport& report, TimePoint now) {
  RemoveOld(now);
  const auto is_sound_age = [this](std::int64_t age_us) {
    return age_us >= 0 && age_us <= ToMicros(options_.retention);
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
    if (is_news) changed_at_ = now;
  }
  for (const PoisonReport::Cleared& told : report.cleared) {
    if (!is_sound_age(told.age_us)) continue;
    const TimePoint at =
        now - std::chrono::microseconds(told.age_us) - kMaxTransit;
    const TimePoint known = LastCleared(told.part).value_or(kNever);
    if (known >= at) continue;
    const bool is_news =
        known == kNever || EvidenceAgainst(told.part).crashes > 0;
    if (is_news) changed_at_ = now;
    Clear(told.part, at);
  }
}

int PoisonDetector::blocked(TimePoint now) const {
  std::vector<PromptPart> parts;
  for (const Crash& crash : crashes_) {
    for (const PromptPart part : crash.candidates) {
      if (Contains(parts, part)) continue;
      if (JudgePart(part, now) == Verdict::kBlock) parts.push_back(part);
    }
  }
  return static_cast<int>(parts.size());
}

void PoisonDetector::RemoveOld(TimePoint now) {
  std::erase_if(crashes_, [&](const Crash& crash) {
    const Duration age = now - crash.at;
    if (!crash.is_confirmed) return age > options_.confirmation_time;
    if (age > options_.retention) return true;
    return age > kCrashRetention && !IsBlocking(crash);
  });
}

}  // namespace mangohold
