// Instances as the platform's lagging list shows them.
#pragma once

#include "core/ids.h"

namespace mangohold {

enum class InstanceRole { kEntry, kBackend, kCount };
enum class InstanceState { kLive, kLeaving, kCount };

struct Instance {
  InstanceId id;
  InstanceRole role = InstanceRole::kBackend;
  InstanceState state = InstanceState::kLive;
  ZoneName zone;
  ServiceName service;  // for backend servers
  Endpoint peer;        // where entries connect to an agent, for traffic
  Endpoint control;     // where processes connect to an entry, for settings
  Endpoint caller;      // where callers connect, for entries
};

}  // namespace mangohold
