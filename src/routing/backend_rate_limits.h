// Request rates that backends state they can bear, and this entry's share of
// each. Does no I/O and reads no clock.
//
// A limit holds for what all entries together send. It may be less than one
// request per second, so it is divided among a few entries: as many as the
// limit has requests per second, and some more. They are chosen by rendezvous
// hashing, separately for each backend. Each of them has a token bucket of its
// own, so that in any span the backend gets no more than the limit allows plus
// one request for each of them.
//
// An entry learns a limit from an answer, or from another entry. A limit ends
// with an answer without one to a request that was sent after the limit had
// last been stated, because answers that were written earlier may arrive later.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "routing/entry_quota.h"
#include "routing/stated_limit.h"

namespace mangohold {

// What entries tell each other about one backend.
struct RateLimitReport {
  InstanceId backend;
  std::optional<double> requests_per_s;  // absent: the limit has ended
  std::int64_t age_us = 0;               // microseconds since then
  // Start of the backend, by its own clock; absent: unknown.
  std::optional<std::int64_t> started_ms;
};

class BackendRateLimits {
 public:
  struct Options {
    // Rate that is sent to a backend whatever it states, in requests per second
    // of all entries. Only an answer can end a limit.
    double min_rate = 0.25;
    // Higher ones are treated as this one, in requests per second.
    double max_rate = 1'000'000;
    // This many entries share a limit, and one more for each whole request per
    // second.
    int min_entries = 3;
    // Time for which an entry may save up its share; at least one request.
    Duration burst = std::chrono::milliseconds(250);
    // Longest time that a report is under way.
    Duration max_transit = std::chrono::milliseconds(200);
    // Changes are news for this long.
    Duration news_time = std::chrono::seconds(1);
    // A limit that nobody has stated for this long is forgotten. The end of one
    // is kept for as long, so that no older report revives it.
    Duration retention = std::chrono::minutes(1);
    std::size_t max_backends = 4'096;
    // Upper bound of the reports that are told at once; the others have their
    // turn next time.
    std::size_t max_reports = 256;
  };
  // What a decision is based on, for the log.
  struct State {
    double requests_per_s = 0;  // as stated
    Duration age{0};            // since it was stated
    double own_per_s = 0;       // this entry's share
    double tokens = 0;          // requests that this entry may send at once
  };

  explicit BackendRateLimits(Options options) : options_(options) {}

  // Sets the entries among which limits are divided.
  void SetEntries(const EntryQuota& entries, TimePoint now);
  // The store lists the backend with this start time. A later start than the
  // one that stated the limit ends it.
  void OnListed(const InstanceId& id, std::optional<std::int64_t> started_ms,
                TimePoint now);
  // The head of an answer to a request that was sent at `sent` states this.
  // `started_ms` is the backend's start time as listed. Returns true if the
  // limit has changed.
  bool OnStated(const InstanceId& id, const StatedLimit& stated,
                std::optional<std::int64_t> started_ms, TimePoint sent,
                TimePoint now);
  // Returns the backends whose limit has changed.
  std::vector<InstanceId> OnReports(const std::vector<RateLimitReport>& reports,
                                    TimePoint now);
  // What other entries have to know: all limits, or those that changed lately.
  std::vector<RateLimitReport> Reports(bool only_news, TimePoint now);

  // True if this entry may send the backend one more request.
  bool MaySend(const InstanceId& id, TimePoint now);
  void OnSent(const InstanceId& id, TimePoint now);
  // The limit in force; absent: none.
  std::optional<State> Find(const InstanceId& id, TimePoint now);
  // Time until this entry may send the backend a request; absent if it has no
  // share of the limit.
  std::optional<Duration> TimeToNext(const InstanceId& id, TimePoint now);
  // Number of backends with a limit.
  int limited() const;

 private:
  struct Limit {
    std::optional<double> requests_per_s;  // absent: ended
    TimePoint as_of;
    TimePoint changed_at;
    std::optional<std::int64_t> started_ms;
    double own_per_s = 0;
    double tokens = 0;
    TimePoint refilled_at;
  };

  bool Apply(const InstanceId& id, std::optional<double> requests_per_s,
             TimePoint as_of, std::optional<std::int64_t> started_ms,
             TimePoint now);
  // The limit in force, with the tokens of `now`, or null.
  Limit* FindLimit(const InstanceId& id, TimePoint now);
  void Refill(Limit& limit, TimePoint now) const;
  double OwnRate(const InstanceId& id, const Limit& limit) const;
  void RemoveOld(TimePoint now);

  Options options_;
  EntryQuota entries_;
  std::map<InstanceId, Limit> limits_;
  InstanceId last_reported_;  // after which the next reports begin
};

}  // namespace mangohold
