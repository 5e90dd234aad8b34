#include "store/change_log.h"

#include <algorithm>

namespace mangohold {

void ChangeLog::OnListed(Revision at) {
  events_.clear();
  bytes_ = 0;
  complete_after_ = at;
  at_ = at;
}

void ChangeLog::OnEvents(const StoreEvents& events) {
  for (const StoreEvent& event : events.events) {
    events_.push_back(event);
    bytes_ += SizeOf(event);
  }
  while (events_.size() > kMostEvents || bytes_ > kMostBytes) {
    complete_after_ = std::max(complete_after_.value_or(Revision()),
                               events_.front().item.revision);
    bytes_ -= SizeOf(events_.front());
    events_.pop_front();
  }
  at_ = std::max(at_, events.at);
}

std::optional<StoreEvents> ChangeLog::Since(Revision after) const {
  if (!complete_after_ || after < *complete_after_) return std::nullopt;
  if (after.era() != at_.era()) return std::nullopt;
  StoreEvents since{.at = std::max(at_, after)};
  std::ranges::copy_if(
      events_, std::back_inserter(since.events),
      [after](const StoreEvent& event) { return event.item.revision > after; });
  return since;
}

}  // namespace mangohold
