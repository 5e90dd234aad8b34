// The backends that an entry knows, by service and by group, and the entry's
// share of their load. Does no I/O and reads no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "config/deployment.h"
#include "core/clock.h"
#include "core/ids.h"
#include "routing/backend_quotas.h"
#include "routing/ejection.h"
#include "routing/entry_quota.h"
#include "routing/group_gate.h"
#include "routing/pass_limit.h"
#include "routing/tracked_backend.h"
#include "store/backend_record.h"

namespace mangohold {

class BackendTable {
 public:
  struct Options {
    ColdRateMargin cold_margin;
    // Age at which a peer's report expires.
    Duration peer_share_ttl = std::chrono::milliseconds(1'500);
    Ejection::Options ejection;
    GroupGate::Options gate;
    PassLimit::Options pass_limit;
    // Maximum fraction of a service's backends that are ejected at a time.
    double max_ejected_fraction = 0.5;
  };

  explicit BackendTable(Options options) : options_(options) {}
  // A copy would refer to the backends of the original.
  BackendTable(const BackendTable&) = delete;
  BackendTable& operator=(const BackendTable&) = delete;
  BackendTable(BackendTable&&) = default;
  BackendTable& operator=(BackendTable&&) = default;

  // Sets the listed backends. Keeps the state of those that were listed before.
  void SetBackends(const std::vector<BackendRecord>& backends);
  void SetServices(const std::vector<ServiceSpec>& services);
  // Sets the entries that may be sending; `self` may be among them or not.
  // Returns true if the other entries have changed.
  bool SetEntries(const InstanceId& self,
                  const std::vector<InstanceId>& entries);
  // Replaces the peer's earlier report.
  void OnPeerShares(const InstanceId& peer,
                    const std::vector<BackendShare>& shares, TimePoint now);
  // Ejects the backend for a time that doubles with each failure, as long as
  // enough others (see `max_ejected_fraction`) remain to carry the load.
  void Eject(TrackedBackend& backend, TimePoint now);

  // Limits the requests of ranks whose passes would take too long, by the gaps
  // that were seen lately.
  void UpdatePassLimits(TimePoint now);

  // The backend, or null if it is unknown.
  TrackedBackend* Find(const InstanceId& id);
  const TrackedBackend* Find(const InstanceId& id) const;
  bool IsListed(const InstanceId& id) const;
  // Start time of the backend as listed; absent: unknown.
  std::optional<std::int64_t> StartOf(const InstanceId& id) const;
  std::size_t size() const { return backends_.size(); }

  // The service, or null if it is unknown.
  const ServiceSpec* SpecOf(const ServiceName& service) const;
  bool HasBackends(const ServiceName& service) const;
  // The listed backends of the service.
  std::span<TrackedBackend* const> BackendsOf(const ServiceName& service);
  std::span<const TrackedBackend* const> BackendsOf(
      const ServiceName& service) const;
  // True if the service's backends are ranks of groups.
  bool HasRankGroups(const ServiceName& service) const;
  // Shortest expected wait for one of the service's groups to open; absent if
  // one is open.
  std::optional<Duration> GroupWait(const ServiceName& service,
                                    TimePoint now) const;
  // Event gap of the service's fastest group, in seconds; 0: unknown.
  double MinEventGap(const ServiceName& service, TimePoint now) const;
  // Time that slow requests of the service take; absent: none served yet.
  std::optional<Duration> SlowServiceTime(const ServiceName& service) const;

  // Returns this entry's report for its peers.
  std::vector<BackendShare> OwnShares() const;
  const EntryQuota& entry_quota() const { return entry_quota_; }

 private:
  // Engines without a known group form one group per service.
  using GroupKey = std::pair<ServiceName, GroupName>;

  void List(const BackendRecord& record);
  void RemoveUnused();
  void ObserveGaps(TimePoint now);
  void UpdateQuotas();

  Options options_;
  EntryQuota entry_quota_;
  std::unordered_map<InstanceId, TrackedBackend> backends_;
  std::map<ServiceName, std::vector<TrackedBackend*>> by_service_;
  std::map<ServiceName, ServiceSpec> services_;
  std::map<GroupKey, GroupGate> gates_;
  std::map<GroupKey, PassLimit> pass_limits_;
  TimePoint next_pass_update_;
};

}  // namespace mangohold
