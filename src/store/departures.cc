#include "store/departures.h"

namespace mangohold {

void Departures::OnLeft(const InstanceId& id, const BackendWord& word,
                        Revision revision, TimePoint now) {
  departures_[id] = {.word = word, .revision = revision, .at = now};
}

bool Departures::IsOutdated(const InstanceId& id, const BackendWord& word,
                            Revision revision, Revision listed_from) {
  const auto it = departures_.find(id);
  if (it == departures_.end()) return false;
  const Departure& departure = it->second;
  const bool is_from_copy =
      revision.era() > departure.revision.era() && revision <= listed_from;
  const bool is_same_start = word.started_ms == departure.word.started_ms;
  if (is_from_copy && is_same_start) return true;
  if (word.IsBefore(departure.word)) return true;
  departures_.erase(it);
  return false;
}

void Departures::Forget(TimePoint now) {
  std::erase_if(departures_, [&](const auto& item) {
    return now - item.second.at > memory_;
  });
}

}  // namespace mangohold
