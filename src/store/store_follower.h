// Keeps a replica of the whole store in step and tells how fresh it is.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "net/event_loop.h"
#include "store/store.h"
#include "store/store_replica.h"

namespace mangohold {

// Belongs to the control thread.
class StoreFollower {
 public:
  struct Handlers {
    // The keys that changed, once the replica holds the changes.
    std::function<void(const std::vector<std::string>& keys)> on_changed;
    // Every change acknowledged before `as_of` (by `BootNow`) is known.
    std::function<void(TimePoint as_of)> on_confirmed;
    // The store stopped or began again to answer.
    std::function<void(bool is_answering)> on_contact;
  };
  struct Options {
    Millis watch_wait{2'000};
    // After events the next watch waits for this long, so that changes that
    // come in quick succession cost one call.
    Millis batch{200};
    Millis first_retry{100};
    Millis longest_retry{400};
  };

  StoreFollower(EventLoop& loop, Store& store, Options options,
                Handlers handlers);

  void Start();
  const StoreReplica& replica() const { return replica_; }
  bool is_answering() const { return is_answering_; }
  // When the store last began to answer again after it had failed to, by
  // `BootNow`.
  TimePoint answering_since() const { return answering_since_; }

 private:
  void List();
  void OnPage(const absl::StatusOr<StorePage>& page);
  void Watch();
  void OnEvents(const absl::StatusOr<StoreEvents>& events, TimePoint sent);
  void OnAnswer();
  void OnFailure(const absl::Status& status);
  void Report(const std::vector<std::string>& keys);

  EventLoop& loop_;
  Store& store_;
  Options options_;
  Handlers handlers_;
  StoreReplica replica_;
  TimePoint listing_began_;
  Millis retry_;
  bool is_answering_ = false;
  TimePoint answering_since_;
};

}  // namespace mangohold
