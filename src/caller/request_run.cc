#include "caller/request_run.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "core/log.h"

namespace mangohold {
namespace {

// The agent's own word on a missed deadline is waited for this long.
constexpr Duration kDeadlineGrace = std::chrono::milliseconds(50);
// A void is confirmed within this time or not at all.
constexpr Duration kVoidLimit = std::chrono::milliseconds(1'000);
constexpr std::size_t kMostGatheredBytes = 4U << 20U;
// A string that grows has up to twice its size.
constexpr std::size_t kCopiesOfAnswer = 2;
constexpr std::string_view kEventStream = "text/event-stream";

std::int64_t WholeSeconds(Millis millis) {
  return (millis.count() + 999) / 1000;
}

std::string RefusalBody(const CallerRequest& request, const Action& action) {
  return nlohmann::json{{"outcome", Name(action.outcome)},
                        {"reason", Name(action.reason)},
                        {"request_id", request.id.value()},
                        {"retry_after_ms", action.retry_after.count()}}
             .dump() +
         '\n';
}

// Tells a reader of an event stream that no more will come and why. The empty
// lines end whatever event was cut off.
std::string BrokenStreamEvent(const CallerRequest& request,
                              const Action& action) {
  return "\n\nevent: mangohold-error\ndata: " + RefusalBody(request, action) +
         '\n';
}

}  // namespace

PeerLinkPtr EntryContext::LinkTo(const InstanceId& backend) const {
  const auto it = links.find(backend);
  return it == links.end() ? nullptr : it->second;
}

RequestRun::RequestRun(std::shared_ptr<EntryContext> context,
                       CallerRequest request,
                       std::shared_ptr<HttpExchange> exchange)
    : shared_context_(std::move(context)),
      context_(*shared_context_),
      request_(std::move(request)),
      exchange_(std::move(exchange)),
      policy_({.is_repeatable = request_.is_repeatable,
               .has_caller_ticket = !request_.ticket.empty(),
               .max_attempts = request_.max_attempts}),
      arrived_at_(Clock::now()),
      deadline_(arrived_at_ + request_.deadline),
      deadline_timer_(context_.loop),
      ticket_(request_.ticket) {
  ++context_.requests;
  context_.runs.insert(this);
  ++context_.in_flight[request_.workspace];
}

RequestRun::~RequestRun() {
  --context_.requests;
  context_.runs.erase(this);
  const auto count = context_.in_flight.find(request_.workspace);
  if (--count->second == 0) context_.in_flight.erase(count);
}

void RequestRun::Start() {
  // The exchange holds the request until it has ended.
  exchange_->SetOnClosed([self = shared_from_this()] { self->OnCallerGone(); });
  deadline_timer_.Start(request_.deadline + kDeadlineGrace,
                        [this] { OnDeadline(); });
  context_.budgets[{request_.workspace, request_.service}].OnRequest(
      request_.retry_budget_percent);
  Do(policy_.Begin());
}

void RequestRun::Do(const Action& action) {
  switch (action.step) {
    case Step::kMint:
      return Mint();
    case Step::kSubmit:
      return SubmitNew();
    case Step::kSubmitTicket:
      return SubmitTicket();
    case Step::kVoid:
      return VoidTicket();
    case Step::kFinish:
      return Finish(action);
    case Step::kRelay:
    case Step::kNone:
      return;
  }
}

bool RequestRun::ChooseAgent() {
  if (policy_.is_retry()) {
    auto& budget = context_.budgets[{request_.workspace, request_.service}];
    if (!budget.TryRetry()) {
      Do(policy_.OnBudgetExhausted());
      return false;
    }
    context_.counters.CountRetry(policy_.last_reason());
  }
  const InstanceId chosen = context_.router
                                .Choose({.service = request_.service,
                                         .tried = tried_,
                                         .prefix = request_.prefix},
                                        Clock::now())
                                .value_or(InstanceId());
  const PeerLinkPtr link = context_.LinkTo(chosen);
  if (link == nullptr) {
    Do(policy_.OnNotSent(Reason::kNoBackend,
                         context_.router.RetryAfter(request_.service)));
    return false;
  }
  agent_ = chosen;
  link_ = link;
  tried_.push_back(agent_);
  has_attempt_ = true;
  context_.router.OnSent(agent_);
  return true;
}

void RequestRun::EndAttempt(AttemptResult result) {
  if (!has_attempt_) return;
  has_attempt_ = false;
  context_.router.OnEnded(agent_, result, Clock::now());
}

void RequestRun::Mint() {
  if (!ChooseAgent()) return;
  link_->Call(kTicketPath, Encode(TicketRequest{.service = request_.service}),
              [self = shared_from_this(),
               link = link_](const std::optional<std::string>& message) {
                if (self->link_ == link) self->OnTicketReply(message);
              });
}

void RequestRun::OnTicketReply(const std::optional<std::string>& message) {
  if (policy_.is_finished()) return;
  const auto reply =
      message
          ? Decode<TicketReply>(*message)
          : absl::StatusOr<TicketReply>(absl::UnavailableError("link broken"));
  if (!reply.ok()) {
    EndAttempt(AttemptResult::kFailed);
    return Do(policy_.OnLinkBroken());
  }
  context_.router.OnStatus(agent_, reply->status);
  if (reply->reason != Reason::kNone) {
    EndAttempt(AttemptResult::kRefused);
    return Do(policy_.OnRefused(reply->reason, /*may_have_run=*/false,
                                reply->retry_after));
  }
  ticket_ = reply->ticket;
  Do(policy_.OnMinted());
}

void RequestRun::SubmitNew() {
  if (!ChooseAgent()) return;
  ticket_.clear();
  Submit();
}

// A caller's ticket names its agent, and only there does it mean anything.
void RequestRun::SubmitTicket() {
  if (!request_.ticket.empty() && link_ == nullptr) {
    const auto ticket = TicketFromText(request_.ticket);
    if (!ticket.ok()) {
      return Do(policy_.OnRefused(Reason::kTicketMismatch,
                                  /*may_have_run=*/false, Millis(0)));
    }
    link_ = context_.LinkTo(ticket->agent);
    if (link_ == nullptr) {
      return Do(policy_.OnNotSent(Reason::kAgentUnreachable, Millis(0)));
    }
  }
  Submit();
}

SubmitRequest RequestRun::ToMessage() const {
  return {.request = request_.id,
          .service = request_.service,
          .workspace = request_.workspace,
          .method = request_.method,
          .target = request_.target,
          .content_type = request_.content_type,
          .deadline = TimeLeft(),
          .priority = request_.priority,
          .ticket = ticket_,
          .configuration_revision = context_.configuration->complete_through};
}

void RequestRun::Submit() {
  const auto self = shared_from_this();
  stream_ = link_->Open(
      kSubmitPath, Encode(ToMessage()),
      {.on_head = [self](const HttpFields& head) { self->OnHead(head); },
       .on_data = [self](std::string_view data) { self->OnData(data); },
       .on_end = [self](const HttpFields& fields) { self->OnEnd(fields); },
       .on_broken = [self] { self->OnBroken(); },
       .on_writable = nullptr});
  if (stream_ == nullptr) {
    EndAttempt(AttemptResult::kFailed);
    return Do(policy_.OnNotSent(Reason::kAgentUnreachable, Millis(0)));
  }
  stream_->SendData(request_.body);
  stream_->SendEnd();
}

void RequestRun::OnHead(const HttpFields& head) {
  const auto reply = Decode<SubmitReply>(FieldValue(head, kMessageField));
  if (!reply.ok()) {
    stream_->Reset();
    return OnBroken();
  }
  context_.router.OnStatus(agent_, reply->status);
  if (reply->reason != Reason::kNone) {
    DropStream();
    EndAttempt(reply->may_have_run ? AttemptResult::kFailed
                                   : AttemptResult::kRefused);
    return Do(policy_.OnRefused(reply->reason, reply->may_have_run,
                                reply->retry_after));
  }
  if (policy_.OnResponseHead().step == Step::kRelay) Relay(*reply);
}

void RequestRun::Relay(const SubmitReply& reply) {
  http_status_ = reply.http_status;
  content_type_ = reply.content_type;
  is_event_stream_ = content_type_.starts_with(kEventStream);
  if (!is_event_stream_) return;
  exchange_->StartStream(http_status_,
                         AnswerFields(Outcome::kAnswered, Reason::kNone));
}

void RequestRun::OnData(std::string_view data) {
  body_bytes_ += data.size();
  if (is_event_stream_) return RelayBytes(data);
  stream_->Consume(data.size());
  const std::size_t size = gathered_.size() + data.size();
  if (size > kMostGatheredBytes) return GiveUpAnswer(Reason::kAnswerTooLarge);
  if (!exchange_->HoldAnswer(kCopiesOfAnswer * size)) {
    return GiveUpAnswer(Reason::kAnswerNotKept);
  }
  gathered_.append(data);
}

void RequestRun::GiveUpAnswer(Reason reason) {
  const auto keep = shared_from_this();
  std::string().swap(gathered_);
  exchange_->HoldAnswer(0);
  stream_->Reset();
  stream_.reset();
  EndAttempt(AttemptResult::kRefused);
  Do(policy_.OnResponseEnd(/*is_complete=*/false, reason));
}

// The agent's window reopens only when the caller's connection has taken the
// bytes, so that a slow caller slows the engine instead of filling memory.
void RequestRun::RelayBytes(std::string_view data) {
  exchange_->Write(std::string(data), [stream = stream_, size = data.size()] {
    stream->Consume(size);
  });
}

// An answer is whole only if the agent says so and the bytes agree.
void RequestRun::OnEnd(const HttpFields& trailers) {
  const auto end = Decode<SubmitTrailer>(FieldValue(trailers, kMessageField));
  if (!end.ok()) return OnBroken();
  context_.router.OnStatus(agent_, end->status);
  EndAttempt(end->is_complete ? AttemptResult::kServed
                              : AttemptResult::kFailed);
  const bool is_whole = end->is_complete && end->body_bytes == body_bytes_;
  Do(policy_.OnResponseEnd(is_whole, end->reason));
}

// Forgets the present submission. A refused one ends its stream after its
// head, when the next may be under way already; what still comes is dropped.
void RequestRun::DropStream() {
  if (stream_ == nullptr) return;
  stream_->SetHandlers(
      {.on_head = [context = shared_context_](const HttpFields&) {
        context->counters.Count(Event::kLateAnswersDropped);
      }});
  stream_.reset();
}

void RequestRun::OnBroken() {
  EndAttempt(AttemptResult::kFailed);
  DropStream();
  Do(policy_.OnLinkBroken());
}

void RequestRun::VoidTicket() {
  link_->WhenUp(kVoidLimit, [self = shared_from_this()](bool is_up) {
    if (self->policy_.is_finished()) return;
    if (!is_up) return self->Do(self->policy_.OnVoidFailed());
    self->link_->Call(
        kVoidPath, Encode(VoidRequest{.ticket = self->ticket_}),
        [self](const std::optional<std::string>& message) {
          if (self->policy_.is_finished()) return;
          const auto reply = Decode<VoidReply>(message.value_or(std::string()));
          self->Do(reply.ok() ? self->policy_.OnVoided(reply->state)
                              : self->policy_.OnVoidFailed());
        });
  });
}

void RequestRun::OnCallerGone() {
  if (policy_.is_finished()) return;
  context_.counters.CountRefusal(Reason::kCallerGone);
  if (stream_ != nullptr) stream_->Reset();
  stream_.reset();
  EndAttempt(AttemptResult::kRefused);
  const Action end = policy_.OnDeadline();
  context_.counters.CountOutcome(end.outcome);
  Log(LogLevel::kInfo, "caller_gone",
      {{"request_id", request_.id.value()}, {"outcome", Name(end.outcome)}});
  deadline_timer_.Cancel();
}

void RequestRun::OnDeadline() { Break(&AttemptPolicy::OnDeadline); }

void RequestRun::EndForLeaving() { Break(&AttemptPolicy::OnLeaving); }

void RequestRun::Break(Action (AttemptPolicy::*event)()) {
  if (policy_.is_finished()) return;
  const auto keep = shared_from_this();
  if (stream_ != nullptr) stream_->Reset();
  stream_.reset();
  EndAttempt(AttemptResult::kFailed);
  Do((policy_.*event)());
}

void RequestRun::CountIn(OwedAnswers& owed) const {
  if (policy_.is_finished()) return;
  ++(is_event_stream_ ? owed.begun : has_attempt_ ? owed.sent : owed.waiting);
}

void RequestRun::Finish(const Action& action) {
  context_.counters.CountOutcome(action.outcome);
  context_.counters.Record(Timing::kRequest, Clock::now() - arrived_at_);
  Log(LogLevel::kInfo, "request_done",
      {{"request_id", request_.id.value()},
       {"service", request_.service.value()},
       {"workspace", request_.workspace.value()},
       {"outcome", Name(action.outcome)},
       {"reason", Name(action.reason)},
       {"agent", agent_.value()},
       {"attempts", tried_.size()},
       {"took_ms", ToMillis(Clock::now() - arrived_at_)}});
  if (action.outcome == Outcome::kAnswered) {
    context_.router.RememberPrefix(request_.prefix, agent_);
    FinishAnswer();
  } else {
    context_.counters.CountRefusal(action.reason);
    FinishRefusal(action);
  }
  deadline_timer_.Cancel();
  exchange_.reset();
}

void RequestRun::FinishAnswer() {
  if (is_event_stream_) {
    exchange_->Finish();
  } else {
    exchange_->Reply(http_status_,
                     AnswerFields(Outcome::kAnswered, Reason::kNone),
                     std::move(gathered_));
  }
}

void RequestRun::FinishRefusal(const Action& action) {
  if (is_event_stream_) {
    exchange_->Write(BrokenStreamEvent(request_, action), nullptr);
    exchange_->Finish();
    return;
  }
  HttpFields fields = AnswerFields(action.outcome, action.reason);
  fields.push_back({"Content-Type", "application/json"});
  if (action.retry_after.count() > 0) {
    fields.push_back(
        {"Retry-After", std::to_string(WholeSeconds(action.retry_after))});
  }
  exchange_->Reply(HttpStatus(action.reason), fields,
                   RefusalBody(request_, action));
}

HttpFields RequestRun::AnswerFields(Outcome outcome, Reason reason) const {
  HttpFields fields = {{"Mangohold-Request-Id", request_.id.value()},
                       {"Mangohold-Outcome", std::string(Name(outcome))}};
  if (outcome == Outcome::kAnswered) {
    if (!content_type_.empty()) {
      fields.push_back({"Content-Type", content_type_});
    }
  } else {
    fields.push_back({"Mangohold-Reason", std::string(Name(reason))});
  }
  return fields;
}

Millis RequestRun::TimeLeft() const {
  return std::max(std::chrono::duration_cast<Millis>(deadline_ - Clock::now()),
                  Millis(1));
}

}  // namespace mangohold
