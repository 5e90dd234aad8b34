// Tells a backend server that stands still from one that is slow. Answers the
// pattern in which one machine of a group stops for seconds: what was sent
// there waits, although the other ranks go on, and is run when the machine is
// back, after its callers have left.
//
// One that stands still gives no sign for a while in which others of its group
// do. A stream that has begun shows that by the events of others; a request
// whose answer hasn't begun by the answers of others that were sent later,
// since it may only be waiting its turn. A group that is slow or silent as a
// whole stands out in neither. No clock and no network.
#pragma once

#include <deque>
#include <map>
#include <optional>

#include "core/clock.h"
#include "core/ids.h"

namespace mangohold {

// Of the backend servers of one group.
class StuckDetector {
 public:
  struct Attempt {
    InstanceId backend;
    TimePoint sent;
    std::optional<TimePoint> last_event;  // absent: the answer hasn't begun
  };

  // The answer to a request of `sent` has begun.
  void OnResponseStarted(const InstanceId& backend, TimePoint sent,
                         TimePoint now);
  // A stream brought an event after its first one.
  void OnEvent(const InstanceId& backend, TimePoint now);
  // An attempt was taken away from a backend server that stands still.
  void OnAbandoned(const InstanceId& backend, TimePoint now);

  // True if the attempt is to be taken elsewhere.
  bool IsStuck(const Attempt& attempt, TimePoint now) const;
  // True if one that stood still hasn't given a sign since: it is tried by one
  // request at a time.
  bool IsSuspect(const InstanceId& backend) const;
  void Forget(const InstanceId& backend) { activity_.erase(backend); }

 private:
  struct Activity {
    std::optional<TimePoint> last_seen;  // the last sign of any kind
    std::optional<TimePoint> abandoned;  // it was left since then
  };
  struct ResponseStart {
    InstanceId backend;
    TimePoint sent;
  };

  bool AreOthersActive(const InstanceId& backend, TimePoint now) const;
  bool HaveLaterRequestsStarted(const Attempt& attempt, TimePoint now) const;

  std::map<InstanceId, Activity> activity_;
  std::deque<ResponseStart> recent_starts_;  // the latest ones
  double mean_wait_seconds_ = 0;  // for an answer's beginning, smoothed
};

}  // namespace mangohold
