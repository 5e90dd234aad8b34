// Builds the fleet view that the traffic thread uses from the store's keys.
// Does no I/O and reads no clock.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "config/fleet_view.h"
#include "store/departures.h"
#include "store/member.h"
#include "store/store_availability.h"
#include "store/store_replica.h"
#include "store/store_schema.h"

namespace mangohold {

// Reports that a backend server that was in use has left.
struct BackendDeparture {
  InstanceId backend;
  bool is_removed = false;  // its key was deleted; else: it is draining
  // How long it stayed in use after its key had disappeared.
  Duration retained_for{0};
};

class FleetBuilder {
 public:
  struct Options {
    // How long a zone stays evacuated after a store restored from an older
    // backup has lost the evacuation. Operators repeat lost writes within this
    // time.
    Duration lost_evacuation_retention = std::chrono::seconds(30);
    // The greatest age of such a backup.
    Duration departure_retention = std::chrono::seconds(60);
    // Called for each backend server that goes out of use; may be empty.
    std::function<void(const BackendDeparture&)> on_departure;
    // Called for each entry of a backend server that can't be used; may be
    // empty.
    std::function<void()> on_ignored;
  };

  FleetBuilder(StoreSchema schema, Options options);

  // Applies the keys that changed and returns true if the view has changed.
  // While `availability` isn't settled, backend servers whose keys disappear
  // are retained: the keys may have expired in a store outage although the
  // servers are healthy.
  bool OnChanged(const std::vector<std::string>& keys,
                 const StoreReplica& replica,
                 const StoreAvailability& availability, TimePoint now);
  // Removes what was retained and has expired, and returns true if the view has
  // changed. `revision` is the last known revision of the store.
  bool OnTimer(Revision revision, const StoreAvailability& availability,
               TimePoint now);

  // Applies a deployment from the store or from a peer. Returns true if it is
  // newer than the one in force.
  bool ApplyDeployment(const StoreItem& item);
  // The source text of the deployment in force; empty: none yet.
  const std::string& deployment_text() const { return deployment_text_; }

  FleetViewPtr View() const;
  // All members that the store lists.
  std::vector<Member> Members() const;
  const RouteTablePtr& routes() const { return routes_; }

 private:
  struct ZoneEvacuation {
    Revision revision;                 // of the evacuation
    std::optional<TimePoint> lost_at;  // when the store lost the evacuation
  };

  bool ApplyZone(const ZoneName& zone, const StoreItem* item,
                 const StoreReplica& replica, TimePoint now);
  void ApplyMember(const std::string& key, const StoreItem* item);
  bool DropLostEvacuations(TimePoint now);
  bool DropUnlistedBackends(const StoreAvailability& availability,
                            Revision revision, TimePoint now);
  void DropBackend(const InstanceId& id, Revision revision,
                   Duration retained_for, TimePoint now);
  void ReportDeparture(const BackendDeparture& departure) const;
  bool IsStale(const BackendRecord& record) const;
  void ReportIgnored(const InstanceId& id, std::string_view error);
  bool IsNamed(const ServiceName& service) const;
  bool ApplyBackend(const std::string& key, const StoreReplica& replica,
                    const StoreAvailability& availability, TimePoint now);

  StoreSchema schema_;
  Options options_;
  RouteTablePtr routes_;
  std::string deployment_text_;
  Revision revision_;  // last known revision of the store
  std::map<InstanceId, BackendRecord> backends_;
  // Backend servers whose keys disappeared while the store may have been
  // unavailable, and when.
  std::map<InstanceId, TimePoint> unlisted_since_;
  Departures departures_;
  std::set<InstanceId> ignored_;  // entries that can't be used
  std::map<ZoneName, ZoneEvacuation> evacuated_zones_;
  std::map<std::string, Member> members_;
  // What agents report about the backend servers beside them, by the address of
  // the backend server. When the agent is gone, the group is kept and the
  // slowdown is reset to 1 (usual).
  struct Rank {
    GroupName group;
    double slowdown = 1;
  };
  std::map<Endpoint, Rank> ranks_;
};

}  // namespace mangohold
