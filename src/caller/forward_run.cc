#include "caller/forward_run.h"

#include <algorithm>
#include <utility>

#include "caller/answer_notices.h"
#include "caller/answer_status.h"
#include "core/log.h"
#include "net/http1_text.h"

namespace mangohold {
namespace {

constexpr int kLeastFailure = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kMostPriority = 9;
constexpr Millis kConfirmationRetry{500};
// Callers of an entry that leaves come back to another one.
constexpr Millis kLeavingRetry{100};

constexpr Millis kMemoryRetry{1'000};

}  // namespace

ForwardRun::ForwardRun(ForwardContext& context, CallerConnection::Ptr caller,
                       Job job)
    : context_(context),
      caller_(std::move(caller)),
      job_(std::move(job)),
      request_body_(std::make_shared<const std::string>(
          std::exchange(job_.message.body, {}))),
      memory_(
          context.memory, [this](Eviction) { OnEvicted(); },
          job_.message.arrived),
      policy_({.is_repeatable = job_.route->IsRepeatable(),
               .max_attempts = job_.route->max_attempts}),
      retries_(context, job_.fields.id, job_.service),
      crashes_(context, job_.fields.id, job_.fields.shared_parts,
               [this] { return DigestOf(job_, *request_body_); }),
      relay_(caller_,
             {.is_repeatable = job_.route->IsRepeatable(),
              .is_stream = job_.route->kind == RouteKind::kStream,
              .is_head = job_.message.method == "HEAD",
              .last_event_id = job_.fields.last_event_id,
              .request_bytes = request_body_->size()},
             memory_),
      deadline_(DeadlineOf(job_)) {
  memory_.Set(request_body_->size());
}

// Others need the memory. Called only while no attempt is in progress.
void ForwardRun::OnEvicted() {
  if (phase_ != Phase::kHeld && phase_ != Phase::kWaiting) return;
  DropBackend();
  GiveUp(policy_.GiveUpOutcome(), Reason::kMemoryLimit, kMemoryRetry);
}

void ForwardRun::Start() {
  context_.counters.Count(Event::kRequests);
  retries_.OnRequest(BootNow());
  caller_->SetListener({.on_gone =
                            [weak = weak_from_this()] {
                              const auto self = weak.lock();
                              if (self != nullptr) self->OnCallerGone();
                            },
                        .on_drained =
                            [weak = weak_from_this()] {
                              const auto self = weak.lock();
                              if (self != nullptr &&
                                  self->connection_ != nullptr) {
                                self->connection_->Resume();
                              }
                            }});
  Submit();
}

// Refuses the request if it, or a part of its prompt, crashes backend servers.
// Holds it back while that is open. Returns true if it may be sent now.
bool ForwardRun::PassesCrashCheck(TimePoint now) {
  switch (crashes_.Judge(now)) {
    case PoisonDetector::Verdict::kPass:
      return true;
    case PoisonDetector::Verdict::kHold:
      phase_ = Phase::kHeld;
      return false;
    case PoisonDetector::Verdict::kBlock:
      GiveUp(policy_.GiveUpOutcome(), crashes_.ReasonOfBlock(now),
             crashes_.BlockedFor(now));
      return false;
  }
  return true;
}

void ForwardRun::Submit() {
  memory_.Protect(relay_.has_begun() ? Protection::kFull : Protection::kNone);
  if (!PassesCrashCheck(BootNow())) return;
  phase_ = Phase::kWaiting;
  attempt_ = context_.last_attempt = context_.last_attempt.Next();
  context_.dispatcher.Submit(
      {.number = attempt_,
       .service = job_.service,
       .priority = PriorityOf(job_),
       .workspace =
           job_.workspace == nullptr ? WorkspaceName() : job_.workspace->name,
       .prompt_tokens = job_.fields.prompt_tokens.value_or(0),
       .start_deadline =
           relay_.has_begun() ? deadline_ : GiveUpTimeOf(job_, deadline_),
       .deadline = deadline_,
       .target_start = job_.message.arrived + job_.route->target_latency,
       .expected_events = relay_.has_begun() ? 0 : ExpectedEventsOf(job_),
       .tried = tried_,
       .is_repeatable = job_.route->IsRepeatable(),
       .is_retry = policy_.sends() > 0,
       .has_begun = relay_.has_begun(),
       .zones = job_.zones,
       .crash_suspect = crashes_.SuspectedRequest(BootNow()),
       .prefix = job_.fields.prefix});
  context_.request_decisions();
}

void ForwardRun::OnDecision(const Dispatcher::Decision& decision) {
  if (phase_ != Phase::kWaiting) return;
  if (!decision.backend) {
    return GiveUp(policy_.GiveUpOutcome(), decision.reason,
                  decision.retry_after);
  }
  phase_ = Phase::kSent;
  backend_ = *decision.backend;
  cached_tokens_ = decision.cached_tokens;
  if (!PassesCrashCheck(BootNow())) {
    return EndAttempt(Dispatcher::Result::kCancelled);
  }
  // Checked right before the send: the process may have been suspended since
  // the request was read.
  if (job_.workspace != nullptr && !context_.IsConfirmed(BootNow())) {
    EndAttempt(Dispatcher::Result::kCancelled);
    return GiveUp(policy_.GiveUpOutcome(), Reason::kConfigurationUnknown,
                  kConfirmationRetry);
  }
  memory_.Protect(Protection::kFull);
  Send(backend_);
}

void ForwardRun::Send(const BackendRecord& backend) {
  const TimePoint now = BootNow();
  connection_ = context_.pool.Acquire(
      backend.id, backend.address, job_.fields.id,
      context_.dispatcher.MaxConnections(backend.id), now);
  if (connection_ == nullptr) {
    EndAttempt(Dispatcher::Result::kUnreachable);
    return OnAttemptFailed(policy_.OnNotRun(), Reason::kBackendRefused);
  }
  if (retry_reason_) context_.counters.CountRetry(*retry_reason_);
  policy_.OnSent();
  sent_at_ = now;
  sent_by_ = context_.view->revision;
  LogSend(now);
  if (cached_tokens_ > 0) {
    context_.counters.Count(Event::kPromptCacheHits);
    context_.counters.Count(Event::kPromptTokensCached,
                            static_cast<std::uint64_t>(cached_tokens_));
  }
  retries_.OnSend(now);
  crashes_.OnSend(backend, relay_.events(), now);
  relay_.BeginAttempt();
  has_bytes_ = false;
  last_event_at_.reset();
  std::string request = RequestText(job_.message.method, job_.message.target,
                                    FieldsFor(backend, now));
  connection_->Send({.id = job_.fields.id,
                     .request = std::move(request),
                     .body = request_body_,
                     .is_head = job_.message.method == "HEAD",
                     .listener = shared_from_this()});
}

void ForwardRun::LogSend(TimePoint now) const {
  const TimePoint granted_at = retries_.reserved_at().value_or(now);
  const auto limit = context_.dispatcher.LimitOf(backend_.id, now);
  Log(LogLevel::kInfo, "attempt_sent",
      {{"request", job_.fields.id.value()},
       {"backend", backend_.id.value()},
       {"send", policy_.sends()},
       {"granted_ms_ago", ToMillis(now - granted_at)},
       {"revision", sent_by_.number()},
       {"view_ms_ago", ToMillis(now - context_.view_as_of)},
       {"limit_per_s", limit ? limit->requests_per_s : -1.0},
       {"limit_ms_ago", limit ? ToMillis(limit->age) : 0},
       {"cached_tokens", cached_tokens_},
       {"ms", ToMillis(now - job_.message.arrived)}});
}

HttpFields ForwardRun::FieldsFor(const BackendRecord& backend,
                                 TimePoint now) const {
  const auto left = std::chrono::duration_cast<Millis>(deadline_ - now);
  HttpFields fields = context_.dialect.Forward(
      job_.message.fields,
      {.expected = backend.id,
       .time_left = std::max(Millis(1), left),
       .workspace = job_.workspace == nullptr
                        ? std::nullopt
                        : std::optional(job_.workspace->name),
       .priority = std::clamp(PriorityOf(job_), 0, kMostPriority),
       .last_event_id = relay_.last_event_id(),
       .drops_key = job_.routes->needs_keys()});
  const bool has_body =
      !request_body_->empty() ||
      (job_.message.method != "GET" && job_.message.method != "HEAD");
  if (has_body) {
    fields.push_back({"Content-Length", std::to_string(request_body_->size())});
  }
  return fields;
}

bool ForwardRun::IsStillWanted() const {
  return context_.dispatcher.MayStillSend(attempt_, BootNow());
}

bool ForwardRun::IsOwnResponse(int status, const HttpFields& fields) const {
  const AnswerFields answer = context_.dialect.DecodeAnswer(status, fields);
  const bool is_own = !answer.id || *answer.id == job_.fields.id;
  if (!is_own) {
    context_.counters.Count(Event::kForeignAnswers);
    Log(LogLevel::kWarning, "foreign_answer_dropped",
        {{"request", job_.fields.id.value()},
         {"answer", answer.id->value()},
         {"backend", backend_.id.value()}});
  }
  return is_own;
}

void ForwardRun::OnBackendHead(int status, const HttpFields& fields) {
  answer_ = context_.dialect.DecodeAnswer(status, fields);
  TakeNotices(context_, answer_,
              {.backend = backend_.id,
               .request = job_.fields.id,
               .sent_at = sent_at_,
               .sent_by = sent_by_},
              BootNow());
  relay_.OnHead(status, context_.dialect.Return(fields), answer_);
  const bool is_withheld = relay_.way() == AnswerRelay::Way::kWithheld &&
                           !relay_.is_certainly_not_run();
  if (is_withheld) context_.counters.Count(Event::kStatusesWithheld);
  if (!IsSuccess(status)) LogHead();
}

// What a refusal or a failure rests on: the backend server's own word, and
// whether the answer can belong to an earlier request of the connection.
void ForwardRun::LogHead() const {
  Log(LogLevel::kInfo, "backend_status",
      {{"request", job_.fields.id.value()},
       {"backend", backend_.id.value()},
       {"status", relay_.status()},
       {"says_not_run", static_cast<int>(answer_.is_certainly_not_run)},
       {"has_id", static_cast<int>(answer_.id.has_value())},
       {"repeatable", static_cast<int>(job_.route->IsRepeatable())},
       {"send", policy_.sends()},
       {"runs_before", policy_.runs()},
       {"earlier_requests", connection_->earlier_requests()},
       {"idle_ms_before", ToMillis(connection_->idle_before())},
       {"sent_ms_ago", ToMillis(BootNow() - sent_at_)}});
}

void ForwardRun::OnBackendBody(std::string_view data) {
  if (phase_ != Phase::kSent) return;
  if (!has_bytes_) {
    has_bytes_ = true;
    context_.dispatcher.OnResponseStarted(attempt_, BootNow());
  }
  const int events_before = relay_.events();
  const AnswerRelay::Result result = relay_.OnBody(data, BootNow());
  if (phase_ != Phase::kSent) return;  // its caller was evicted
  if (relay_.events() > events_before) OnEvents();
  if (result == AnswerRelay::Result::kAbandon) return DropAnswer();
  if (caller_->is_congested()) connection_->Pause();
}

void ForwardRun::OnEvents() {
  const TimePoint now = BootNow();
  if (last_event_at_) {
    context_.dispatcher.OnEventGap(attempt_, now - *last_event_at_, now);
  }
  last_event_at_ = now;
  crashes_.OnEvents(relay_.events(), now);
}

// The rest of the answer isn't read. A refusal has been understood by now.
void ForwardRun::DropAnswer() {
  connection_->Cancel();
  if (!relay_.is_certainly_not_run()) {
    return OnBackendFailure(ExchangeFailure::kBroken);
  }
  connection_ = nullptr;
  OnNotRun();
}

void ForwardRun::OnBackendEnd() {
  if (phase_ != Phase::kSent) return;
  // A stream that ends inside an event has been broken off.
  if (relay_.is_cut()) {
    connection_->Cancel();
    return OnBackendFailure(ExchangeFailure::kBroken);
  }
  const auto connection = std::exchange(connection_, nullptr);
  context_.pool.Release(backend_.id, connection, BootNow());
  OnWholeAnswer();
}

void ForwardRun::OnNotRun() {
  context_.counters.Count(Event::kRefusalsBelieved);
  EndAttempt(answer_.is_other_instance ? Dispatcher::Result::kAddressReused
                                       : Dispatcher::Result::kRejected);
  OnAttemptFailed(policy_.OnNotRun(), Reason::kBackendRefused);
}

void ForwardRun::OnWholeAnswer() {
  if (relay_.is_certainly_not_run()) return OnNotRun();
  const bool cannot_go_on =
      relay_.has_begun() && relay_.way() == AnswerRelay::Way::kWhole;
  const bool is_failure = relay_.status() >= kLeastFailure || cannot_go_on;
  crashes_.OnWholeAnswer(IsSuccess(relay_.status()), BootNow());
  EndAttempt(is_failure ? JudgeFailure() : Dispatcher::Result::kServed);
  if (is_failure && policy_.OnFailed() == DirectPolicy::Next::kSendAgain &&
      retries_.Reserve(BootNow())) {
    retry_reason_ = Reason::kBackendFailed;
    tried_.push_back(backend_.id);
    return Submit();
  }
  Deliver();
}

// A request that two backend servers fail alike says nothing of either.
Dispatcher::Result ForwardRun::JudgeFailure() {
  const bool is_alike = failed_by_ && *failed_by_ != backend_.id;
  if (is_alike) context_.dispatcher.OnFailedElsewhere(*failed_by_);
  if (!failed_by_) failed_by_ = backend_.id;
  return is_alike ? Dispatcher::Result::kRequestFault
                  : Dispatcher::Result::kFailed;
}

// Passes the whole answer on, if the caller can be told it.
void ForwardRun::Deliver() {
  if (relay_.Deliver()) {
    return Finish(Outcome::kAnswered, Reason::kNone, relay_.status());
  }
  GiveUp(Outcome::kUnknown, Reason::kBackendFailed, Millis(0));
}

void ForwardRun::OnBackendFailure(ExchangeFailure failure) {
  if (phase_ != Phase::kSent) return;
  if (failure == ExchangeFailure::kNoAnswer) LogNoAnswer();
  connection_ = nullptr;
  relay_.DropPartialEvent();
  const TimePoint now = BootNow();
  if (failure == ExchangeFailure::kNotSent) retries_.OnNotSent(now);
  if (failure == ExchangeFailure::kNotSent && !IsStillWanted()) {
    EndAttempt(Dispatcher::Result::kCancelled);
    return OnAttemptFailed(policy_.OnNotRun(), Reason::kBackendLeaving);
  }
  if (failure == ExchangeFailure::kNotSent) {
    crashes_.OnUnreachable(now);
    EndAttempt(Dispatcher::Result::kUnreachable);
    return OnAttemptFailed(policy_.OnNotRun(), Reason::kBackendUnreachable);
  }
  crashes_.OnBroken(relay_.events(), now);
  EndAttempt(Dispatcher::Result::kFailed);
  OnAttemptFailed(policy_.OnFailed(), Reason::kBackendFailed);
}

void ForwardRun::LogNoAnswer() const {
  context_.counters.Count(Event::kExchangesWithoutAnswer);
  Log(LogLevel::kWarning, "backend_sent_no_answer",
      {{"request", job_.fields.id.value()},
       {"backend", backend_.id.value()},
       {"bytes", connection_->stray_bytes()},
       {"responses", connection_->stray_responses()},
       {"sent_ms_ago", ToMillis(BootNow() - sent_at_)}});
}

void ForwardRun::OnAttemptFailed(DirectPolicy::Next next, Reason reason) {
  const TimePoint now = BootNow();
  const bool sends_again = next == DirectPolicy::Next::kSendAgain &&
                           relay_.MayGoOnElsewhere() && now < deadline_ &&
                           retries_.Reserve(now);
  Log(LogLevel::kInfo, "attempt_failed",
      {{"request", job_.fields.id.value()},
       {"backend", backend_.id.value()},
       {"reason", Name(reason)},
       {"runs", policy_.runs()},
       {"sends_again", static_cast<int>(sends_again)}});
  if (!sends_again) return GiveUp(policy_.GiveUpOutcome(), reason, Millis(250));
  retry_reason_ = reason;
  // One that only refused may be asked again, but not for work that must run
  // once at most.
  const bool may_ask_again =
      reason == Reason::kBackendRefused && job_.route->IsRepeatable();
  if (!may_ask_again) tried_.push_back(backend_.id);
  if (relay_.has_begun()) context_.counters.Count(Event::kStreamsResumed);
  Submit();
}

void ForwardRun::EndAttempt(Dispatcher::Result result) {
  context_.dispatcher.OnEnded(attempt_, result, BootNow());
  context_.request_decisions();
}

void ForwardRun::OnTick(TimePoint now) {
  if (phase_ == Phase::kFinished) return;
  if (now < deadline_) {
    if (phase_ == Phase::kHeld) return Submit();
    if (phase_ == Phase::kWaiting) return RefuseIfBlocked(now);
    if (IsStuck(now)) LeaveStuckBackend();
    return;
  }
  const bool was_sent = phase_ == Phase::kSent;
  DropBackend();
  GiveUp(was_sent ? Outcome::kUnknown : policy_.GiveUpOutcome(),
         Reason::kDeadlineExceeded, Millis(0));
}

// What has become known while the request was waiting counts at once.
void ForwardRun::RefuseIfBlocked(TimePoint now) {
  if (crashes_.Judge(now) != PoisonDetector::Verdict::kBlock) return;
  context_.dispatcher.Withdraw(attempt_);
  PassesCrashCheck(now);
}

// An attempt that can't be replaced stays, since its answer may still come.
bool ForwardRun::IsStuck(TimePoint now) {
  if (phase_ != Phase::kSent || job_.route->kind != RouteKind::kStream) {
    return false;
  }
  return policy_.MayReplaceAttempt() &&
         context_.dispatcher.IsStuck(attempt_, last_event_at_, now) &&
         retries_.CanReserve(now);
}

void ForwardRun::LeaveStuckBackend() {
  const auto connection = std::exchange(connection_, nullptr);
  if (connection != nullptr) connection->Cancel();
  relay_.DropPartialEvent();
  EndAttempt(Dispatcher::Result::kStuck);
  OnAttemptFailed(policy_.OnFailed(), Reason::kBackendStuck);
}

// Ends a request that can't be answered: with its reason, or, where the answer
// has begun, by a reset.
void ForwardRun::GiveUp(Outcome outcome, Reason reason, Millis retry_after) {
  if (relay_.has_begun()) {
    caller_->Abort();
    return Finish(Outcome::kUnknown, reason, relay_.status());
  }
  int status = kUnavailable;
  if (outcome == Outcome::kUnknown) {
    status =
        reason == Reason::kDeadlineExceeded ? kGatewayTimeout : kBadGateway;
  }
  HttpFields fields;
  if (status == kUnavailable) {
    context_.counters.CountRefusal(reason);
    fields.push_back({"Retry-After", SecondsText(retry_after)});
  }
  caller_->Reply(status, std::move(fields), std::string(Name(reason)) + "\n");
  Finish(outcome, reason, status);
}

void ForwardRun::EndForLeaving() {
  if (phase_ == Phase::kFinished) return;
  const bool was_sent = phase_ == Phase::kSent;
  DropBackend();
  GiveUp(was_sent ? Outcome::kUnknown : policy_.GiveUpOutcome(),
         Reason::kEntryLeaving, kLeavingRetry);
}

void ForwardRun::CountIn(OwedAnswers& owed) const {
  switch (phase_) {
    case Phase::kHeld:
    case Phase::kWaiting:
      ++(relay_.has_begun() ? owed.begun : owed.waiting);
      break;
    case Phase::kSent:
      ++(relay_.has_begun() ? owed.begun : owed.sent);
      break;
    case Phase::kFinished:
      break;
  }
}

void ForwardRun::OnCallerGone() {
  if (phase_ == Phase::kFinished) return;
  DropBackend();
  Finish(policy_.GiveUpOutcome(), Reason::kCallerGone, 0);
}

void ForwardRun::DropBackend() {
  if (phase_ == Phase::kWaiting) context_.dispatcher.Withdraw(attempt_);
  const auto connection = std::exchange(connection_, nullptr);
  if (connection != nullptr) connection->Cancel();
  if (phase_ == Phase::kSent) EndAttempt(Dispatcher::Result::kCancelled);
}

void ForwardRun::Finish(Outcome outcome, Reason reason, int status) {
  phase_ = Phase::kFinished;
  const TimePoint now = BootNow();
  request_body_ = std::make_shared<const std::string>();
  relay_.Free();
  memory_.Set(0);
  retries_.Release(now);
  const Duration latency = now - job_.message.arrived;
  context_.counters.CountOutcome(outcome);
  context_.counters.Record(Timing::kRequest, latency);
  Log(LogLevel::kInfo, "request_ended",
      {{"request", job_.fields.id.value()},
       {"route", job_.route->name.value()},
       {"version", job_.routes->deployment().version.value()},
       {"outcome", Name(outcome)},
       {"reason", Name(reason)},
       {"status", status},
       {"backend", backend_.id.value()},
       {"sends", policy_.sends()},
       {"events", relay_.events()},
       {"ms", ToMillis(latency)}});
}

}  // namespace mangohold
