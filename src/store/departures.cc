#include "store/departures.h"

namespace mangohold {

void Departures::OnDeparted(const InstanceId& id, const HeartbeatStamp& stamp,
                            Revision revision, TimePoint now) {
  departures_[id] = {.stamp = stamp, .revision = revision, .time = now};
}

bool Departures::PredatesDeparture(const InstanceId& id,
                                   const HeartbeatStamp& stamp,
                                   Revision revision,
                                   Revision listing_revision) {
  const auto it = departures_.find(id);
  if (it == departures_.end()) return false;
  const Departure& departure = it->second;
  const bool is_from_copy =
      revision.era() > departure.revision.era() && revision <= listing_revision;
  const bool is_same_start = stamp.started_ms == departure.stamp.started_ms;
  if (is_from_copy && is_same_start) return true;
  if (stamp.IsBefore(departure.stamp)) return true;
  departures_.erase(it);
  return false;
}

void Departures::RemoveExpired(TimePoint now) {
  std::erase_if(departures_, [&](const auto& item) {
    return now - item.second.time > retention_;
  });
}

}  // namespace mangohold
