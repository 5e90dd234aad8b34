// Remembers backend servers that have left: they announced it, or their keys
// were deleted. A heartbeat that is written late, or a store restored from an
// older backup, can list such a backend server as ready again until it writes
// its next heartbeat or its key expires. Does no I/O and reads no clock.
#pragma once

#include <map>

#include "core/clock.h"
#include "core/ids.h"
#include "store/backend_record.h"

namespace mangohold {

class Departures {
 public:
  // Departures are kept for `retention`, which must exceed the greatest age of
  // a backup.
  explicit Departures(Duration retention) : retention_(retention) {}

  // Records that the backend server left at `revision`. `stamp` belongs to its
  // last known heartbeat.
  void OnDeparted(const InstanceId& id, const HeartbeatStamp& stamp,
                  Revision revision, TimePoint now);
  // Returns true if a record with state "ready" is older than the departure.
  // This is the case if its heartbeat was sent before the departure and written
  // late, or if the record belongs to the same start of the backend server and
  // was already in the restored backup, that is, up to `listing_revision`. Any
  // other record ends the departure.
  bool PredatesDeparture(const InstanceId& id, const HeartbeatStamp& stamp,
                         Revision revision, Revision listing_revision);
  void RemoveExpired(TimePoint now);
  std::size_t size() const { return departures_.size(); }

 private:
  struct Departure {
    HeartbeatStamp stamp;
    Revision revision;
    TimePoint time;
  };

  Duration retention_;
  std::map<InstanceId, Departure> departures_;
};

}  // namespace mangohold
