// A bounded log of the latest store changes that this process received, for
// other processes that follow the store through it. Does no I/O and reads no
// clock.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "store/store.h"

namespace mangohold {

class ChangeLog {
 public:
  // Restarts the log after a full listing of the store at `revision`: only
  // changes after it are recorded.
  void OnListed(Revision revision);
  void OnEvents(const StoreEvents& events);

  // Returns all changes after `after`. Returns nothing if some of them were
  // evicted or never received, or if `after` belongs to another era.
  std::optional<StoreEvents> Since(Revision after) const;
  Revision revision() const { return revision_; }

 private:
  static constexpr std::size_t kMaxEvents = 2'000;
  static constexpr std::size_t kMaxBytes = 4U << 20U;

  static std::size_t SizeOf(const StoreEvent& event) {
    return event.item.key.size() + event.item.value.size();
  }

  std::deque<StoreEvent> events_;
  std::size_t bytes_ = 0;
  std::optional<Revision> complete_after_;  // absent: no listing so far
  Revision revision_;
};

}  // namespace mangohold
