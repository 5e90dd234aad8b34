// Who follows the store in a large fleet: one entry of each zone, drawn among
// those that are alive. The others ask it for changes, so that the calls to the
// store grow with the zones. A second one follows through the first and stands
// by for the others. An entry that can't reach these two, or finds them behind,
// asks the store itself.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "net/http_client.h"
#include "net/http_message.h"
#include "net/http_server.h"
#include "peer/long_poll_queue.h"
#include "store/change_relay.h"
#include "store/member.h"

namespace mangohold {

// The choice of whom to ask. No clock and no network.
class WatcherSelector {
 public:
  struct Options {
    Member self;
    // Up to this many entries each follow the store themselves.
    int max_direct_followers = 12;
    // A watcher that failed, or was found behind, isn't asked for this long.
    Duration failure_backoff = std::chrono::seconds(3);
  };

  explicit WatcherSelector(Options options) : options_(std::move(options)) {}

  // The peers that are alive.
  void SetAlive(const std::vector<Member>& alive);
  // True if this entry follows the store for others.
  bool IsWatcher() const { return is_watcher_; }
  // True if it answers others, as the watcher or standing by.
  bool IsServing() const { return is_watcher_ || is_standby_; }
  // True if this entry follows the store through others, where they can tell.
  bool HasWatchers() const { return !watchers_.empty(); }
  // The watcher to ask; nothing if the store is to be asked.
  std::optional<Member> Select(TimePoint now) const;
  void OnFailed(const InstanceId& watcher, TimePoint now);

 private:
  Options options_;
  bool is_watcher_ = false;
  bool is_standby_ = false;
  // Those to ask, in order: the zone's watcher and the one that stands by.
  std::vector<Member> watchers_;
  std::map<InstanceId, TimePoint> avoided_until_;
};

// Asks watchers, and answers as one. Belongs to the control thread.
class ZoneWatchers : public ChangeRelay {
 public:
  struct Options {
    WatcherSelector::Options selector;
    LongPollQueue::Options long_polls;
  };

  ZoneWatchers(HttpClient& http, const Options& options,
               LongPollQueue::Source source);

  void SetAlive(const std::vector<Member>& alive) { selector_.SetAlive(alive); }

  bool Watch(Revision after, OnEvents on_events) override;
  bool HasSources() const override { return selector_.HasWatchers(); }
  bool IsServing() const override { return selector_.IsServing(); }

  // The watcher that was asked last; empty: the store itself.
  const InstanceId& source() const { return source_watcher_; }

  // Takes a question of another entry.
  void OnPollRequest(const HttpRequest& request,
                     const std::shared_ptr<HttpExchange>& exchange);
  // Answers those that something is there for, or that were held long enough.
  // Call it after changes and from time to time.
  void AnswerDue() { long_polls_.AnswerDue(BootNow()); }

  static constexpr char kPath[] = "/changes";

 private:
  void LogSource(const InstanceId& watcher);

  HttpClient& http_;
  Millis poll_timeout_;  // with a question of this entry
  WatcherSelector selector_;
  LongPollQueue long_polls_;
  InstanceId source_watcher_;
};

}  // namespace mangohold
