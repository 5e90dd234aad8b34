// Keeps a process supplied with what the platform holds: the settings tree, its
// confirmation, and the list of instances.
#pragma once

#include <functional>
#include <vector>

#include "config/tree.h"
#include "core/clock.h"
#include "core/random.h"
#include "net/event_loop.h"
#include "platform/platform_client.h"

namespace mangohold {

// Runs on the control thread. Failed calls are repeated after a random delay
// that grows up to a bound, so that a fleet doesn't return to a store that
// comes back all at once.
class PlatformFeed {
 public:
  struct Options {
    Duration watch_wait = std::chrono::milliseconds(1'000);
    Duration list_interval = std::chrono::milliseconds(1'000);
    Duration first_retry = std::chrono::milliseconds(100);
    Duration longest_retry = std::chrono::milliseconds(2'000);
  };
  struct Handlers {
    std::function<void(ConfigurationPtr)> on_configuration;
    // The configuration was the newest at `as_of`.
    std::function<void(TimePoint as_of)> on_confirmed;
    std::function<void(const std::vector<Instance>&)> on_instances;
  };

  PlatformFeed(EventLoop& loop, PlatformClient& client, Options options,
               Handlers handlers, Counters& counters);

  void Start();
  const ConfigTree& tree() const { return tree_; }

 private:
  void Watch();
  void OnUpdate(const absl::StatusOr<TreeUpdate>& update, TimePoint sent_at);
  void List();
  Duration NextRetry(int failures);

  EventLoop& loop_;
  PlatformClient& client_;
  Options options_;
  Handlers handlers_;
  Counters& counters_;
  ConfigTree tree_;
  bool has_learnt_ = false;  // a first answer has arrived
  Random random_;
  int watch_failures_ = 0;
  int list_failures_ = 0;
};

}  // namespace mangohold
