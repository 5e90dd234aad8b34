#include "platform/platform_feed.h"

#include <algorithm>

#include "core/log.h"
#include "core/status.h"

namespace mangohold {

PlatformFeed::PlatformFeed(EventLoop& loop, PlatformClient& client,
                           Options options, Handlers handlers,
                           Counters& counters)
    : loop_(loop),
      client_(client),
      options_(options),
      handlers_(std::move(handlers)),
      counters_(counters),
      random_(RandomSeed()) {}

void PlatformFeed::Start() {
  Watch();
  List();
}

// The first watch doesn't wait: it fetches what there is.
void PlatformFeed::Watch() {
  const TimePoint sent_at = Clock::now();
  client_.Watch(tree_.complete_through(),
                has_learnt_ ? options_.watch_wait : Duration::zero(),
                [this, sent_at](const absl::StatusOr<TreeUpdate>& update) {
                  OnUpdate(update, sent_at);
                });
}

// The answer shows the store as it was at some time after the call was sent, so
// the time of sending is what it confirms. A store that has gone back behind
// what is known confirms nothing.
void PlatformFeed::OnUpdate(const absl::StatusOr<TreeUpdate>& update,
                            TimePoint sent_at) {
  if (!update.ok()) {
    if (watch_failures_++ == 0) {
      Log(LogLevel::kWarning, "store_unreachable",
          {{"error", MessageOf(update.status())}});
    }
    loop_.After(NextRetry(watch_failures_), [this] { Watch(); });
    return;
  }
  if (watch_failures_ > 0) Log(LogLevel::kInfo, "store_reachable");
  watch_failures_ = 0;
  if (update->complete_through < tree_.complete_through()) {
    Log(LogLevel::kError, "store_went_back",
        {{"store_revision", update->complete_through.value()},
         {"known_revision", tree_.complete_through().value()}});
    loop_.After(options_.longest_retry, [this] { Watch(); });
    return;
  }
  has_learnt_ = true;
  const int rejected_before = tree_.rejected();
  const ConfigurationPtr before = tree_.configuration();
  if (tree_.Apply(*update)) {
    counters_.Count(Event::kConfigurationApplied);
    Log(LogLevel::kInfo, "configuration_in_force",
        {{"revision", tree_.complete_through().value()}});
  }
  if (tree_.rejected() > rejected_before) {
    counters_.Count(Event::kConfigurationRejected);
    Log(LogLevel::kError, "configuration_rejected",
        {{"revision", update->complete_through.value()}});
  }
  if (tree_.configuration() != before) {
    handlers_.on_configuration(tree_.configuration());
  }
  handlers_.on_confirmed(sent_at);
  Watch();
}

void PlatformFeed::List() {
  client_.Instances([this](const absl::StatusOr<std::vector<Instance>>& list) {
    if (list.ok()) {
      list_failures_ = 0;
      handlers_.on_instances(*list);
      loop_.After(options_.list_interval, [this] { List(); });
      return;
    }
    loop_.After(NextRetry(++list_failures_), [this] { List(); });
  });
}

// Full jitter: uniform below a bound that doubles with each failure.
Duration PlatformFeed::NextRetry(int failures) {
  const int doublings = std::min(failures - 1, 10);
  const Duration bound =
      std::min(options_.first_retry * (1 << doublings), options_.longest_retry);
  return bound / 10 +
         std::chrono::duration_cast<Duration>(bound * 0.9 * random_.Unit());
}

}  // namespace mangohold
