#include "routing/attempt_policy.h"

#include <algorithm>
#include <array>

namespace mangohold {
namespace {

// Failures that another agent may not repeat. Any other is the fault of the
// request or would be the same at every agent.
constexpr std::array kRetryableReasons = {
    Reason::kTicketVoid,          Reason::kTicketUnknown,
    Reason::kTicketMismatch,      Reason::kConfigurationUnknown,
    Reason::kStaleConfiguration,  Reason::kZoneOut,
    Reason::kBackendLeaving,      Reason::kBackendRefused,
    Reason::kBackendUnreachable,  Reason::kQueueFull,
    Reason::kDeadlineUnreachable, Reason::kAgentUnreachable,
    Reason::kLinkBroken,          Reason::kBackendFailed,
};

bool IsRetryable(Reason reason) {
  return std::ranges::find(kRetryableReasons, reason) !=
         kRetryableReasons.end();
}

}  // namespace

Action AttemptPolicy::Begin() { return Next(); }

Action AttemptPolicy::Next() {
  ++attempts_;
  submissions_ = 0;
  if (options_.has_caller_ticket) return SubmitTicket();
  if (options_.is_repeatable) {
    phase_ = Phase::kSubmitted;
    return {.step = Step::kSubmit};
  }
  phase_ = Phase::kMinting;
  return {.step = Step::kMint};
}

Action AttemptPolicy::Finish(Outcome outcome, Reason reason,
                             Millis retry_after) {
  phase_ = Phase::kFinished;
  return {.step = Step::kFinish,
          .outcome = outcome,
          .reason = reason,
          .retry_after = retry_after};
}

Action AttemptPolicy::Retry(Reason reason, Millis retry_after) {
  last_reason_ = reason;
  last_retry_after_ = retry_after;
  const bool may_retry = IsRetryable(reason) && !options_.has_caller_ticket &&
                         attempts_ < options_.max_attempts;
  if (may_retry) return Next();
  return Finish(may_have_run_ ? Outcome::kUnknown : Outcome::kNotRun, reason,
                retry_after);
}

Action AttemptPolicy::OnMinted() {
  if (phase_ != Phase::kMinting) return {};
  return SubmitTicket();
}

Action AttemptPolicy::SubmitTicket() {
  ++submissions_;
  phase_ = Phase::kSubmitted;
  return {.step = Step::kSubmitTicket};
}

// An agent that doesn't know a fresh ticket has restarted since it minted it.
// If only this entry has presented the ticket, and this was the first time, the
// request has not run under it.
bool AttemptPolicy::IsCertainlyNotRun(Reason reason) const {
  return reason == Reason::kTicketUnknown && !options_.has_caller_ticket &&
         submissions_ == 1;
}

Action AttemptPolicy::OnRefused(Reason reason, bool may_have_run,
                                Millis retry_after) {
  if (phase_ != Phase::kSubmitted && phase_ != Phase::kMinting) return {};
  if (may_have_run && !IsCertainlyNotRun(reason)) {
    may_have_run_ = true;
    if (!options_.is_repeatable || options_.has_caller_ticket) {
      return Finish(Outcome::kUnknown, reason, retry_after);
    }
  }
  return Retry(reason, retry_after);
}

// A caller's ticket may have been used through another entry, so the outcome is
// unknown if its agent is unreachable. Without a caller's ticket this attempt
// certainly has not run.
Action AttemptPolicy::OnNotSent(Reason reason, Millis retry_after) {
  if (phase_ == Phase::kFinished) return {};
  if (options_.has_caller_ticket) {
    return Finish(Outcome::kUnknown, reason, retry_after);
  }
  // If no untried backend is left, the reason of the last failure tells the
  // caller more than kNoBackend.
  const bool was_refused = last_reason_ != Reason::kNone;
  if (reason == Reason::kNoBackend && was_refused) {
    return Finish(may_have_run_ ? Outcome::kUnknown : Outcome::kNotRun,
                  last_reason_, std::max(retry_after, last_retry_after_));
  }
  return Retry(reason, retry_after);
}

Action AttemptPolicy::OnLinkBroken() {
  switch (phase_) {
    case Phase::kMinting:
      return Retry(Reason::kLinkBroken, Millis(0));
    case Phase::kSubmitted:
      if (options_.is_repeatable && !options_.has_caller_ticket) {
        may_have_run_ = true;
        return Retry(Reason::kLinkBroken, Millis(0));
      }
      phase_ = Phase::kVoiding;
      return {.step = Step::kVoid};
    case Phase::kVoiding:
      return OnVoidFailed();
    case Phase::kRelaying:
      return OnResponseEnd(/*is_complete=*/false, Reason::kLinkBroken);
    default:
      return {};
  }
}

// A confirmed void means that the request has not run under this ticket and
// never will. If the request has ended, the agent may have kept the response:
// submitting the ticket once more fetches it.
Action AttemptPolicy::OnVoided(TicketState state) {
  if (phase_ != Phase::kVoiding) return {};
  if (state == TicketState::kDone && submissions_ == 1) return SubmitTicket();
  if (state != TicketState::kVoid) {
    return Finish(Outcome::kUnknown, Reason::kLinkBroken);
  }
  return Retry(Reason::kLinkBroken, Millis(0));
}

Action AttemptPolicy::OnVoidFailed() {
  if (phase_ != Phase::kVoiding) return {};
  return Finish(Outcome::kUnknown, Reason::kLinkBroken);
}

Action AttemptPolicy::OnResponseHead() {
  if (phase_ != Phase::kSubmitted) return {};
  phase_ = Phase::kRelaying;
  return {.step = Step::kRelay};
}

Action AttemptPolicy::OnResponseEnd(bool is_complete, Reason reason) {
  if (phase_ != Phase::kRelaying) return {};
  if (is_complete) return Finish(Outcome::kAnswered, Reason::kNone);
  return Finish(Outcome::kUnknown, reason);
}

// A submitted request may still run after its caller's deadline.
Action AttemptPolicy::OnDeadline() {
  if (phase_ == Phase::kFinished) return {};
  return Finish(MayHaveRunSoFar() ? Outcome::kUnknown : Outcome::kNotRun,
                Reason::kDeadlineExceeded);
}

// The status of kEntryLeaving promises that the request hasn't run.
Action AttemptPolicy::OnLeaving() {
  if (phase_ == Phase::kFinished) return {};
  return MayHaveRunSoFar() ? Finish(Outcome::kUnknown, Reason::kLinkBroken)
                           : Finish(Outcome::kNotRun, Reason::kEntryLeaving);
}

bool AttemptPolicy::MayHaveRunSoFar() const {
  return may_have_run_ || options_.has_caller_ticket ||
         phase_ == Phase::kSubmitted || phase_ == Phase::kVoiding ||
         phase_ == Phase::kRelaying;
}

Action AttemptPolicy::OnBudgetExhausted() {
  if (phase_ == Phase::kFinished) return {};
  return Finish(may_have_run_ ? Outcome::kUnknown : Outcome::kNotRun,
                Reason::kRetryBudget, last_retry_after_);
}

}  // namespace mangohold
