// Where the store keeps what others write, and how to read it. The adapter to
// the platform provides it.
#pragma once

#include <functional>
#include <string>

#include "absl/status/statusor.h"
#include "config/deployment.h"
#include "store/backend_record.h"

namespace mangohold {

struct StoreSchema {
  std::string deployment_key;
  // The rest of such a key is the name of a zone that is out.
  std::string evacuated_zone_prefix;
  // The rest of such a key is the id of a backend server.
  std::string backend_prefix;
  // The rest of such a key is the name of an entry or agent of this system.
  std::string member_prefix;
  // The rest of such a key is the name of a group of ranks.
  std::string leader_prefix;
  // The same; what is known of the group's demand, for leaders to come.
  std::string demand_prefix;
  std::function<absl::StatusOr<Deployment>(const std::string& value)>
      decode_deployment;
  std::function<absl::StatusOr<BackendRecord>(const InstanceId& id,
                                              const std::string& value)>
      decode_backend;
};

}  // namespace mangohold
