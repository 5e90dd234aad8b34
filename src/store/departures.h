// Backend servers that have left: they said so, or their entries were taken
// away. A store that comes back from an older copy lists them as ready once
// more, until they have written again or their entries lapse. No clock and no
// network.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "core/clock.h"
#include "core/ids.h"

namespace mangohold {

class Departures {
 public:
  // A departure is remembered for `memory`, which has to be longer than a copy
  // can be old.
  explicit Departures(Duration memory) : memory_(memory) {}

  // It left, as of `revision`. `started_ms` tells its start where that is
  // known.
  void OnLeft(const InstanceId& id, std::optional<std::int64_t> started_ms,
              Revision revision, TimePoint now);
  // True if the entry, which says that it is ready, is from before its leaving:
  // it is of the same start, and was in the store's copy, whose listing began
  // at `listed_from`. Any other entry ends the departure.
  bool IsOutdated(const InstanceId& id, std::optional<std::int64_t> started_ms,
                  Revision revision, Revision listed_from);
  void Forget(TimePoint now);
  std::size_t size() const { return departures_.size(); }

 private:
  struct Departure {
    std::optional<std::int64_t> started_ms;
    Revision revision;
    TimePoint at;
  };

  Duration memory_;
  std::map<InstanceId, Departure> departures_;
};

}  // namespace mangohold
