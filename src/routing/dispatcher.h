// Load balancing and admission control for requests that an entry sends to
// backends directly: which request waits, which is refused and which backend
// gets it. Does no I/O and reads no clock: it takes events and the time, and
// returns decisions.
//
// A backend runs as many requests at once as it has slots and queues a few
// more. Entries share the backends without a coordinator: each knows what it
// has sent itself, and its peers report what they have sent. While an eligible
// backend has a free slot, a request is sent at once. Otherwise it waits here,
// in the order of priority, and is refused as soon as its turn is not expected
// to come in time.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "config/deployment.h"
#include "core/clock.h"
#include "core/ids.h"
#include "core/random.h"
#include "routing/backend_notices.h"
#include "routing/backend_rate_limits.h"
#include "routing/backend_table.h"
#include "routing/deadline_check.h"
#include "routing/dispatch_query.h"
#include "routing/ejection.h"
#include "routing/group_gate.h"
#include "routing/pass_limit.h"
#include "routing/priority_reserve.h"
#include "routing/prompt_cache.h"
#include "routing/stated_limit.h"
#include "routing/tracked_backend.h"
#include "routing/waiting_queue.h"
#include "store/backend_record.h"

namespace mangohold {

class Dispatcher {
 public:
  struct Options {
    ZoneName zone;  // this entry's own
    std::uint64_t seed = 1;
    // All entries together may send a backend `cold_overrun` times its cold
    // rate plus `cold_slack` requests per second.
    double cold_overrun = 1.0;
    double cold_slack = 0;
    // Age at which a peer's report expires.
    Duration peer_share_ttl = std::chrono::milliseconds(1'500);
    BackendRateLimits::Options limits;
    Ejection::Options ejection;
    GroupGate::Options gate;
    PassLimit::Options pass_limit;
    PriorityReserve::Options priority_reserve;
    PromptCache::Options prompt_cache;
    // Maximum fraction of a service's backends that are ejected at a time.
    double max_ejected_fraction = 0.5;
    // Cost added to backends in other zones, in requests.
    double zone_penalty = 0.25;
    // Up to this number of entries, each sends to the least loaded backend.
    // With more of them, peers' reports are too old for that: all entries would
    // choose the backend that was least loaded a while ago. They draw at random
    // by free capacity instead.
    int max_least_loaded_entries = 12;
  };
  using Query = DispatchQuery;
  using Decision = DispatchDecision;
  enum class Result {
    kServed,
    kRejected,       // the backend said that it did not run the request
    kAddressReused,  // another backend answers at the address
    kUnreachable,    // no connection
    kFailed,         // the connection broke, or the backend reported an error
    kRequestFault,   // failed, as the request did at another backend before
    kStuck,          // the backend is stuck while others of its group are not
    kCancelled       // the caller disconnected
  };

  explicit Dispatcher(Options options);

  // Sets the listed backends. Keeps the state of those that were listed before.
  void SetBackends(const std::vector<BackendRecord>& backends,
                   TimePoint now = TimePoint());
  void SetServices(const std::vector<ServiceSpec>& services);
  // Sets the entries that may be sending; `self` may be among them or not.
  void SetEntries(const InstanceId& self,
                  const std::vector<InstanceId>& entries,
                  TimePoint now = TimePoint());
  // Replaces the peer's earlier report.
  void OnPeerShares(const InstanceId& peer,
                    const std::vector<BackendShare>& shares, TimePoint now);

  // This entry leaves. From now on an attempt is sent only if it is expected to
  // end before `end`, and none waits for a backend after `wait_until`. The
  // others are refused at once, so that callers can try other entries.
  void BeginLeaving(TimePoint wait_until, TimePoint end) {
    leaving_ = {.wait_until = wait_until, .end = end};
  }

  // Queues an attempt until `Decide` sends or refuses it.
  void Submit(Query query);
  // Removes an attempt from the queue.
  void Withdraw(AttemptNumber number);
  // Returns the attempts to send or to refuse now.
  std::vector<Decision> Decide(TimePoint now);

  // The first bytes of the response arrived, so its prefill is done.
  void OnResponseStarted(AttemptNumber number, TimePoint now);
  void OnEnded(AttemptNumber number, Result result, TimePoint now);
  // True if the attempt may still be sent to its backend, which may have left
  // since the decision.
  bool MayStillSend(AttemptNumber number, TimePoint now) const;
  // A request that this backend failed has failed at another one as well, so
  // the request is at fault.
  void OnFailedElsewhere(const InstanceId& id);
  // Notices in a response of the backend: that it is leaving, and for how long
  // it wants no further requests (absent or 0: no backoff).
  void OnNotice(const InstanceId& id, bool is_leaving,
                std::optional<Millis> backoff, TimePoint now);
  // What the head of the backend's response to a request that was sent at
  // `sent` says of the request rate that it bears.
  void OnStatedLimit(const InstanceId& id, const StatedLimit& limit,
                     TimePoint sent, TimePoint now);
  // Request limits as other entries know them, and as this one does.
  void OnLimitReports(const std::vector<RateLimitReport>& reports,
                      TimePoint now);
  std::vector<RateLimitReport> LimitReports(bool only_news, TimePoint now) {
    return limits_.Reports(only_news, now);
  }
  // The request limit of the backend; absent: none.
  std::optional<BackendRateLimits::State> LimitOf(const InstanceId& id,
                                                  TimePoint now) {
    return limits_.Find(id, now);
  }
  int limited() const { return limits_.limited(); }
  // When a response first said that the backend is leaving; absent: none has.
  std::optional<TimePoint> LeavingSince(const InstanceId& id) const {
    return notices_.LeavingSince(id);
  }
  // The attempt's stream delivered an event `gap` after its previous one.
  void OnEventGap(AttemptNumber number, Duration gap, TimePoint now);

  // True if the attempt's backend is stuck while others of its group are not.
  // `last_event` is the time of the attempt's latest event; absent: its
  // response hasn't started.
  bool IsStuck(AttemptNumber number, std::optional<TimePoint> last_event,
               TimePoint now) const;

  // Returns this entry's report for its peers.
  std::vector<BackendShare> OwnShares() const { return table_.OwnShares(); }
  // Number of connections that this entry may open to the backend; 0 if it is
  // unknown.
  int MaxConnections(const InstanceId& id) const;
  bool IsListed(const InstanceId& id) const { return table_.IsListed(id); }
  std::size_t waiting() const { return waiting_.size(); }
  int sent() const { return static_cast<int>(sent_.size()); }
  std::size_t backends() const { return table_.size(); }
  const PromptCache& prompt_cache() const { return prompt_cache_; }

 private:
  struct Sent {
    InstanceId backend;
    ServiceName service;
    GroupGate* gate = nullptr;  // through which it was sent; never null
    PrefillLoad prefill;        // none once the response has started
    TimePoint at;
  };
  enum class LimitSource { kAnswer, kPeer };

  // Sends or refuses an attempt with `ahead` others of its service before it;
  // absent if it goes on waiting.
  std::optional<Decision> DecideOn(const WaitingAttempt& attempt, int ahead,
                                   TimePoint now);
  // Refuses an attempt that no backend takes now unless its turn is expected to
  // come in time.
  std::optional<Decision> RefuseIfLate(const WaitingAttempt& attempt, int ahead,
                                       TimePoint now);
  // Returns the backend to send to, or null if none is eligible.
  TrackedBackend* Choose(const Query& query, TimePoint now);
  // Returns the place of the chosen one.
  std::optional<std::size_t> ChooseAmong(
      const std::vector<TrackedBackend*>& eligible, const Query& query,
      TimePoint now);
  PriorityReserve& ReserveOf(const ServiceName& service);
  Decision Send(const Query& query, TrackedBackend& backend, TimePoint now);
  // The attempt if it is in progress, or null.
  const Sent* FindSent(AttemptNumber number) const;
  void OnResult(TrackedBackend& backend, const Sent& sent, Result result,
                TimePoint now);
  void OnRejected(TrackedBackend& backend, const Sent& sent, TimePoint now);
  void LogLimit(const InstanceId& id, LimitSource source, TimePoint now);

  Options options_;
  Random random_;
  BackendNotices notices_;
  BackendRateLimits limits_;
  PromptCache prompt_cache_;
  BackendTable table_;
  WaitingQueue waiting_;
  std::map<ServiceName, PriorityReserve> reserves_;
  std::map<AttemptNumber, Sent> sent_;
  std::optional<LeaveTimes> leaving_;
};

}  // namespace mangohold
