// The course of one request over its attempts: what to do next after each
// event, and which outcome may honestly be told.
#pragma once

#include "backend/ticket.h"
#include "core/clock.h"
#include "core/outcome.h"

namespace mangohold {

// What the entry is to do next.
enum class Step {
  kMint,          // choose an agent and ask it for a ticket
  kSubmit,        // choose an agent and submit without a ticket
  kSubmitTicket,  // submit under the ticket in hand, at its agent
  kVoid,          // ask the ticket's agent to void it
  kRelay,         // pass the answer's bytes on
  kFinish,        // the request has ended with `outcome`
  kNone           // the event came too late to matter
};

struct Action {
  Step step = Step::kNone;
  Outcome outcome = Outcome::kUnknown;  // for kFinish
  Reason reason = Reason::kNone;        // for kFinish
  Millis retry_after{0};                // for kFinish
};

// A request that is `repeatable` may be tried again after an attempt of
// uncertain fate; any other runs under a single-use ticket and is tried again
// only once it is certain that it has not run. A ticket that the caller holds
// is never exchanged for another one: the caller may present it again through
// another entry, and would be told "not run" although this entry had run the
// request under the new ticket.
class AttemptPolicy {
 public:
  struct Options {
    bool is_repeatable = false;
    bool has_caller_ticket = false;
    int max_attempts = 3;
  };

  explicit AttemptPolicy(Options options) : options_(options) {}

  // The first step.
  Action Begin();
  // A ticket was granted.
  Action OnMinted();
  // The agent refused: nothing of this attempt has run, and under a ticket
  // nothing will. `may_have_run` tells of an earlier submission of the ticket.
  Action OnRefused(Reason reason, bool may_have_run, Millis retry_after);
  // No agent could be chosen, or the chosen one couldn't be reached, so that
  // nothing was sent in this attempt.
  Action OnNotSent(Reason reason, Millis retry_after);
  // The link broke before the answer's head arrived.
  Action OnLinkBroken();
  // The agent's word on a ticket that was to be voided.
  Action OnVoided(TicketState state);
  // The void couldn't be confirmed.
  Action OnVoidFailed();
  // The backend server's answer has begun.
  Action OnResponseHead();
  // The answer ended; whole or broken off.
  Action OnResponseEnd(bool is_complete, Reason reason);
  Action OnDeadline();
  // No further attempt may be made, because the budget is used up.
  Action OnBudgetExhausted();

  // True if the next kMint or kSubmit is a retry.
  bool is_retry() const { return attempts_ > 1; }
  // The reason of the last failed attempt.
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

  Action Next();
  Action SubmitTicket();
  bool IsCertainlyNotRun(Reason reason) const;
  Action Finish(Outcome outcome, Reason reason, Millis retry_after = Millis(0));
  Action Retry(Reason reason, Millis retry_after);

  Options options_;
  Phase phase_ = Phase::kIdle;
  int attempts_ = 0;
  // Times that the ticket in hand was presented to its agent.
  int submissions_ = 0;
  // An attempt may have run the request. Once set, the request can end as
  // answered or unknown only.
  bool may_have_run_ = false;
  Reason last_reason_ = Reason::kNone;
  Millis last_retry_after_{0};
};

}  // namespace mangohold
