// Keeps a replica of the whole store in step and tells how fresh it is.
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

// Belongs to the control thread.
class StoreFollower {
 public:
  struct Handlers {
    // The keys that changed, once the replica holds the changes.
    std::function<void(const std::vector<std::string>& keys)> on_changed;
    // Every change acknowledged before `as_of` (by the scheduler's time) is
    // known.
    std::function<void(TimePoint as_of)> on_confirmed;
  };
  struct Options {
    Millis watch_wait{2'000};
    // The same while others follow the store through this process.
    Millis serving_watch_wait{1'000};
    // Others are told nothing when this process was last told all changes
    // longer ago, or when its calls to the store have failed for so long: what
    // they learn late through it they would learn in time elsewhere.
    Duration max_served_age = std::chrono::milliseconds(2'000);
    Duration max_served_failure = std::chrono::milliseconds(400);
    // After events the next watch waits for this long, so that changes that
    // come in quick succession cost one call.
    Millis batch_delay{200};
    Millis initial_retry{100};
    Millis max_retry{400};
    // The same where only this process depends on it, as others are there to be
    // asked: in an outage, calls would grow with the fleet.
    Millis max_fallback_retry{1'000};
    // Keys that others of this system write for themselves: they are neither
    // reported nor passed on.
    std::vector<std::string> ignored_prefixes;
    // Clocks of different machines run apart by at most this part of a time.
    double max_clock_drift = 0.01;
  };

  StoreFollower(Scheduler& scheduler, Store& store, Options options,
                Handlers handlers);

  // From now on changes are asked for there where possible. It outlives this
  // object.
  void SetRelay(ChangeRelay& relay) { relay_ = &relay; }
  void Start();
  // The changes after `after` and how fresh they are, for others; nothing if
  // some were forgotten, or if this process may be behind.
  std::optional<RelayedEvents> EventsSince(Revision after) const;
  const StoreReplica& replica() const { return replica_; }
  // Every change acknowledged before is known.
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
  bool is_next_watch_short_ = true;  // the next one
  TimePoint confirmed_as_of_;
  Millis retry_;
  // Since when neither the store nor a watcher tells anything.
  std::optional<TimePoint> failing_since_ = TimePoint();
};

}  // namespace mangohold
