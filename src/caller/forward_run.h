// One caller's request on the direct way to a backend server, from its arrival
// to its one final answer.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "backend/backend_connection.h"
#include "caller/answer_relay.h"
#include "caller/caller_connection.h"
#include "caller/crash_watch.h"
#include "caller/forward_context.h"
#include "caller/forward_job.h"
#include "caller/request_retries.h"
#include "net/graceful_stop.h"
#include "routing/direct_policy.h"

namespace mangohold {

class ForwardRun : public BackendListener,
                   public std::enable_shared_from_this<ForwardRun> {
 public:
  using Job = ForwardJob;

  ForwardRun(ForwardContext& context, CallerConnection::Ptr caller, Job job);

  void Start();
  void OnDecision(const Dispatcher::Decision& decision);
  // Ends the request if its time is up, and leaves a backend server that stands
  // still.
  void OnTick(TimePoint now);
  // The process is about to end: tells the caller what is known of its request,
  // or breaks off an answer that has begun.
  void EndForLeaving();
  // Adds what this request is owed.
  void CountIn(OwedAnswers& owed) const;
  // The attempt in progress, by which the dispatcher names this request.
  AttemptNumber attempt() const { return attempt_; }
  bool is_finished() const { return phase_ == Phase::kFinished; }

  bool IsStillWanted() const override;
  bool IsOwnResponse(int status, const HttpFields& fields) const override;
  void OnBackendHead(int status, const HttpFields& fields) override;
  void OnBackendBody(std::string_view data) override;
  void OnBackendEnd() override;
  void OnBackendFailure(ExchangeFailure failure) override;

 private:
  enum class Phase {
    kHeld,     // until it is known whether it crashed a backend server
    kWaiting,  // for a backend server
    kSent,
    kFinished
  };

  void OnEvicted();
  void Submit();
  bool PassesCrashCheck(TimePoint now);
  void RefuseIfBlocked(TimePoint now);
  void Send(const BackendRecord& backend);
  void LogSend(TimePoint now) const;
  void LogHead() const;
  void LogNoAnswer() const;
  HttpFields FieldsFor(const BackendRecord& backend, TimePoint now) const;
  // The caller got further events of a stream.
  void OnEvents();
  // Gives up the answer in progress, as if its connection had broken.
  void DropAnswer();
  void OnNotRun();
  void OnWholeAnswer();
  Dispatcher::Result JudgeFailure();
  void Deliver();
  // The attempt came to nothing.
  void OnAttemptFailed(DirectPolicy::Next next, Reason reason);
  void EndAttempt(Dispatcher::Result result);
  bool IsStuck(TimePoint now);
  void LeaveStuckBackend();
  void GiveUp(Outcome outcome, Reason reason, Millis retry_after);
  void OnCallerGone();
  void DropBackend();
  void Finish(Outcome outcome, Reason reason, int status);

  ForwardContext& context_;
  CallerConnection::Ptr caller_;
  Job job_;  // its message without the body
  // Kept for a retry, and shared with the attempt that sends it.
  std::shared_ptr<const std::string> request_body_;
  MemoryBudget::Holder memory_;
  DirectPolicy policy_;
  RequestRetries retries_;
  CrashWatch crashes_;
  AnswerRelay relay_;
  TimePoint deadline_;
  Phase phase_ = Phase::kWaiting;
  AttemptNumber attempt_;
  std::optional<Reason> retry_reason_;  // of the attempt before; absent: none
  BackendRecord backend_;  // of the attempt in progress, or the last one
  int cached_tokens_ = 0;  // of the prompt, which it should have cached
  BackendConnection::Ptr connection_;
  std::vector<InstanceId> tried_;
  // The first backend server that answered with a failure of its own.
  std::optional<InstanceId> failed_by_;
  TimePoint sent_at_;
  Revision sent_by_;  // the view by which the backend server was chosen
  std::optional<TimePoint> last_event_at_;  // of this attempt
  AnswerFields answer_;                     // what the answer in progress says
  bool has_bytes_ = false;  // this attempt has brought bytes of its answer
};

}  // namespace mangohold
