// Keeps one key in the store under a lease while this process runs.
#pragma once

#include <optional>
#include <string>

#include "core/clock.h"
#include "net/event_loop.h"
#include "store/store.h"

namespace mangohold {

// Runs on the control thread. No other process writes the key, so an existing
// value is left over from an earlier start of this process and is replaced.
class LeaseKeeper {
 public:
  struct Options {
    // Called after the store has granted a renewal, with the time when the
    // request was sent; may be empty.
    std::function<void(TimePoint sent)> on_renewed;
    std::string key;
    std::string value;
    Millis ttl{3'000};
    Millis renewal_interval{1'000};
  };

  LeaseKeeper(EventLoop& loop, Store& store, Options options);

  void Start();
  // Replaces the value of the key.
  void SetValue(const std::string& value);
  // Revokes the lease, which deletes the key at once. The key isn't written
  // again.
  void Release();
  // Writes the key again under a new lease. Call it when the key has
  // disappeared from the store although this process is running.
  void OnMissing();

 private:
  void Renew();
  void Grant();
  void Write(LeaseId lease, std::optional<Revision> expected);
  void OnNewEra();

  EventLoop& loop_;
  Store& store_;
  Options options_;
  std::optional<LeaseId> lease_;
  bool is_granting_ = false;
  // Number of store eras that began since the start. Answers to requests of an
  // earlier era are ignored, since the lease number may belong to another
  // process by now. Store::era() doesn't serve for this: it is unknown before
  // the first answer.
  int era_count_ = 0;
  bool is_released_ = false;
};

}  // namespace mangohold
