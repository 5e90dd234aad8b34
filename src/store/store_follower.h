// Keeps a replica of the whole store up to date and tracks how fresh it is.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/scheduler.h"
#include "store/change_log.h"
#include "store/change_relay.h"
#include "store/store.h"
#include "store/store_replica.h"

namespace mangohold {

// Runs on the control thread.
class StoreFollower {
 public:
  struct Handlers {
    // Called with the keys that changed, after the replica has been updated.
    std::function<void(const std::vector<std::string>& keys)> on_changed;
    // Called when the replica is known to include every change that the store
    // acknowledged before `as_of` (time of the scheduler).
    std::function<void(TimePoint as_of)> on_confirmed;
  };
  struct Options {
    Millis watch_wait{2'000};
    // The same while other entries follow the store through this one.
    Millis serving_watch_wait{1'000};
    // Limits for serving others: the time since the replica was last known to
    // be up to date, and the time for which calls to the store have failed.
    // Beyond either, EventsSince() returns nothing: others get changes sooner
    // from another source.
    Duration max_served_age = std::chrono::milliseconds(2'000);
    Duration max_served_failure = std::chrono::milliseconds(400);
    // Delay of the next watch after an answer with events, so that changes in
    // quick succession cost one call.
    Millis batch_delay{200};
    Millis initial_retry{100};
    Millis max_retry{400};
    // The greatest retry delay if other sources exist and no other entry
    // follows the store through this one. It is longer because in an outage
    // such calls would grow with the size of the fleet.
    Millis max_fallback_retry{1'000};
    // Prefixes of keys that other components of this system write for their own
    // use; watches neither report them nor pass them on.
    std::vector<std::string> ignored_prefixes;
    // Upper bound on the relative drift between the clocks of two machines.
    double max_clock_drift = 0.01;
  };

  StoreFollower(Scheduler& scheduler, Store& store, Options options,
                Handlers handlers);

  // From now on requests changes from `relay` where possible. `relay` must
  // outlive this object.
  void SetRelay(ChangeRelay& relay) { relay_ = &relay; }
  void Start();
  // Returns the changes after `after` and their age, to be sent to another
  // entry. Returns nothing if the log no longer has all of them, or if this
  // process may be behind the store.
  std::optional<RelayedEvents> EventsSince(Revision after) const;
  const StoreReplica& replica() const { return replica_; }
  // The replica includes every change acknowledged before this time.
  TimePoint confirmed_as_of() const { return confirmed_as_of_; }

 private:
  void List(Freshness freshness);
  void OnPage(const absl::StatusOr<StorePage>& page);
  void Watch();
  void WatchStore();
  void OnRelayed(const absl::StatusOr<RelayedEvents>& relayed, TimePoint sent);
  void Confirm(TimePoint as_of);
  void OnEvents(const absl::StatusOr<StoreEvents>& events, TimePoint sent,
                Millis wait);
  bool IsBehind() const;
  Millis MaxRetry() const;
  void OnAnswer();
  void OnFailure(const absl::Status& status);
  StoreEvents WithoutIgnored(const StoreEvents& events) const;
  void NotifyChanged(const std::vector<std::string>& keys);

  Scheduler& scheduler_;
  Store& store_;
  Options options_;
  Handlers handlers_;
  StoreReplica replica_;
  ChangeLog change_log_;
  ChangeRelay* relay_ = nullptr;
  Freshness listing_freshness_ = Freshness::kMayBeStale;
  TimePoint listing_start_;
  bool is_next_watch_short_ = true;
  TimePoint confirmed_as_of_;
  Millis retry_;
  // Since when calls to the store have failed without an answer from the store
  // or from another entry; absent: the last call succeeded.
  std::optional<TimePoint> failing_since_ = TimePoint();
};

}  // namespace mangohold
