// Turns the store's keys into what the traffic thread works by. No clock and no
// network.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "config/fleet_view.h"
#include "store/departures.h"
#include "store/member.h"
#include "store/store_availability.h"
#include "store/store_replica.h"
#include "store/store_schema.h"

namespace mangohold {

// A backend server that was in use and has left.
struct BackendDeparture {
  InstanceId backend;
  bool is_removed = false;  // its entry has vanished; else it is draining
  // For how long it was kept after its entry had vanished.
  Duration retained_for{0};
};

class FleetBuilder {
 public:
  struct Options {
    // A zone that was out when the store came back from an older copy, which
    // doesn't say so, stays out for this long: operators write again what was
    // lost.
    Duration lost_evacuation_retention = std::chrono::seconds(30);
    // How old such a copy may be at the most.
    Duration departure_retention = std::chrono::seconds(60);
    // Hears of each backend server that is in use no more, if it is set.
    std::function<void(const BackendDeparture&)> on_departure;
  };

  FleetBuilder(StoreSchema schema, Options options);

  // Takes the keys that changed. Returns true if the view is another one.
  // Backend servers that vanish from the list while `contact` isn't settled are
  // kept until it is: their entries may have lapsed, although they are well.
  bool OnChanged(const std::vector<std::string>& keys,
                 const StoreReplica& replica,
                 const StoreAvailability& availability, TimePoint now);
  // Drops what is kept beyond its time. Returns true if the view is another.
  // `at` is the store's revision as it is known.
  bool OnTimer(Revision revision, const StoreAvailability& availability,
               TimePoint now);

  // Takes a deployment, from the store or from a peer. Returns true if it is
  // newer than the one in force.
  bool ApplyDeployment(const StoreItem& item);
  // The deployment in force as operators wrote it.
  const std::string& deployment_text() const { return deployment_text_; }

  FleetViewPtr View() const;
  // All members listed now.
  std::vector<Member> Members() const;
  const RouteTablePtr& routes() const { return routes_; }

 private:
  struct ZoneEvacuation {
    Revision revision;                 // of the word that it is out
    std::optional<TimePoint> lost_at;  // the store lost that word then
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
  bool ApplyBackend(const std::string& key, const StoreReplica& replica,
                    const StoreAvailability& availability, TimePoint now);

  StoreSchema schema_;
  Options options_;
  RouteTablePtr routes_;
  std::string deployment_text_;
  Revision revision_;  // of the store, as it is known
  std::map<InstanceId, BackendRecord> backends_;
  // Backend servers that vanished while the store was away, and when.
  std::map<InstanceId, TimePoint> unlisted_since_;
  Departures departures_;
  std::map<ZoneName, ZoneEvacuation> evacuated_zones_;
  std::map<std::string, Member> members_;
  // As agents told of the engines beside them. The group is kept when they are
  // gone; the pace is then taken for usual.
  struct Rank {
    GroupName group;
    double pace = 1;
  };
  std::map<Endpoint, Rank> ranks_;
};

}  // namespace mangohold
