// Reduces the calls to the store in a large fleet. In each zone one live entry,
// the watcher, follows the store, and the other entries of the zone poll it for
// changes, so that the calls grow with the number of zones. A second entry, the
// standby, follows through the watcher and serves the others if the watcher
// fails. An entry that can't reach either of them, or finds them behind the
// store, asks the store itself.
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

// Selects the watcher to poll. Does no I/O and reads no clock.
class WatcherSelector {
 public:
  struct Options {
    Member self;
    // In fleets of up to this size, every entry follows the store itself.
    int max_direct_followers = 12;
    // A watcher that failed or was behind isn't polled for this long.
    Duration failure_backoff = std::chrono::seconds(3);
  };

  explicit WatcherSelector(Options options) : options_(std::move(options)) {}

  // Sets the live peers.
  void SetAlive(const std::vector<Member>& alive);
  // True if this entry is the watcher of its zone.
  bool IsWatcher() const { return is_watcher_; }
  // True if it serves other entries, as watcher or standby.
  bool IsServing() const { return is_watcher_ || is_standby_; }
  // True if there are watchers for this entry to poll, whether or not they
  // respond.
  bool HasWatchers() const { return !watchers_.empty(); }
  // The watcher to poll; absent: the store has to be asked.
  std::optional<Member> Select(TimePoint now) const;
  void OnFailed(const InstanceId& watcher, TimePoint now);

 private:
  Options options_;
  bool is_watcher_ = false;
  bool is_standby_ = false;
  // Watchers to poll, in order: the watcher of the zone, then the standby.
  std::vector<Member> watchers_;
  std::map<InstanceId, TimePoint> avoided_until_;
};

// Polls watchers, and serves the polls of other entries. Runs on the control
// thread.
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

  // The watcher that was polled last; empty: the store was asked.
  const InstanceId& source() const { return source_watcher_; }

  // Handles a poll of another entry.
  void OnPollRequest(const HttpRequest& request,
                     const std::shared_ptr<HttpExchange>& exchange);
  // Answers the polls that have changes to return or have reached their maximum
  // wait. Call it after changes and periodically.
  void AnswerDue() { long_polls_.AnswerDue(BootNow()); }

  static constexpr char kPath[] = "/changes";

 private:
  void LogSource(const InstanceId& watcher);

  HttpClient& http_;
  Millis poll_timeout_;  // of polls that this entry sends
  WatcherSelector selector_;
  LongPollQueue long_polls_;
  InstanceId source_watcher_;
};

}  // namespace mangohold
