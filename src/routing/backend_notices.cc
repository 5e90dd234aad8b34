#include "routing/backend_notices.h"

#include <algorithm>
#include <utility>

namespace mangohold {
namespace {

// Age at which a notice expires. A leaving backend has exited long before, and
// its id isn't reused after that long.
constexpr std::chrono::hours kNoticeTtl(2);
// A longer backoff is treated as a mistake, because it would exclude the
// backend permanently.
constexpr Millis kMaxBackoff = std::chrono::hours(1);

}  // namespace

BackendNotices::Notice& BackendNotices::UpdateNotice(const InstanceId& id,
                                                     TimePoint now) {
  std::erase_if(notices_, [now](const auto& item) {
    return now - item.second.updated > kNoticeTtl;
  });
  Notice& notice = notices_[id];
  notice.updated = now;
  return notice;
}

bool BackendNotices::OnLeaving(const InstanceId& id,
                               std::optional<std::int64_t> started_ms,
                               TimePoint now) {
  Notice& notice = UpdateNotice(id, now);
  if (!notice.started_ms) notice.started_ms = started_ms;
  if (notice.leaving_since) return false;
  notice.leaving_since = now;
  return true;
}

void BackendNotices::OnBackoff(const InstanceId& id, Millis backoff,
                               TimePoint now) {
  Notice& notice = UpdateNotice(id, now);
  notice.backoff_until =
      std::max(notice.backoff_until, now + std::min(backoff, kMaxBackoff));
}

void BackendNotices::OnListed(const InstanceId& id,
                              std::optional<std::int64_t> started_ms) {
  const auto it = notices_.find(id);
  if (it == notices_.end() || !started_ms) return;
  Notice& notice = it->second;
  if (!notice.started_ms) {
    notice.started_ms = started_ms;
  } else if (*notice.started_ms < *started_ms) {
    notices_.erase(it);
  }
}

bool BackendNotices::IsAvailable(const InstanceId& id, TimePoint now) const {
  return !IsLeaving(id) && BackoffUntil(id) <= now;
}

bool BackendNotices::IsLeaving(const InstanceId& id) const {
  return LeavingSince(id).has_value();
}

std::optional<TimePoint> BackendNotices::LeavingSince(
    const InstanceId& id) const {
  const auto it = notices_.find(id);
  return it == notices_.end() ? std::nullopt : it->second.leaving_since;
}

TimePoint BackendNotices::BackoffUntil(const InstanceId& id) const {
  const auto it = notices_.find(id);
  return it == notices_.end() ? TimePoint() : it->second.backoff_until;
}

}  // namespace mangohold
