#include "caller/request_retries.h"

#include <utility>

#include "core/log.h"

namespace mangohold {

bool RequestRetries::Reserve(TimePoint now) {
  if (arrivals_ == 0 || reserved_at_) return true;
  const SharedRetryBudget::State before = Budget(now).StateAt(now);
  const bool is_granted = Budget(now).TryReserve(now);
  if (is_granted) reserved_at_ = now;
  if (!is_granted) context_.counters.Count(Event::kRetriesDenied);
  Log(LogLevel::kInfo, "retry_decided",
      {{"request", request_.value()},
       {"service", service_.value()},
       {"granted", static_cast<int>(is_granted)},
       {"tokens", static_cast<int>(before.tokens)},
       {"reserved", before.reserved},
       {"capacity", static_cast<int>(before.capacity)},
       {"requests", before.requests},
       {"entries", before.entries.value_or(0)}});
  return is_granted;
}

void RequestRetries::OnSend(TimePoint now) {
  ++arrivals_;
  if (!reserved_at_) return;
  Budget(now).OnSent();
  reserved_at_.reset();
}

void RequestRetries::OnNotSent(TimePoint now) {
  if (--arrivals_ == 0) return;
  Budget(now).OnNotSent(now);
  reserved_at_ = now;
}

void RequestRetries::Release(TimePoint now) {
  if (std::exchange(reserved_at_, std::nullopt)) Budget(now).Release(now);
}

}  // namespace mangohold
