// Turns the store's keys into what the traffic thread works by. No clock and no
// network.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "config/fleet_view.h"
#include "store/member.h"
#include "store/store_replica.h"
#include "store/store_schema.h"

namespace mangohold {

class FleetBuilder {
 public:
  struct Options {
    // Backend servers that vanished from the list while the store was away, or
    // right after, are kept for this long after its return: their entries
    // lapsed, although they may be well.
    Duration unlisted_memory = std::chrono::seconds(2);
  };

  FleetBuilder(StoreSchema schema, Options options);

  // The state of the connection to the store, for the entries that vanish.
  struct Contact {
    bool is_answering = false;
    TimePoint answering_since;
  };

  // Takes the keys that changed. Returns true if the view is another one.
  bool OnChanged(const std::vector<std::string>& keys,
                 const StoreReplica& replica, const Contact& contact,
                 TimePoint now);
  // Drops what is kept beyond its time. Returns true if the view is another.
  bool OnTime(const Contact& contact, TimePoint now);

  // Takes a deployment, from the store or from a peer. Returns true if it is
  // newer than the one in force.
  bool TakeDeployment(const StoreItem& item);
  // The deployment in force as it stands in the store.
  const StoreItem& deployment_item() const { return deployment_item_; }

  FleetViewPtr View() const;
  // All members listed now.
  std::vector<Member> Members() const;
  const RouteTablePtr& routes() const { return routes_; }

 private:
  bool TakeBackend(const std::string& key, const StoreReplica& replica,
                   const Contact& contact, TimePoint now);
  bool IsUnsettled(const Contact& contact, TimePoint now) const;

  StoreSchema schema_;
  Options options_;
  RouteTablePtr routes_;
  StoreItem deployment_item_;
  std::map<InstanceId, BackendRecord> backends_;
  // Backend servers that vanished while the store was away.
  std::set<InstanceId> unlisted_;
  std::set<ZoneName> zones_out_;
  std::map<std::string, Member> members_;
  // As agents told of the engines beside them; kept when they are gone.
  std::map<Endpoint, GroupName> groups_;
};

}  // namespace mangohold
