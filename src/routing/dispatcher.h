// Who waits, who is refused, and where work goes, for requests that go to
// backend servers directly. No network and no clock: events and the time go in,
// decisions come out.
//
// A backend server runs up to its slots at once and queues a few more. Entries
// share the backend servers without a coordinator: each knows what it has sent
// itself and hears from its peers what they have sent. As long as the least
// loaded backend server has a free slot a request is sent there; otherwise it
// waits here, the most urgent first, and is refused as soon as its turn can't
// come in time.
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
#include "routing/ejection.h"
#include "routing/entry_quota.h"
#include "routing/group_gate.h"
#include "routing/sliding_count.h"
#include "store/backend_record.h"

namespace mangohold {

// What one entry has in progress at one backend server.
struct BackendShare {
  InstanceId backend;
  int requests = 0;
  int prefill_tokens = 0;  // prompt tokens sent without an answer so far
};

class Dispatcher {
 public:
  struct Options {
    ZoneName zone;
    std::uint64_t seed = 1;
    // Cold backend servers bear this times their rate plus a few in a second,
    // over all entries.
    double cold_overrun = 1.0;
    double cold_slack = 0;
    // What a peer told is forgotten after this.
    Duration peer_share_ttl = std::chrono::milliseconds(1'500);
    Ejection::Options ejection;
    GroupGate::Options gate;
    // Part of a service's backend servers that may be passed over at a time.
    double max_ejected_fraction = 0.5;
    // Load that a backend server in another zone must save to be preferred.
    double zone_penalty = 0.25;
    // Up to this many entries hear of one another within a moment. More of them
    // know the load of a while ago; if each chose the least loaded backend
    // server of all, all would choose the same one.
    int max_least_loaded_entries = 12;
  };
  struct Query {
    AttemptNumber number;
    ServiceName service;
    int priority = 0;  // 0 is the most urgent
    WorkspaceName workspace;
    int prompt_tokens = 0;
    // After this an answer begins too late for the caller.
    TimePoint start_deadline;
    // When the whole answer has to be there, and the events that it is expected
    // to have; 0: not a stream.
    TimePoint deadline = TimePoint::max();
    // An answer that begins later is late.
    TimePoint target_start = TimePoint::max();
    double expected_events = 0;
    std::vector<InstanceId> tried;
    // Zones of the regions where it may run; empty: all.
    std::vector<ZoneName> zones;
  };
  struct Decision {
    AttemptNumber number;
    std::optional<BackendRecord> backend;  // where to send; absent: refused
    Reason reason = Reason::kNone;         // of a refusal
    Millis retry_after{0};                 // of a refusal
  };
  enum class Result {
    kServed,
    kRejected,       // it said that it did not run the request
    kAddressReused,  // another backend server has its address
    kUnreachable,    // no connection
    kFailed,         // broken off, or a failure of the backend server's own
    kRequestFault,   // a failure that another backend server has answered with
    kStuck,          // it stands still while others go on
    kCancelled       // the caller left
  };

  explicit Dispatcher(Options options);

  // Takes the backend servers that may be used; what is known of those that
  // stay is kept.
  void SetBackends(const std::vector<BackendRecord>& backends);
  void SetServices(const std::vector<ServiceSpec>& services);
  // The entries that may be sending, this one among them or not.
  void SetEntries(const InstanceId& self,
                  const std::vector<InstanceId>& entries);
  void OnPeerShares(const InstanceId& peer,
                    const std::vector<BackendShare>& shares, TimePoint now);

  void Submit(Query query);
  // Forgets an attempt that still waits.
  void Withdraw(AttemptNumber number);
  // The attempts to send or to refuse now.
  std::vector<Decision> Decide(TimePoint now);

  // The first bytes of the answer came: its prompt has been read.
  void OnResponseStarted(AttemptNumber number, TimePoint now);
  void OnEnded(AttemptNumber number, Result result, TimePoint now);
  // True if the attempt's backend server may still be sent to. It may have left
  // since it was chosen.
  bool MayStillSend(AttemptNumber number, TimePoint now) const;
  // A request that this backend server failed was failed by another one as
  // well: the failure was the request's own.
  void OnFailedElsewhere(const InstanceId& id);
  // What an answer says of its backend server: that it is leaving, and for how
  // long it wants nothing more.
  void OnNotice(const InstanceId& id, bool is_leaving,
                std::optional<Millis> backoff, TimePoint now);
  // When an answer first said that the backend server is leaving.
  std::optional<TimePoint> LeavingSince(const InstanceId& id) const {
    return notices_.LeavingSince(id);
  }
  // A stream brought an event `gap` after the one before.
  void OnEventGap(AttemptNumber number, Duration gap, TimePoint now);

  // True if the attempt's backend server stands still while others of its group
  // go on. `last_event` is of this attempt; absent: its answer hasn't begun.
  bool IsStuck(AttemptNumber number, std::optional<TimePoint> last_event,
               TimePoint now) const;

  std::vector<BackendShare> OwnShares() const;
  // Connections that this entry may open to a backend server.
  int MaxConnections(const InstanceId& id) const;
  bool IsListed(const InstanceId& id) const {
    const auto it = backends_.find(id);
    return it != backends_.end() && it->second.is_listed;
  }
  std::size_t waiting() const { return waiting_.size(); }
  int sent() const { return static_cast<int>(sent_.size()); }
  std::size_t backends() const { return backends_.size(); }

 private:
  struct PeerShare {
    BackendShare share;
    TimePoint received;
  };
  struct Backend {
    BackendRecord record;
    GroupGate* gate = nullptr;  // of its group; never null once listed
    // One that isn't listed any more is kept while work is in progress there.
    bool is_listed = true;
    int own_requests = 0;
    int own_prefill_tokens = 0;
    std::map<InstanceId, PeerShare> peers;
    SlidingCount recent{std::chrono::seconds(1)};
    // This entry's parts of what the backend server bears from all of them.
    int max_per_second = 0;
    int max_connections = 0;
    Ejection ejection;
    bool is_address_reused = false;  // until it is listed anew
    double service_seconds = 0;      // smoothed; 0: none served yet
  };
  struct Sent {
    InstanceId backend;
    ServiceName service;
    GroupGate* gate = nullptr;  // by which it was sent; never null
    int prefill_tokens = 0;
    TimePoint at;
  };
  struct Waiting {
    Query query;
    bool is_new = true;  // not yet judged
  };
  // Engines whose group isn't known count as one group of their service.
  using GroupKey = std::pair<ServiceName, GroupName>;

  bool HasRankGroups(const ServiceName& service) const;
  // The least time that work has to wait for a group of the service to take it;
  // nothing if one does.
  std::optional<Duration> GroupWait(const ServiceName& service,
                                    TimePoint now) const;
  // The event gap of the service's fastest group, in seconds; 0: not known.
  double MinEventGap(const ServiceName& service, TimePoint now) const;
  static double SlowdownOf(const Backend& backend, double min_gap,
                           TimePoint now);

  void SortWaiting(TimePoint now);
  bool CanFinishInTime(const Query& query, TimePoint now) const;
  Backend* Choose(const Query& query, TimePoint now);
  Backend* ChooseLeastLoaded(const std::vector<Backend*>& eligible,
                             const Query& query, double min_gap, TimePoint now);
  Backend* ChooseWeighted(const std::vector<Backend*>& eligible,
                          const Query& query, double min_gap, TimePoint now);
  bool IsEligible(const Backend& backend, const Query& query, TimePoint now);
  int RequestsInProgress(const Backend& backend, TimePoint now) const;
  int PrefillTokens(const Backend& backend, TimePoint now) const;
  double CostOf(const Backend& backend, const Query& query, double min_gap,
                TimePoint now) const;
  void UpdateQuotas(Backend& backend) const;
  void UpdateAllQuotas();
  const ServiceSpec* SpecOf(const ServiceName& service) const;
  bool HasBackends(const ServiceName& service) const;
  // The first end of a quiet time, if all that may be sent to asked for one.
  std::optional<TimePoint> EarliestBackoffEnd(const ServiceName& service,
                                              TimePoint now) const;
  void Eject(Backend& backend, TimePoint now);
  bool CanStartInTime(const Waiting& waiting, Duration wait,
                      TimePoint now) const;
  Duration ExpectedWait(const ServiceName& service, int ahead,
                        TimePoint now) const;
  Decision Send(const Query& query, Backend& backend, TimePoint now);
  static Decision Refuse(const Query& query, Reason reason, Duration wait);

  Options options_;
  Random random_;
  EntryQuota entry_quota_;
  BackendNotices notices_;
  std::unordered_map<InstanceId, Backend> backends_;
  std::map<ServiceName, std::vector<InstanceId>> by_service_;
  std::map<ServiceName, ServiceSpec> services_;
  std::map<GroupKey, GroupGate> gates_;
  std::vector<Waiting> waiting_;  // in the order of their turns
  std::map<AttemptNumber, Sent> sent_;
  std::map<WorkspaceName, int> in_progress_;
};

}  // namespace mangohold
