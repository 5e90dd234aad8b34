// What backend servers have said of themselves in answers to this entry: that
// they are leaving, or that they want to be left alone for a time. It binds
// this entry whatever the store lists, through outages and stale views. No
// clock and no network.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "core/clock.h"
#include "core/ids.h"

namespace mangohold {

class BackendNotices {
 public:
  // Its answer said that it is leaving; `started_ms` is of its listing by then.
  // True if that is news.
  bool OnLeaving(const InstanceId& id, std::optional<std::int64_t> started_ms,
                 TimePoint now);
  // It refused a request and wants no other one for `quiet`, of which an hour
  // counts at the most.
  void OnBackoff(const InstanceId& id, Millis backoff, TimePoint now);
  // It is listed, as started at `started_ms` by its own clock where that is
  // known. A later start under the same id hasn't said anything yet; an earlier
  // one says nothing any more.
  void OnListed(const InstanceId& id, std::optional<std::int64_t> started_ms);

  // True if it may be sent to.
  bool IsAvailable(const InstanceId& id, TimePoint now) const;
  bool IsLeaving(const InstanceId& id) const;
  // When its answer first said that it is leaving; nothing if none did.
  std::optional<TimePoint> LeavingSince(const InstanceId& id) const;
  // The end of its quiet time; the past if it didn't ask for one.
  TimePoint BackoffUntil(const InstanceId& id) const;

 private:
  struct Notice {
    std::optional<TimePoint> leaving_since;
    TimePoint backoff_until;
    std::optional<std::int64_t> started_ms;
    TimePoint updated;  // the last word
  };

  Notice& UpdateNotice(const InstanceId& id, TimePoint now);

  std::map<InstanceId, Notice> notices_;
};

}  // namespace mangohold
