#include "caller/answer_notices.h"

#include "core/log.h"

namespace mangohold {
namespace {

// The line tells whether this entry could have known that the backend server is
// leaving when it sent the request.
void TakeLeave(ForwardContext& context, const AnswerFields& answer,
               const AnsweredAttempt& attempt, TimePoint now) {
  const auto known = context.dispatcher.LeavingSince(attempt.backend);
  context.dispatcher.OnNotice(attempt.backend, answer.is_leaving, answer.quiet,
                              now);
  if (!answer.is_leaving) return;
  const bool was_known = known && *known < attempt.sent_at;
  if (!known) context.counters.CountDeparture(DepartureWay::kAnswer);
  if (was_known) context.counters.Count(Event::kSentToLeaving);
  Log(was_known ? LogLevel::kWarning : LogLevel::kInfo, "backend_leaving",
      {{"backend", attempt.backend.value()},
       {"request", attempt.request.value()},
       {"way", Name(DepartureWay::kAnswer)},
       {"news", static_cast<int>(!known)},
       {"sent_ms_ago", ToMillis(now - attempt.sent_at)},
       {"known_ms_ago", known ? ToMillis(now - *known) : 0},
       {"sent_by_revision", attempt.sent_by.number()},
       {"revision", context.view->revision.number()}});
}

// Another backend server at the address says nothing of this one.
void TakeLimit(ForwardContext& context, const AnswerFields& answer,
               const AnsweredAttempt& attempt, TimePoint now) {
  if (answer.is_other_instance) return;
  if (answer.limit.kind == StatedLimit::Kind::kUnreadable) {
    context.counters.Count(Event::kLimitsUnreadable);
    Log(LogLevel::kWarning, "backend_limit_unreadable",
        {{"backend", attempt.backend.value()},
         {"request", attempt.request.value()}});
  }
  context.dispatcher.OnStatedLimit(attempt.backend, answer.limit,
                                   attempt.sent_at, now);
}

}  // namespace

void TakeNotices(ForwardContext& context, const AnswerFields& answer,
                 const AnsweredAttempt& attempt, TimePoint now) {
  TakeLeave(context, answer, attempt, now);
  TakeLimit(context, answer, attempt, now);
}

}  // namespace mangohold
