#include "routing/waiting_queue.h"

#include <algorithm>
#include <utility>

namespace mangohold {

void WaitingQueue::Add(DispatchQuery query) {
  const auto place = std::ranges::upper_bound(
      attempts_, query.priority, {},
      [](const WaitingAttempt& attempt) { return attempt.query.priority; });
  attempts_.insert(place, {.query = std::move(query)});
}

void WaitingQueue::Remove(AttemptNumber number) {
  std::erase_if(attempts_, [number](const WaitingAttempt& attempt) {
    return attempt.query.number == number;
  });
}

std::vector<WaitingAttempt> WaitingQueue::TakeAll(TimePoint now) {
  std::ranges::stable_sort(attempts_, {}, [now](const WaitingAttempt& attempt) {
    const DispatchQuery& query = attempt.query;
    return std::pair(query.priority, now > query.target_start);
  });
  return std::exchange(attempts_, {});
}

void WaitingQueue::Keep(WaitingAttempt attempt) {
  attempt.is_new = false;
  attempts_.push_back(std::move(attempt));
}

}  // namespace mangohold
