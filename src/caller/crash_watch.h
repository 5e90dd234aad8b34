// What one request tells the poison detector, attempt by attempt, and learns
// from it.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "caller/forward_context.h"
#include "core/clock.h"
#include "core/ids.h"
#include "routing/poison_detector.h"
#include "store/backend_record.h"

namespace mangohold {

// Belongs to the traffic thread.
class CrashWatch {
 public:
  // `digest` tells what the request is; it is called when that matters.
  CrashWatch(ForwardContext& context, RequestId request,
             const std::vector<PromptPart>& parts,
             std::function<RequestDigest()> digest);

  // Whether the request may be sent.
  PoisonDetector::Verdict Judge(TimePoint now);
  // Why it may not.
  Reason ReasonOfBlock(TimePoint now);
  // The request, if it was at a backend server when it crashed, and hasn't
  // been answered since.
  std::optional<RequestDigest> SuspectedRequest(TimePoint now);
  // Time until the request that is blocked may be tried again.
  Millis BlockedFor(TimePoint now);

  // The request is sent; its stream has had so many events so far.
  void OnSend(const BackendRecord& backend, int events, TimePoint now);
  // Its stream has had so many events by now.
  void OnEvents(int events, TimePoint now);
  // Its whole answer has come. One that is no success says nothing of the
  // prompt, but that the request as such can be run.
  void OnWholeAnswer(bool is_success, TimePoint now);
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
  // The suspects; the request as a whole is among them once crashes are known.
  const Suspects& SuspectsNow();
  RequestDigest Digest();

  ForwardContext& context_;
  RequestId request_;
  Suspects suspects_;
  std::function<RequestDigest()> compute_digest_;
  std::optional<RequestDigest> digest_;
  BackendRecord backend_;  // of the attempt in progress, or the last one
  TimePoint sent_at_;
  int events_before_ = 0;      // events of earlier attempts
  bool has_progress_ = false;  // this attempt's answer went on
};

}  // namespace mangohold
