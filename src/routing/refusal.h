// Refusals of requests, each with its reason and a hint of when the caller may
// try again. Does no I/O and reads no clock.
#pragma once

#include "core/clock.h"
#include "core/random.h"
#include "routing/dispatch_query.h"

namespace mangohold {

// Its service is too slow to finish it in time.
DispatchDecision RefuseSlow(const DispatchQuery& query);
// This entry leaves before it could end. The caller can try another at once.
DispatchDecision RefuseLeaving(const DispatchQuery& query);
// It may be sent to no backend again.
DispatchDecision RefuseAllTried(const DispatchQuery& query);
// Its service has no backends, and is expected to get one after `wait`.
DispatchDecision RefuseNoBackend(const DispatchQuery& query, Duration wait);
// It can't start in time, as its turn is expected after `wait`.
DispatchDecision RefuseLate(const DispatchQuery& query, Duration wait);
// The same where backends state request limits. Spreads the callers' returns,
// as these come at once when a limit ends.
DispatchDecision RefuseLimited(const DispatchQuery& query, Duration wait,
                               Random& random);

}  // namespace mangohold
