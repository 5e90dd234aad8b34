// The retries of one request within the budget that all requests of its service
// share at this entry.
#pragma once

#include <optional>

#include "caller/forward_context.h"
#include "core/clock.h"
#include "core/ids.h"

namespace mangohold {

// The first send that a backend server may receive is free; each further one
// takes a retry of the budget, which is reserved when it is decided. Belongs to
// the traffic thread.
class RequestRetries {
 public:
  RequestRetries(ForwardContext& context, RequestId request,
                 ServiceName service)
      : context_(context),
        request_(std::move(request)),
        service_(std::move(service)) {}

  // The request has arrived at this entry.
  void OnRequest(TimePoint now) { Budget(now).OnRequest(now); }
  // Reserves a retry, unless one is reserved already or none is needed. Returns
  // false if the budget is exhausted.
  bool Reserve(TimePoint now);
  // True if a retry could be reserved now.
  bool CanReserve(TimePoint now) { return Budget(now).CanRetry(now); }
  // The request is about to be written to a connection.
  void OnSend(TimePoint now);
  // No byte was written after all, so that the retry is still to be sent.
  void OnNotSent(TimePoint now);
  // The request has ended: returns a retry that wasn't sent.
  void Release(TimePoint now);

  // When the retry was reserved that is to be sent next; absent: none is.
  std::optional<TimePoint> reserved_at() const { return reserved_at_; }

 private:
  SharedRetryBudget& Budget(TimePoint now) {
    return context_.BudgetOf(service_, now);
  }

  ForwardContext& context_;
  RequestId request_;
  ServiceName service_;
  std::optional<TimePoint> reserved_at_;
  int arrivals_ = 0;  // sends that a backend server may have received
};

}  // namespace mangohold
