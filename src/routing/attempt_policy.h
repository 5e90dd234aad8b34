// Retry policy of one request that is sent to backends through agents. After
// each event it returns the entry's next step, and at the end the outcome that
// the caller is told. Does no I/O and reads no clock.
#pragma once

#include "backend/ticket.h"
#include "core/clock.h"
#include "core/outcome.h"

namespace mangohold {

// The next step of the entry.
enum class Step {
  kMint,          // choose an agent and request a ticket from it
  kSubmit,        // choose an agent and submit without a ticket
  kSubmitTicket,  // submit under the current ticket, to the agent that minted
                  // it
  kVoid,          // ask the ticket's agent to void it
  kRelay,         // relay the response to the caller
  kFinish,        // the request has ended with `outcome`
  kNone           // nothing to do: the event arrived too late to matter
};

struct Action {
  Step step = Step::kNone;
  Outcome outcome = Outcome::kUnknown;  // for kFinish
  Reason reason = Reason::kNone;        // for kFinish
  Millis retry_after{0};                // for kFinish; 0: no hint
};

// A `repeatable` (idempotent) request may be retried after an attempt with an
// unknown result. Any other request runs under a single-use ticket and is
// retried only once it is certain that it has not run.
//
// A ticket supplied by the caller is never replaced by another one: the caller
// may present it again through another entry and would then be told "not run",
// although this entry had run the request under the replacement.
class AttemptPolicy {
 public:
  struct Options {
    bool is_repeatable = false;
    bool has_caller_ticket = false;
    int max_attempts = 3;
  };

  explicit AttemptPolicy(Options options) : options_(options) {}

  // Returns the first step.
  Action Begin();
  // A ticket was minted.
  Action OnMinted();
  // The agent refused: this attempt has not run, and nothing will run under its
  // ticket. `may_have_run` is about an earlier submission of the same ticket.
  Action OnRefused(Reason reason, bool may_have_run, Millis retry_after);
  // No agent was available or the chosen one was unreachable, so this attempt
  // sent nothing.
  Action OnNotSent(Reason reason, Millis retry_after);
  // The link to the agent broke before the head of the response arrived.
  Action OnLinkBroken();
  // The agent reported the state of a ticket that it was asked to void.
  Action OnVoided(TicketState state);
  // The agent did not confirm the void.
  Action OnVoidFailed();
  // The head of the backend's response arrived.
  Action OnResponseHead();
  // The response ended. `reason` is used only if it is incomplete.
  Action OnResponseEnd(bool is_complete, Reason reason);
  // The request's deadline has passed.
  Action OnDeadline();
  // This entry is about to end.
  Action OnLeaving();
  // The retry budget does not allow another attempt.
  Action OnBudgetExhausted();

  // True if the next kMint or kSubmit is a retry.
  bool is_retry() const { return attempts_ > 1; }
  // The reason of the last failed attempt; kNone if none has failed.
  Reason last_reason() const { return last_reason_; }
  bool is_finished() const { return phase_ == Phase::kFinished; }

 private:
  enum class Phase {
    kIdle,
    kMinting,
    kSubmitted,
    kVoiding,
    kRelaying,
    kFinished
  };

  // True if an earlier attempt, or the one in progress, may have run.
  bool MayHaveRunSoFar() const;

  Action Next();
  Action SubmitTicket();
  bool IsCertainlyNotRun(Reason reason) const;
  Action Finish(Outcome outcome, Reason reason, Millis retry_after = Millis(0));
  Action Retry(Reason reason, Millis retry_after);

  Options options_;
  Phase phase_ = Phase::kIdle;
  int attempts_ = 0;
  // Submissions of the current ticket to its agent.
  int submissions_ = 0;
  // An attempt may have run the request. Once set, the outcome is either
  // answered or unknown.
  bool may_have_run_ = false;
  Reason last_reason_ = Reason::kNone;
  Millis last_retry_after_{0};
};

}  // namespace mangohold
