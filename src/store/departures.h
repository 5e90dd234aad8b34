// Backend servers that have left: they said so, or their entries were taken
// away. They may be listed as ready once more by a heartbeat that is written
// late, or by a store that comes back from an older copy, until they have
// written again or their entries lapse. No clock and no network.
#pragma once

#include <map>

#include "core/clock.h"
#include "core/ids.h"
#include "store/backend_record.h"

namespace mangohold {

class Departures {
 public:
  // A departure is remembered for `memory`, which has to be longer than a copy
  // can be old.
  explicit Departures(Duration retention) : retention_(retention) {}

  // It left, as of `revision`; `word` was its last one.
  void OnDeparted(const InstanceId& id, const HeartbeatStamp& stamp,
                  Revision revision, TimePoint now);
  // True if the entry, which says that it is ready, is from before its leaving:
  // its word was said before and written late, or it is of the same start and
  // was in the store's copy, whose listing began at `listed_from`. Any other
  // entry ends the departure.
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
