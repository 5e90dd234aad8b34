// Detects backends that are stuck, as opposed to slow. Covers the failure in
// which one machine of a group freezes for seconds: requests sent there wait
// while the other ranks make progress, and run when the machine recovers, after
// their callers have left.
//
// A backend is stuck if it shows no activity for a while in which others of its
// group do. A stream that has started is compared with the events of other
// backends. A request whose response hasn't started may only be queued, so it
// is compared with responses to requests that other backends received later. A
// group that is slow or silent as a whole is never reported. Does no I/O and
// reads no clock.
#pragma once

#include <deque>
#include <map>
#include <optional>

#include "core/clock.h"
#include "core/ids.h"

namespace mangohold {

// Covers the backends of one group.
class StuckDetector {
 public:
  struct Attempt {
    InstanceId backend;
    TimePoint sent;
    // Time of the latest event; absent: the response hasn't started.
    std::optional<TimePoint> last_event;
  };

  // The response to a request that was sent at `sent` has started.
  void OnResponseStarted(const InstanceId& backend, TimePoint sent,
                         TimePoint now);
  // A stream delivered an event other than its first one.
  void OnEvent(const InstanceId& backend, TimePoint now);
  // An attempt at the backend was abandoned because it is stuck.
  void OnAbandoned(const InstanceId& backend, TimePoint now);

  // True if the attempt should be moved to another backend.
  bool IsStuck(const Attempt& attempt, TimePoint now) const;
  // True if the backend has shown no activity since an attempt there was
  // abandoned. Such a backend should get one request at a time.
  bool IsSuspect(const InstanceId& backend) const;
  void Forget(const InstanceId& backend) { activity_.erase(backend); }

 private:
  struct Activity {
    std::optional<TimePoint> last_seen;  // latest activity of any kind
    std::optional<TimePoint> abandoned;  // if later than `last_seen`
  };
  struct ResponseStart {
    InstanceId backend;
    TimePoint sent;
  };

  bool AreOthersActive(const InstanceId& backend, TimePoint now) const;
  bool HaveLaterRequestsStarted(const Attempt& attempt, TimePoint now) const;

  std::map<InstanceId, Activity> activity_;
  std::deque<ResponseStart> recent_starts_;
  double mean_wait_seconds_ = 0;  // until a response starts, smoothed
};

}  // namespace mangohold
