#include "routing/deadline_check.h"

namespace mangohold {
namespace {

// Fraction of the time until its start deadline that the expected wait of a new
// request may take.
constexpr double kMaxInitialWaitFraction = 0.75;
// Fraction of a stream's expected duration that it is assumed to take at least.
constexpr double kMinDurationFraction = 0.8;

}  // namespace

// A stream that can't complete in time would only take the slot of a shorter
// one that can. The estimate uses the recent time between events. While that is
// unknown, all streams are admitted, and their events provide it.
bool CanFinishInTime(const DispatchQuery& query, const BackendTable& table,
                     TimePoint now) {
  if (query.expected_events <= 0) return true;
  const double needed =
      query.expected_events * table.MinEventGap(query.service, now);
  return needed * kMinDurationFraction <= ToSeconds(query.deadline - now);
}

// By the caller's deadline if that comes sooner; else by the expected events of
// a stream, or by the time that slow requests of the service took. Where
// neither is known, only a request that may run again elsewhere is sent.
bool CanFinishBeforeLeaving(const DispatchQuery& query,
                            const BackendTable& table,
                            const std::optional<LeaveTimes>& leave,
                            TimePoint now) {
  if (!leave || query.deadline <= leave->end) return true;
  const double left = ToSeconds(leave->end - now);
  const double events =
      query.expected_events * table.MinEventGap(query.service, now);
  if (events > 0) return events <= left;
  const auto slow = table.SlowServiceTime(query.service);
  return slow ? ToSeconds(*slow) <= left : query.is_repeatable;
}

// A response that has begun can't be refused any more.
bool HasStoppedWaiting(const DispatchQuery& query,
                       const std::optional<LeaveTimes>& leave, TimePoint now) {
  return leave && now >= leave->wait_until && !query.has_begun;
}

// A new request must have time to spare, so that few requests are refused after
// they have waited. No margin is required while all groups are closed, because
// the estimate of when one opens is too uncertain.
bool CanStartInTime(const WaitingAttempt& attempt, Duration wait,
                    const BackendTable& table, TimePoint now) {
  const double expected = ToSeconds(wait);
  const double left = ToSeconds(attempt.query.start_deadline - now);
  const bool needs_margin =
      attempt.is_new && !table.GroupWait(attempt.query.service, now);
  return expected <= left * (needs_margin ? kMaxInitialWaitFraction : 1.0);
}

}  // namespace mangohold
