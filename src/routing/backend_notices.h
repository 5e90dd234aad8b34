// Notices that backends attach to their responses: that they are leaving
// (shutting down), or that they want no requests for some time (backoff). This
// entry obeys a notice whatever the store lists, also while the store is down
// or its view is stale. Does no I/O and reads no clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "core/clock.h"
#include "core/ids.h"

namespace mangohold {

// A backend's id may be reused after a restart. The backend's start time
// (`started_ms`, by its own clock; absent: unknown) tells the two starts apart.
class BackendNotices {
 public:
  // A response said that the backend is leaving. `started_ms` is the start time
  // in the backend's current record. Returns true if this was not known yet.
  bool OnLeaving(const InstanceId& id, std::optional<std::int64_t> started_ms,
                 TimePoint now);
  // The backend refused a request and wants no others for `backoff`, of which
  // at most one hour is honored.
  void OnBackoff(const InstanceId& id, Millis backoff, TimePoint now);
  // The store lists the backend with this start time. A start later than the
  // one that sent the notices discards them; an earlier one, which may come
  // from a delayed heartbeat, has no effect.
  void OnListed(const InstanceId& id, std::optional<std::int64_t> started_ms);

  // True if the backend is neither leaving nor in backoff.
  bool IsAvailable(const InstanceId& id, TimePoint now) const;
  bool IsLeaving(const InstanceId& id) const;
  // When a response first said that the backend is leaving; absent: none has.
  std::optional<TimePoint> LeavingSince(const InstanceId& id) const;
  // End of the backend's backoff; a time in the past if it requested none.
  TimePoint BackoffUntil(const InstanceId& id) const;

 private:
  struct Notice {
    std::optional<TimePoint> leaving_since;
    TimePoint backoff_until;
    std::optional<std::int64_t> started_ms;
    TimePoint updated;  // time of the latest notice
  };

  // Returns the backend's notice, created if needed, and marks it as updated.
  // Drops expired notices.
  Notice& UpdateNotice(const InstanceId& id, TimePoint now);

  std::map<InstanceId, Notice> notices_;
};

}  // namespace mangohold
