// The record of a backend server in the platform's store.
#pragma once

#include <cstdint>
#include <optional>

#include "absl/status/status.h"
#include "core/clock.h"
#include "core/ids.h"

namespace mangohold {

enum class BackendState { kReady, kDraining, kCount };

// Orders the heartbeats of a backend server. The store may receive a heartbeat
// late, after a newer one.
struct HeartbeatStamp {
  // Start time of the backend server in ms since 1970 by its own clock; absent:
  // not reported.
  std::optional<std::int64_t> started_ms;
  // Number of the heartbeat, counted from that start; absent: not reported.
  std::optional<std::int64_t> sequence;

  // True if this heartbeat was certainly sent before `other`. False if the
  // order is unknown.
  bool IsBefore(const HeartbeatStamp& other) const {
    if (started_ms != other.started_ms) {
      return started_ms && other.started_ms && *started_ms < *other.started_ms;
    }
    return sequence && other.sequence && *sequence < *other.sequence;
  }
};

struct BackendRecord {
  InstanceId id;  // identifies one start of the backend server
  ServiceName service;
  Endpoint address;
  ZoneName zone;
  int slots = 1;  // requests that run concurrently
  BackendState state = BackendState::kReady;
  Millis cold_remaining{0};  // remaining cold start when the record was written
  GroupName group;      // the group it is a rank of; empty: none or unknown
  double slowdown = 1;  // current service time over the usual one; 1: as usual
  Revision created;     // revision that created its key in the store
  HeartbeatStamp stamp;
};

// Whether a record that somebody wrote can be one of a backend server: its id
// and names are short and without control characters, its address is an IP
// address with a port, its numbers are in range. Returns InvalidArgument with
// the name of the first member that isn't.
absl::Status CheckBackendRecord(const BackendRecord& record);

}  // namespace mangohold
