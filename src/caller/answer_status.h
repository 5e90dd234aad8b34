// What the head of an answer says of its kind, whoever it comes from, and the
// text of the fields that entries add.
#pragma once

#include <string>

#include "core/clock.h"
#include "net/http_message.h"

namespace mangohold {

// True for 2xx.
bool IsSuccess(int status);
// True for the statuses that promise that a request has not run.
bool PromisesNotRun(int status);
// True if the head is that of a stream of events: anything else has no place
// in one that has begun.
bool IsEventStream(int status, const HttpFields& fields);
// Seconds with milliseconds, as in "Retry-After: 0.250".
std::string SecondsText(Millis millis);

}  // namespace mangohold
