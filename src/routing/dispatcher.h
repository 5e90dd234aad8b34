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
#include <string>
#include <unordered_map>
#include <vector>

#include "config/deployment.h"
#include "core/clock.h"
#include "core/ids.h"
#include "core/outcome.h"
#include "core/random.h"
#include "routing/backend_notices.h"
#include "routing/backend_rate_limits.h"
#include "routing/ejection.h"
#include "routing/entry_quota.h"
#include "routing/expected_wait.h"
#include "routing/group_gate.h"
#include "routing/prompt_cache.h"
#include "routing/sliding_count.h"
#include "routing/stated_limit.h"
#include "store/backend_record.h"

namespace mangohold {

// The share of a backend's load that one entry causes. Entries report theirs to
// one another.
struct BackendShare {
  InstanceId backend;
  int requests = 0;        // in progress
  int prefill_tokens = 0;  // prompt tokens of those without a response so far
};

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
  struct Query {
    AttemptNumber number;
    ServiceName service;
    int priority = 0;  // 0 is the most urgent
    WorkspaceName workspace;
    int prompt_tokens = 0;
    // Latest time at which the start of a response is still useful.
    TimePoint start_deadline;
    // Time by which the response has to be complete.
    TimePoint deadline = TimePoint::max();
    // A response that starts later misses its latency target.
    TimePoint target_start = TimePoint::max();
    // Number of events that the stream is expected to have; 0: not a stream, or
    // unknown.
    double expected_events = 0;
    // Backends that the request has tried already.
    std::vector<InstanceId> tried;
    // A repeatable (idempotent) request waits for further backends to be listed
    // once it has tried all.
    bool is_repeatable = true;
    // The caller has a part of the response; another backend is to go on.
    bool has_begun = false;
    // Zones in which the request may run; empty: any.
    std::vector<ZoneName> zones;
    // Set if the request was at a backend when it crashed: it is sent to one
    // without other such requests, so that they don't share the blame again,
    // and all its copies to the same one.
    std::optional<RequestDigest> crash_suspect;
    PromptPrefix prefix;  // empty: not stated
  };
  struct Decision {
    AttemptNumber number;
    std::optional<BackendRecord> backend;  // absent: the attempt is refused
    Reason reason = Reason::kNone;         // of a refusal
    Millis retry_after{0};                 // of a refusal
    // Tokens of the prompt that the backend is believed to have cached.
    int held_tokens = 0;
  };
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
  std::vector<BackendShare> OwnShares() const;
  // Number of connections that this entry may open to the backend; 0 if it is
  // unknown.
  int MaxConnections(const InstanceId& id) const;
  bool IsListed(const InstanceId& id) const {
    const auto it = backends_.find(id);
    return it != backends_.end() && it->second.is_listed;
  }
  std::size_t waiting() const { return waiting_.size(); }
  int sent() const { return static_cast<int>(sent_.size()); }
  std::size_t backends() const { return backends_.size(); }
  const PromptCache& prompt_cache() const { return prompt_cache_; }

 private:
  struct PeerShare {
    BackendShare share;
    TimePoint received;
  };
  struct Backend {
    BackendRecord record;
    GroupGate* gate = nullptr;  // of its group; never null once listed
    // A backend that is no longer listed is kept while requests are in progress
    // there.
    bool is_listed = true;
    int own_requests = 0;
    int own_prefill_tokens = 0;
    // Requests sent there without a response so far that were at another
    // backend when it crashed.
    int own_suspects = 0;
    std::map<InstanceId, PeerShare> peers;
    SlidingCount recent{std::chrono::seconds(1)};  // requests sent
    // This entry's quotas of the limits that all entries share.
    int max_per_second = 0;
    int max_connections = 0;
    Ejection ejection;
    bool is_replaced = false;  // by another one at its address, until relisted
    double service_seconds = 0;  // smoothed; 0: none served yet
    // The same for the slow ones: follows a longer time at once.
    double slow_service_seconds = 0;
    PromptCache::ServerIndex cache_index = PromptCache::kUnknownServer;
  };
  struct Sent {
    InstanceId backend;
    ServiceName service;
    GroupGate* gate = nullptr;  // through which it was sent; never null
    int prefill_tokens = 0;     // 0 once the response has started
    bool is_suspect = false;    // until the response has started
    TimePoint at;
  };
  struct LeaveTimes {
    TimePoint wait_until;
    TimePoint end;
  };
  struct Waiting {
    Query query;
    bool is_new = true;  // until `Decide` has kept it in the queue once
  };
  // Engines without a known group form one group per service.
  using GroupKey = std::pair<ServiceName, GroupName>;

  // True if the service's backends are ranks of groups.
  bool HasRankGroups(const ServiceName& service) const;
  // Shortest expected wait for one of the service's groups to open; absent if
  // one is open.
  std::optional<Duration> GroupWait(const ServiceName& service,
                                    TimePoint now) const;
  // Event gap of the service's fastest group, in seconds; 0: unknown.
  double MinEventGap(const ServiceName& service, TimePoint now) const;
  static double GroupLagOf(const Backend& backend, double min_gap,
                           TimePoint now);

  void SortWaiting(TimePoint now);
  bool CanFinishInTime(const Query& query, TimePoint now) const;
  // True unless this entry leaves before the attempt is expected to end.
  bool CanFinishBeforeLeaving(const Query& query, TimePoint now) const;
  // True if this entry leaves and lets none wait any more.
  bool HasStoppedWaiting(const Query& query, TimePoint now) const;
  // Time that slow requests of the service take; absent: none served yet.
  std::optional<Duration> SlowServiceTime(const ServiceName& service) const;
  // Returns the backend to send to, or null if none is eligible.
  Backend* Choose(const Query& query, TimePoint now);
  // Returns the place of the chosen one.
  std::optional<std::size_t> ChooseAmong(const std::vector<Backend*>& eligible,
                                         const Query& query, TimePoint now);
  bool IsEligible(const Backend& backend, const Query& query, TimePoint now);
  // Load of the backend caused by all entries.
  int RequestsInProgress(const Backend& backend, TimePoint now) const;
  int PrefillTokens(const Backend& backend, TimePoint now) const;
  double CostOf(const Backend& backend, const Query& query, double min_gap,
                TimePoint now) const;
  void UpdateQuotas(Backend& backend) const;
  void UpdateAllQuotas();
  const ServiceSpec* SpecOf(const ServiceName& service) const;
  bool HasBackends(const ServiceName& service) const;
  // True if the request has tried all backends of its service.
  bool HasTriedAll(const Query& query) const;
  // When the first of the service's backends ends its backoff; absent unless
  // all that aren't leaving are in backoff.
  std::optional<TimePoint> EarliestBackoffEnd(const ServiceName& service,
                                              TimePoint now) const;
  void Eject(Backend& backend, TimePoint now);
  static void RecordServiceTime(Backend& backend, double seconds);
  bool CanStartInTime(const Waiting& waiting, Duration wait,
                      TimePoint now) const;
  // Expected wait of a request with `ahead` others of its service before it;
  // absent if no backend will take one from this entry.
  std::optional<Duration> WaitOf(const ServiceName& service, int ahead,
                                 TimePoint now);
  ServiceCapacity CapacityOf(const ServiceName& service, TimePoint now);
  // True if a backend of the service states a request limit.
  bool HasLimits(const ServiceName& service, TimePoint now);
  enum class LimitSource { kAnswer, kPeer };
  void LogLimit(const InstanceId& id, LimitSource source, TimePoint now);
  Decision RefuseLate(const Query& query, std::optional<Duration> wait,
                      TimePoint now);
  Decision Send(const Query& query, Backend& backend, TimePoint now);
  static Decision Refuse(const Query& query, Reason reason, Duration wait);

  Options options_;
  Random random_;
  EntryQuota entry_quota_;
  BackendNotices notices_;
  BackendRateLimits limits_;
  PromptCache prompt_cache_;
  std::unordered_map<InstanceId, Backend> backends_;
  std::map<ServiceName, std::vector<InstanceId>> by_service_;
  std::map<ServiceName, ServiceSpec> services_;
  std::map<GroupKey, GroupGate> gates_;
  std::vector<Waiting> waiting_;  // in the order of `SortWaiting`
  std::map<AttemptNumber, Sent> sent_;
  std::map<WorkspaceName, int> in_progress_;
  std::optional<LeaveTimes> leaving_;
};

}  // namespace mangohold
