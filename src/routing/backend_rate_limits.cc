#include "routing/backend_rate_limits.h"

#include <algorithm>
#include <cmath>
#include <ranges>

namespace mangohold {
namespace {

constexpr std::size_t kMaxIdLength = 256;
// Longest age that a report may state.
constexpr Duration kMaxAge = std::chrono::hours(2);
// Tolerance for rounding when tokens are added in many small steps.
constexpr double kOneToken = 1 - 1e-9;

std::int64_t ToMicros(Duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration)
      .count();
}

bool IsUsable(const RateLimitReport& report) {
  const bool has_rate =
      !report.requests_per_s ||
      (std::isfinite(*report.requests_per_s) && *report.requests_per_s >= 0);
  return has_rate && !report.backend.empty() &&
         report.backend.value().size() <= kMaxIdLength && report.age_us >= 0 &&
         report.age_us <= ToMicros(kMaxAge);
}

}  // namespace

void BackendRateLimits::SetEntries(const EntryQuota& entries, TimePoint now) {
  entries_ = entries;
  for (auto& [id, limit] : limits_) {
    Refill(limit, now);
    limit.own_per_s = OwnRate(id, limit);
    Refill(limit, now);
  }
}

void BackendRateLimits::OnListed(const InstanceId& id,
                                 std::optional<std::int64_t> started_ms,
                                 TimePoint now) {
  const auto it = limits_.find(id);
  if (it == limits_.end() || !started_ms) return;
  Limit& limit = it->second;
  const bool has_restarted =
      limit.started_ms && *limit.started_ms < *started_ms;
  if (!limit.started_ms) limit.started_ms = started_ms;
  if (!has_restarted) return;
  limit = {.as_of = now, .changed_at = now, .started_ms = started_ms};
}

bool BackendRateLimits::OnStated(const InstanceId& id,
                                 const StatedLimit& stated,
                                 std::optional<std::int64_t> started_ms,
                                 TimePoint sent, TimePoint now) {
  switch (stated.kind) {
    case StatedLimit::Kind::kUnreadable:
      return false;
    case StatedLimit::Kind::kLimited:
      return Apply(id, stated.requests_per_s, now, started_ms, now);
    case StatedLimit::Kind::kNone:
      // Nothing can end that isn't known.
      return limits_.contains(id) &&
             Apply(id, std::nullopt, sent, started_ms, now);
  }
  return false;
}

// Applies a statement that held at `as_of`, unless a later one is known.
bool BackendRateLimits::Apply(const InstanceId& id,
                              std::optional<double> requests_per_s,
                              TimePoint as_of,
                              std::optional<std::int64_t> started_ms,
                              TimePoint now) {
  RemoveOld(now);
  const auto known = limits_.find(id);
  const bool is_full =
      known == limits_.end() && limits_.size() >= options_.max_backends;
  if (is_full) return false;
  Limit& limit = limits_[id];
  const bool is_other_start =
      started_ms && limit.started_ms && *started_ms != *limit.started_ms;
  if (is_other_start && *started_ms < *limit.started_ms) return false;
  if (!is_other_start && as_of <= limit.as_of) return false;
  if (requests_per_s) {
    *requests_per_s = std::min(*requests_per_s, options_.max_rate);
  }
  const bool has_changed = limit.requests_per_s != requests_per_s;
  if (has_changed) {
    Refill(limit, now);
    limit.requests_per_s = requests_per_s;
    limit.changed_at = now;
    limit.own_per_s = OwnRate(id, limit);
    Refill(limit, now);
  }
  limit.as_of = as_of;
  if (started_ms) limit.started_ms = started_ms;
  return has_changed;
}

std::vector<InstanceId> BackendRateLimits::OnReports(
    const std::vector<RateLimitReport>& reports, TimePoint now) {
  std::vector<InstanceId> changed;
  for (const RateLimitReport& report : reports) {
    if (!IsUsable(report)) continue;
    // A limit may look newer by the time that the report was under way, and its
    // end older, but never the other way round.
    const Duration transit =
        report.requests_per_s ? Duration(0) : options_.max_transit;
    const TimePoint as_of =
        now - std::chrono::microseconds(report.age_us) - transit;
    if (Apply(report.backend, report.requests_per_s, as_of, report.started_ms,
              now)) {
      changed.push_back(report.backend);
    }
  }
  return changed;
}

std::vector<RateLimitReport> BackendRateLimits::Reports(bool only_news,
                                                        TimePoint now) {
  RemoveOld(now);
  std::vector<RateLimitReport> reports;
  auto next = limits_.upper_bound(last_reported_);
  for (std::size_t i = 0; i < limits_.size(); ++i, ++next) {
    if (next == limits_.end()) next = limits_.begin();
    const auto& [id, limit] = *next;
    if (only_news && now - limit.changed_at > options_.news_time) continue;
    if (reports.size() >= options_.max_reports) break;
    reports.push_back({.backend = id,
                       .requests_per_s = limit.requests_per_s,
                       .age_us = ToMicros(now - limit.as_of),
                       .started_ms = limit.started_ms});
    last_reported_ = id;
  }
  return reports;
}

bool BackendRateLimits::MaySend(const InstanceId& id, TimePoint now) {
  const Limit* limit = FindLimit(id, now);
  return limit == nullptr || limit->tokens >= kOneToken;
}

void BackendRateLimits::OnSent(const InstanceId& id, TimePoint now) {
  Limit* limit = FindLimit(id, now);
  if (limit != nullptr) limit->tokens -= 1;
}

std::optional<BackendRateLimits::State> BackendRateLimits::Find(
    const InstanceId& id, TimePoint now) {
  const Limit* limit = FindLimit(id, now);
  if (limit == nullptr) return std::nullopt;
  return State{.requests_per_s = limit->requests_per_s.value_or(0),
               .age = now - limit->as_of,
               .own_per_s = limit->own_per_s,
               .tokens = limit->tokens};
}

std::optional<Duration> BackendRateLimits::TimeToNext(const InstanceId& id,
                                                      TimePoint now) {
  const Limit* limit = FindLimit(id, now);
  if (limit == nullptr) return Duration(0);
  if (limit->own_per_s <= 0) return std::nullopt;
  const double seconds = std::max(0.0, 1 - limit->tokens) / limit->own_per_s;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

int BackendRateLimits::limited() const {
  return static_cast<int>(std::ranges::count_if(
      limits_ | std::views::values,
      [](const Limit& limit) { return limit.requests_per_s.has_value(); }));
}

BackendRateLimits::Limit* BackendRateLimits::FindLimit(const InstanceId& id,
                                                       TimePoint now) {
  const auto it = limits_.find(id);
  if (it == limits_.end() || !it->second.requests_per_s) return nullptr;
  Refill(it->second, now);
  return &it->second;
}

// A bucket begins empty: what was sent before counts within the same span.
void BackendRateLimits::Refill(Limit& limit, TimePoint now) const {
  const double seconds = std::max(0.0, ToSeconds(now - limit.refilled_at));
  const double capacity =
      limit.own_per_s <= 0
          ? 0
          : std::max(1.0, limit.own_per_s * ToSeconds(options_.burst));
  limit.tokens = std::min(capacity, limit.tokens + limit.own_per_s * seconds);
  limit.refilled_at = now;
}

// This entry's share of a limit, in requests per second.
double BackendRateLimits::OwnRate(const InstanceId& id,
                                  const Limit& limit) const {
  if (!limit.requests_per_s) return 0;
  const double rate = std::max(*limit.requests_per_s, options_.min_rate);
  const double wanted = options_.min_entries + std::floor(rate);
  const double sharing = std::min<double>(entries_.entries(), wanted);
  return entries_.RankAt(id) < sharing ? rate / sharing : 0;
}

void BackendRateLimits::RemoveOld(TimePoint now) {
  std::erase_if(limits_, [&](const auto& item) {
    const Limit& limit = item.second;
    return now - std::max(limit.as_of, limit.changed_at) > options_.retention;
  });
}

}  // namespace mangohold
