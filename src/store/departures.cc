#include "store/departures.h"

namespace mangohold {

void Departures::OnLeft(const InstanceId& id,
                        std::optional<std::int64_t> started_ms,
                        Revision revision, TimePoint now) {
  departures_[id] = {.started_ms = started_ms, .revision = revision, .at = now};
}

bool Departures::IsOutdated(const InstanceId& id,
                            std::optional<std::int64_t> started_ms,
                            Revision revision, Revision listed_from) {
  const auto it = departures_.find(id);
  if (it == departures_.end()) return false;
  const Departure& departure = it->second;
  const bool is_from_copy =
      revision.era() > departure.revision.era() && revision <= listed_from;
  if (is_from_copy && started_ms == departure.started_ms) return true;
  departures_.erase(it);
  return false;
}

void Departures::Forget(TimePoint now) {
  std::erase_if(departures_, [&](const auto& item) {
    return now - item.second.at > memory_;
  });
}

}  // namespace mangohold
