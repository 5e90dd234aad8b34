// A backend server as it stands in the platform's list.
#pragma once

#include <cstdint>
#include <optional>

#include "core/clock.h"
#include "core/ids.h"

namespace mangohold {

enum class BackendState { kReady, kDraining, kCount };

// Which of the words that a backend server says of itself this one is. Words
// may be written late, and after newer ones.
struct HeartbeatStamp {
  // When the backend server started, in ms since 1970 by its own clock; absent:
  // not told.
  std::optional<std::int64_t> started_ms;
  // The heartbeat of that start; absent: not told.
  std::optional<std::int64_t> sequence;

  // True if it was certainly said before `other`.
  bool IsBefore(const HeartbeatStamp& other) const {
    if (started_ms != other.started_ms) {
      return started_ms && other.started_ms && *started_ms < *other.started_ms;
    }
    return sequence && other.sequence && *sequence < *other.sequence;
  }
};

struct BackendRecord {
  InstanceId id;  // of one start of the backend server
  ServiceName service;
  Endpoint address;
  ZoneName zone;
  int slots = 1;  // requests that it runs at once
  BackendState state = BackendState::kReady;
  Millis cold_remaining{0};  // at the time of writing
  GroupName group;           // in which it is a rank; empty: none, or unknown
  double pace = 1;           // how many times as long as usual it takes
  Revision created;          // when its entry was created
  HeartbeatStamp stamp;
};

}  // namespace mangohold
