// What the control thread knows, as one immutable value for the traffic thread.
#pragma once

#include <memory>
#include <vector>

#include "config/route_table.h"
#include "core/ids.h"
#include "store/backend_record.h"
#include "store/member.h"

namespace mangohold {

struct FleetView {
  RouteTablePtr routes;  // null: no deployment is known yet
  // Of the deployment; 0 while none is known.
  DeploymentVersion version() const {
    return routes == nullptr ? DeploymentVersion()
                             : routes->deployment().version;
  }
  // Of the store, up to which everything is known here.
  Revision revision;
  // Backend servers that new work may go to.
  std::vector<BackendRecord> backends;
  // The entries that the store lists.
  std::vector<Member> entries;
};

using FleetViewPtr = std::shared_ptr<const FleetView>;

}  // namespace mangohold
