// Keeps one key in the store under a lease for as long as this process lives.
#pragma once

#include <optional>
#include <string>

#include "core/clock.h"
#include "net/event_loop.h"
#include "store/store.h"

namespace mangohold {

// Belongs to the control thread. The key is this process's own, so that an
// older value under it is left over from an earlier start and is replaced.
class LeaseKeeper {
 public:
  struct Options {
    // Hears when a renewal was sent that the store then granted, if it is set.
    std::function<void(TimePoint sent)> on_renewed;
    std::string key;
    std::string value;
    Millis ttl{3'000};
    Millis renewal_interval{1'000};
  };

  LeaseKeeper(EventLoop& loop, Store& store, Options options);

  void Start();
  // Lists another value from now on.
  void SetValue(const std::string& value);
  // Takes the key away at once.
  void Release();
  // The key is gone from the store although this process lives: lists it again.
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
  // Eras that began since the start. What was asked in an earlier one counts
  // for nothing, since another process may hold a lease of the same number. The
  // store's era doesn't tell it: there is none before the first answer.
  int era_count_ = 0;
  bool is_released_ = false;
};

}  // namespace mangohold
