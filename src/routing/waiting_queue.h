// Queue of the attempts that wait for a backend. Does no I/O and reads no
// clock.
//
// Attempts are ordered by priority. Within a priority, those that can still
// meet their latency target come before those that have missed it: a late
// request loses less by waiting longer than the others would. The rest is by
// arrival.
#pragma once

#include <cstddef>
#include <vector>

#include "core/clock.h"
#include "routing/dispatch_query.h"

namespace mangohold {

struct WaitingAttempt {
  DispatchQuery query;
  bool is_new = true;  // until it has been kept in the queue once
};

class WaitingQueue {
 public:
  void Add(DispatchQuery query);
  void Remove(AttemptNumber number);

  // Empties the queue and returns its attempts in order.
  std::vector<WaitingAttempt> TakeAll(TimePoint now);
  // Puts an attempt of `TakeAll` back. They have to come in the same order.
  void Keep(WaitingAttempt attempt);

  std::size_t size() const { return attempts_.size(); }

 private:
  std::vector<WaitingAttempt> attempts_;
};

}  // namespace mangohold
