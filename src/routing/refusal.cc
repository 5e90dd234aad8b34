#include "routing/refusal.h"

#include <algorithm>

namespace mangohold {
namespace {

// Bounds of the retry hint for refused callers.
constexpr Millis kMinRetryAfter{100};
constexpr Millis kMaxRetryAfter{2'000};
// Retry hint for a request whose service is too slow to finish it in time.
constexpr Millis kSlowServiceRetryAfter{1'000};
// Retry hint for a request that may be sent to no backend again.
constexpr Millis kAllTriedRetryAfter{250};

DispatchDecision Refuse(const DispatchQuery& query, Reason reason,
                        Duration wait) {
  const auto millis = std::chrono::duration_cast<Millis>(wait);
  return {.number = query.number,
          .backend = std::nullopt,
          .reason = reason,
          .retry_after = std::clamp(millis, kMinRetryAfter, kMaxRetryAfter)};
}

}  // namespace

DispatchDecision RefuseSlow(const DispatchQuery& query) {
  return Refuse(query, Reason::kDeadlineUnreachable, kSlowServiceRetryAfter);
}

DispatchDecision RefuseLeaving(const DispatchQuery& query) {
  return Refuse(query, Reason::kEntryLeaving, Duration(0));
}

DispatchDecision RefuseAllTried(const DispatchQuery& query) {
  return Refuse(query, Reason::kBackendRefused, kAllTriedRetryAfter);
}

DispatchDecision RefuseNoBackend(const DispatchQuery& query, Duration wait) {
  return Refuse(query, Reason::kNoBackend, wait);
}

DispatchDecision RefuseLate(const DispatchQuery& query, Duration wait) {
  return Refuse(query, Reason::kDeadlineUnreachable, wait);
}

DispatchDecision RefuseLimited(const DispatchQuery& query, Duration wait,
                               Random& random) {
  const auto spread =
      std::chrono::duration_cast<Duration>(wait * (1 + random.Unit()));
  return Refuse(query, Reason::kBackendLimit, spread);
}

}  // namespace mangohold
