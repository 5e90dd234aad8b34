#include "store/change_log.h"

#include <algorithm>

namespace mangohold {

void ChangeLog::OnListed(Revision revision) {
  events_.clear();
  bytes_ = 0;
  complete_after_ = revision;
  revision_ = revision;
}

void ChangeLog::OnEvents(const StoreEvents& events) {
  for (const StoreEvent& event : events.events) {
    events_.push_back(event);
    bytes_ += SizeOf(event);
  }
  while (events_.size() > kMaxEvents || bytes_ > kMaxBytes) {
    complete_after_ = std::max(complete_after_.value_or(Revision()),
                               events_.front().item.revision);
    bytes_ -= SizeOf(events_.front());
    events_.pop_front();
  }
  revision_ = std::max(revision_, events.revision);
}

std::optional<StoreEvents> ChangeLog::Since(Revision after) const {
  if (!complete_after_ || after < *complete_after_) return std::nullopt;
  if (after.era() != revision_.era()) return std::nullopt;
  StoreEvents since{.revision = std::max(revision_, after)};
  std::ranges::copy_if(
      events_, std::back_inserter(since.events),
      [after](const StoreEvent& event) { return event.item.revision > after; });
  return since;
}

}  // namespace mangohold
