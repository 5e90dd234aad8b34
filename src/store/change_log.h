// The latest changes of the store as this process learned them, for others that
// follow the store through it. No clock and no network.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "store/store.h"

namespace mangohold {

class ChangeLog {
 public:
  // The whole store was listed; changes after `at` follow.
  void OnListed(Revision revision);
  void OnEvents(const StoreEvents& events);

  // All changes after `after` that are known. Nothing if some before them were
  // forgotten or never known, or if `after` is of another era.
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
  std::optional<Revision> complete_after_;  // absent: nothing was listed yet
  Revision revision_;
};

}  // namespace mangohold
