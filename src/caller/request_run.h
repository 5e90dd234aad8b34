// One caller's request on its way through an entry: it carries out the steps of
// the attempt policy and relays the answer.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "caller/entry_context.h"
#include "core/clock.h"
#include "core/ids.h"
#include "net/graceful_stop.h"
#include "net/http_server.h"
#include "peer/http2_session.h"
#include "peer/messages.h"
#include "routing/attempt_policy.h"

namespace mangohold {

// A caller's request after its fields have been checked.
struct CallerRequest {
  RequestId id;
  ServiceName service;
  WorkspaceName workspace;
  std::string method;
  std::string target;  // path with query, as the backend server sees it
  std::string content_type;
  std::string body;
  std::string ticket;  // empty unless the caller holds one
  Priority priority = Priority::kNormal;
  Millis deadline{0};  // time left at arrival
  bool is_repeatable = false;
  int max_attempts = 1;
  int retry_budget_percent = 0;
  std::uint64_t prefix = 0;  // hash of the prompt's beginning, or 0
};

class RequestRun : public std::enable_shared_from_this<RequestRun> {
 public:
  RequestRun(std::shared_ptr<EntryContext> context, CallerRequest request,
             std::shared_ptr<HttpExchange> exchange);
  ~RequestRun();

  void Start();
  // The process is about to end: tells the caller what is known of its request.
  void EndForLeaving();
  // Adds what this request is owed.
  void CountIn(OwedAnswers& owed) const;

 private:
  void Do(const Action& action);
  // Chooses an agent for the next attempt. Returns false if there is none or
  // the retry budget is used up; the policy has been told.
  bool ChooseAgent();
  void Mint();
  void OnTicketReply(const std::optional<std::string>& message);
  void SubmitNew();
  void SubmitTicket();
  void Submit();
  void VoidTicket();
  void OnHead(const HttpFields& head);
  void OnData(std::string_view data);
  void OnEnd(const HttpFields& trailers);
  // Ends a request whose answer can't be kept. The rest of it isn't read.
  void GiveUpAnswer(Reason reason);
  void DropStream();
  void OnBroken();
  void OnCallerGone();
  void OnDeadline();
  // Ends the attempt in progress and does what the policy says of `event`.
  void Break(Action (AttemptPolicy::*event)());
  void Relay(const SubmitReply& reply);
  void RelayBytes(std::string_view data);
  void Finish(const Action& action);
  void FinishAnswer();
  void FinishRefusal(const Action& action);
  void EndAttempt(AttemptResult result);
  SubmitRequest ToMessage() const;
  HttpFields AnswerFields(Outcome outcome, Reason reason) const;
  Millis TimeLeft() const;

  std::shared_ptr<EntryContext> shared_context_;
  EntryContext& context_;
  CallerRequest request_;
  std::shared_ptr<HttpExchange> exchange_;
  AttemptPolicy policy_;
  TimePoint arrived_at_;
  TimePoint deadline_;
  Timer deadline_timer_;
  std::vector<InstanceId> tried_;
  InstanceId agent_;  // of the attempt in progress
  bool has_attempt_ = false;
  PeerLinkPtr link_;
  std::string ticket_;
  Http2StreamPtr stream_;
  // The answer: an event stream is relayed as it comes, any other is gathered
  // first, so that the caller gets all of it or a refusal.
  int http_status_ = 0;
  std::string content_type_;
  bool is_event_stream_ = false;
  std::string gathered_;
  std::uint64_t body_bytes_ = 0;
};

}  // namespace mangohold
