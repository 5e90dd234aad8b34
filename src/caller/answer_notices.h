// Passes on what the head of an answer says of its backend server: that it is
// leaving, for how long it wants no requests, and the request rate that it
// bears.
#pragma once

#include "caller/dialect.h"
#include "caller/forward_context.h"
#include "core/clock.h"
#include "core/ids.h"

namespace mangohold {

// The attempt whose answer it is.
struct AnsweredAttempt {
  const InstanceId& backend;
  const RequestId& request;
  TimePoint sent_at;
  Revision sent_by;  // the view by which the backend server was chosen
};

void TakeNotices(ForwardContext& context, const AnswerFields& answer,
                 const AnsweredAttempt& attempt, TimePoint now);

}  // namespace mangohold
