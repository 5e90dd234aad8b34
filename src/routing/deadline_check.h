// Whether a request can start and finish in time. Does no I/O and reads no
// clock.
#pragma once

#include <optional>

#include "core/clock.h"
#include "routing/backend_table.h"
#include "routing/dispatch_query.h"
#include "routing/waiting_queue.h"

namespace mangohold {

// The times of an entry that leaves: an attempt is sent only if it is expected
// to end before `end`, and none waits for a backend after `wait_until`.
struct LeaveTimes {
  TimePoint wait_until;
  TimePoint end;
};

// True unless the response is expected to be complete after its deadline.
bool CanFinishInTime(const DispatchQuery& query, const BackendTable& table,
                     TimePoint now);
// True unless this entry leaves before the attempt is expected to end. `leave`
// is absent while it doesn't leave.
bool CanFinishBeforeLeaving(const DispatchQuery& query,
                            const BackendTable& table,
                            const std::optional<LeaveTimes>& leave,
                            TimePoint now);
// True if this entry leaves and lets the request wait no more.
bool HasStoppedWaiting(const DispatchQuery& query,
                       const std::optional<LeaveTimes>& leave, TimePoint now);
// True if the attempt's response may start in time after waiting for `wait`.
bool CanStartInTime(const WaitingAttempt& attempt, Duration wait,
                    const BackendTable& table, TimePoint now);

}  // namespace mangohold
