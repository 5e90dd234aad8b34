// The keys under which the store holds records of other writers, and how to
// decode them. The platform adapter provides it.
#pragma once

#include <functional>
#include <string>

#include "absl/status/statusor.h"
#include "config/deployment.h"
#include "store/backend_record.h"

namespace mangohold {

struct StoreSchema {
  std::string deployment_key;
  // Keys with this prefix end in the name of an evacuated zone.
  std::string evacuated_zone_prefix;
  // Keys with this prefix end in the id of a backend server.
  std::string backend_prefix;
  // Keys with this prefix end in the id of an entry or agent of this system.
  std::string member_prefix;
  // Keys with this prefix end in the name of a group of ranks; they hold its
  // leader.
  std::string leader_prefix;
  // Keys with this prefix end in the name of a group of ranks; they hold its
  // demand, for later leaders.
  std::string demand_prefix;
  std::function<absl::StatusOr<Deployment>(const std::string& value)>
      decode_deployment;
  std::function<absl::StatusOr<BackendRecord>(const InstanceId& id,
                                              const std::string& value)>
      decode_backend;
};

}  // namespace mangohold
