// What one request tells the poison detector of its prompt, attempt by attempt,
// and learns from it.
#pragma once

#include <vector>

#include "caller/forward_context.h"
#include "core/clock.h"
#include "core/ids.h"
#include "routing/poison_detector.h"
#include "store/backend_record.h"

namespace mangohold {

// Belongs to the traffic thread.
class PromptWatch {
 public:
  PromptWatch(ForwardContext& context, RequestId request,
              std::vector<PromptPart> parts)
      : context_(context),
        request_(std::move(request)),
        parts_(std::move(parts)) {}

  // Whether the request may be sent.
  PoisonDetector::Verdict Judge(TimePoint now) const {
    return context_.poison.Judge(parts_, now);
  }
  // Time until the request that is blocked may be tried again.
  Millis BlockedFor(TimePoint now) const;

  // The request is sent; its stream has had so many events so far.
  void OnSend(const BackendRecord& backend, int events, TimePoint now);
  // Its stream has had so many events by now.
  void OnEvents(int events, TimePoint now);
  // Its whole answer was a success.
  void OnSuccess(TimePoint now) { NoteProgress(now); }
  // Its connection broke after so many events.
  void OnBroken(int events, TimePoint now);
  // The backend server refuses connections.
  void OnUnreachable(TimePoint now) {
    context_.poison.OnGone(backend_.id, now);
  }

 private:
  // The backend server has gone on after the begin of its answer, so that the
  // prompt doesn't crash it.
  void NoteProgress(TimePoint now);

  ForwardContext& context_;
  RequestId request_;
  std::vector<PromptPart> parts_;
  BackendRecord backend_;  // of the attempt in progress, or the last one
  TimePoint sent_at_;
  int events_before_ = 0;      // events of earlier attempts
  bool has_progress_ = false;  // this attempt's answer went on
};

}  // namespace mangohold
