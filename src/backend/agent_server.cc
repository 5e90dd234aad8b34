#include "backend/agent_server.h"

#include <algorithm>
#include <utility>

#include "core/log.h"

namespace mangohold {
namespace {

// How often deadlines are checked while requests wait, and how often the gate
// is advanced while none does.
constexpr Duration kQueueTick = std::chrono::milliseconds(20);
constexpr Duration kIdleTick = std::chrono::milliseconds(250);
// Statuses with which a backend server may refuse a request; see OnBackendHead.
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;
// A body is in the job and in its call to the backend server; the buffer of one
// that is being read doubles as it grows.
constexpr std::size_t kCopiesOfBody = 2;
// What a stream holds besides its texts, about.
constexpr std::size_t kStreamBytes = 2U << 10U;
// Fewer new bytes of a body than this are no progress.
constexpr std::size_t kProgressBytes = 16U << 10U;

std::string_view PriorityName(Priority priority) {
  constexpr std::array<std::string_view, static_cast<int>(Priority::kCount)>
      kNames = {"high", "normal", "low"};
  return kNames[static_cast<std::size_t>(priority)];
}

void SendMessage(const Http2StreamPtr& stream, const std::string& message) {
  stream->SendHead({{":status", "200"}, {std::string(kMessageField), message}});
}

void SendReply(const Http2StreamPtr& stream, const std::string& message) {
  SendMessage(stream, message);
  stream->SendEnd();
}

HttpCall ToCall(const Job& job, const std::string& backend_url) {
  HttpFields fields = {
      {"Mangohold-Request-Id", job.request.request.value()},
      {"Mangohold-Workspace", job.request.workspace.value()},
      {"Mangohold-Priority", std::string(PriorityName(job.request.priority))}};
  if (!job.request.content_type.empty()) {
    fields.push_back({"Content-Type", job.request.content_type});
  }
  return {.method = job.request.method,
          .url = backend_url + job.request.target,
          .fields = std::move(fields),
          .body = job.body,
          .timeout = std::max<Duration>(job.deadline - Clock::now(), Millis(1)),
          .fresh_connection = job.has_ticket()};
}

// Whether the end of a response can be told from a broken connection. A
// response without a length and without chunks just ends with its connection.
bool IsFramed(int status, const HttpFields& fields) {
  return status == 204 || status == 304 ||
         !FieldValue(fields, "Content-Length").empty() ||
         !FieldValue(fields, "Transfer-Encoding").empty();
}

// Only the gate knows whether an earlier submission of a ticket has run.
bool MayHaveRun(const std::string& message) {
  const auto request = Decode<SubmitRequest>(message);
  return !request.ok() || !request->ticket.empty();
}

}  // namespace

AgentServer::AgentServer(EventLoop& loop, Options options, Counters& counters)
    : loop_(loop),
      options_(std::move(options)),
      counters_(counters),
      budget_(options_.memory),
      gate_(options_.gate),
      http_(loop.io(), &counters),
      monitor_(loop, http_, {.url = options_.backend_url},
               {.on_cold = [this] { BecomeCold(); },
                .on_suspect = [this] { gate_.Suspect(); },
                .on_same_boot =
                    [this] { Apply(gate_.ClearSuspicion(Clock::now())); },
                .on_leaving = [this] { BeginLeaving(); }},
               counters),
      server_(loop.io(),
              [this](const Http2StreamPtr& stream) { Accept(stream); }) {}

absl::Status AgentServer::Start() {
  server_.SetConnectionLimit(options_.max_connections, [this] {
    counters_.CountRefusal(Reason::kConnectionLimit);
    Log(LogLevel::kInfo, "connection_refused",
        {{"limit", options_.max_connections}});
  });
  absl::Status status = server_.Listen(options_.listen);
  if (!status.ok()) return status;
  monitor_.Start();
  Tick();
  return absl::OkStatus();
}

void AgentServer::SetConfiguration(ConfigurationPtr configuration) {
  Apply(gate_.SetConfiguration(std::move(configuration), Clock::now()));
}

void AgentServer::Confirm(TimePoint as_of) { gate_.Confirm(as_of); }

void AgentServer::BeginLeaving() {
  if (gate_.ClosedReason(Clock::now()) != Reason::kBackendLeaving) {
    Log(LogLevel::kInfo, "leaving_began");
  }
  Apply(gate_.BeginLeaving(Clock::now()));
}

void AgentServer::EndRequests() {
  const auto jobs = jobs_;
  for (const auto& [id, job] : jobs) {
    if (!job->is_running || !jobs_.contains(id)) continue;
    http_.Cancel(job->call);
    job->call = HttpCallId();
    FinishJob(job, WorkResult::kFailed, false, Reason::kBackendLeaving);
  }
}

OwedAnswers AgentServer::Owed() const {
  OwedAnswers owed;
  for (const auto& [id, job] : jobs_) {
    ++(job->has_head ? owed.begun : job->is_running ? owed.sent : owed.waiting);
  }
  return owed;
}

void AgentServer::BecomeCold() {
  counters_.Count(Event::kColdStarts);
  gate_.BecomeCold();
}

void AgentServer::Tick() {
  Apply(gate_.Advance(Clock::now()));
  const bool has_queue = gate_.admission().queued() > 0;
  loop_.After(has_queue ? kQueueTick : kIdleTick, [this] { Tick(); });
}

void AgentServer::UpdateGauges() {
  counters_.Set(Gauge::kInFlight, gate_.admission().in_flight());
  counters_.Set(Gauge::kQueued, gate_.admission().queued());
  counters_.Set(Gauge::kAdmissionLimit, gate_.admission().limit());
  counters_.Set(Gauge::kKeptAnswerBytes,
                static_cast<std::int64_t>(gate_.tickets().stored_bytes()));
}

void AgentServer::Accept(const Http2StreamPtr& stream) {
  const auto incoming = std::make_shared<Incoming>();
  const std::weak_ptr<Http2Stream> weak = stream;
  incoming->held = std::make_unique<MemoryBudget::Holder>(
      budget_,
      [this, weak, weak_incoming = std::weak_ptr(incoming)](Eviction eviction) {
        const auto evicted = weak_incoming.lock();
        if (evicted == nullptr) return;
        RefuseBody(weak.lock(), *evicted,
                   eviction == Eviction::kStalled ? Reason::kBodyTooSlow
                                                  : Reason::kMemoryLimit);
      },
      Clock::now());
  stream->SetHandlers(
      {.on_head =
           [this, incoming, weak](const HttpFields& head) {
             incoming->path = std::string(FieldValue(head, ":path"));
             incoming->message = std::string(FieldValue(head, kMessageField));
             const bool has_room =
                 incoming->held->Resize(HeldBytes(*incoming), Clock::now());
             const auto open = weak.lock();
             if (!has_room) RefuseBody(open, *incoming, Reason::kMemoryLimit);
           },
       .on_data =
           [this, incoming, weak](std::string_view data) {
             const auto open = weak.lock();
             if (open == nullptr) return;
             open->Consume(data.size());
             OnBodyData(open, *incoming, data);
           },
       .on_end =
           [this, incoming, weak](const HttpFields&) {
             if (const auto open = weak.lock()) Dispatch(open, *incoming);
           },
       .on_broken = nullptr,
       .on_writable = nullptr});
}

void AgentServer::OnBodyData(const Http2StreamPtr& stream, Incoming& incoming,
                             std::string_view data) {
  if (incoming.is_refused) return;
  const TimePoint now = Clock::now();
  const std::size_t size = incoming.body.size() + data.size();
  if (size > options_.max_body_bytes) {
    return RefuseBody(stream, incoming, Reason::kBodyTooLarge);
  }
  if (size - incoming.progress_bytes >= kProgressBytes) {
    incoming.progress_bytes = size;
    incoming.held->OnProgress(now);
  }
  const std::size_t held = HeldBytes(incoming) + kCopiesOfBody * data.size();
  if (!incoming.held->Resize(held, now)) {
    return RefuseBody(stream, incoming, Reason::kMemoryLimit);
  }
  incoming.body.append(data);
}

std::size_t AgentServer::HeldBytes(const Incoming& incoming) {
  return kStreamBytes + incoming.path.size() + incoming.message.size() +
         kCopiesOfBody * incoming.body.size();
}

void AgentServer::RefuseBody(const Http2StreamPtr& stream, Incoming& incoming,
                             Reason reason) {
  incoming.is_refused = true;
  const bool may_have_run = MayHaveRun(incoming.message);
  std::string().swap(incoming.body);
  std::string().swap(incoming.message);
  incoming.held->Set(0);
  counters_.CountRefusal(reason);
  Log(LogLevel::kInfo, "body_refused",
      {{"reason", Name(reason)},
       {"held_bytes", budget_.bytes()},
       {"holders", budget_.holders()}});
  if (stream == nullptr) return;
  if (reason == Reason::kBodyTooLarge) return stream->Reset();
  stream->SetHandlers({});
  SendReply(stream, Encode(SubmitReply{.reason = reason,
                                       .may_have_run = may_have_run,
                                       .status = gate_.Status(Clock::now())}));
}

void AgentServer::Dispatch(const Http2StreamPtr& stream, Incoming& incoming) {
  if (incoming.is_refused) return;
  if (incoming.path == kSubmitPath) {
    OnSubmit(stream, incoming);
  } else if (incoming.path == kTicketPath) {
    OnTicket(stream, incoming.message);
  } else if (incoming.path == kVoidPath) {
    OnVoid(stream, incoming.message);
  } else if (incoming.path == kStatusPath) {
    OnStatus(stream, incoming.message);
  } else {
    stream->Reset();
  }
}

void AgentServer::OnTicket(const Http2StreamPtr& stream,
                           const std::string& message) {
  const auto request = Decode<TicketRequest>(message);
  if (!request.ok()) return stream->Reset();
  const TicketReply reply = gate_.Mint(*request, Clock::now());
  if (reply.reason == Reason::kNone) {
    counters_.Count(Event::kTicketsMinted);
  } else {
    counters_.CountRefusal(reply.reason);
  }
  SendReply(stream, Encode(reply));
}

void AgentServer::OnVoid(const Http2StreamPtr& stream,
                         const std::string& message) {
  const auto request = Decode<VoidRequest>(message);
  if (!request.ok()) return stream->Reset();
  const auto ticket = TicketFromText(request->ticket);
  VoidReply reply;
  if (ticket.ok()) reply.state = gate_.Void(*ticket);
  if (reply.state == TicketState::kVoid) {
    counters_.Count(Event::kTicketsVoided);
    RefuseVoided(request->ticket);
  }
  reply.status = gate_.Status(Clock::now());
  SendReply(stream, Encode(reply));
}

// Refuses the queued submission of a voided ticket. The gate has already
// removed it from the queue.
void AgentServer::RefuseVoided(const std::string& ticket) {
  const auto it = std::ranges::find_if(jobs_, [&ticket](const auto& item) {
    return item.second->request.ticket == ticket;
  });
  if (it == jobs_.end()) return;
  const JobPtr job = it->second;
  jobs_.erase(it);
  Refuse(job, Reason::kTicketVoid, /*may_have_run=*/false, Millis(0));
}

void AgentServer::OnStatus(const Http2StreamPtr& stream,
                           const std::string& message) {
  if (!Decode<StatusRequest>(message).ok()) return stream->Reset();
  SendReply(stream, Encode(gate_.Status(Clock::now())));
}

void AgentServer::OnSubmit(const Http2StreamPtr& stream, Incoming& incoming) {
  const auto request = Decode<SubmitRequest>(incoming.message);
  if (!request.ok()) return stream->Reset();
  const TimePoint now = Clock::now();
  auto job = std::make_shared<Job>();
  job->id = last_work_ = last_work_.Next();
  job->stream = stream;
  job->request = *request;
  // A job isn't evicted: it may have run.
  job->held = std::make_unique<MemoryBudget::Holder>(budget_, nullptr, now);
  job->held->Set(incoming.held->bytes());
  incoming.held->Set(0);
  job->body = std::move(incoming.body);
  job->deadline = now + request->deadline;
  counters_.Count(Event::kRequests);
  const Gate::Decision decision =
      gate_.Submit(job->id, *request, job->body, now);
  switch (decision.verdict) {
    case Gate::Verdict::kRefused:
      Refuse(job, decision.reason, decision.may_have_run, decision.retry_after);
      return;
    case Gate::Verdict::kReplay:
      Replay(job, *decision.response);
      return;
    default:
      break;
  }
  jobs_.emplace(job->id.value(), job);
  stream->SetHandlers({.on_head = nullptr,
                       .on_data = nullptr,
                       .on_end = nullptr,
                       .on_broken =
                           [this, weak = std::weak_ptr(job)] {
                             const auto alive = weak.lock();
                             if (alive != nullptr) OnStreamBroken(alive);
                           },
                       .on_writable =
                           [this, weak = std::weak_ptr(job)] {
                             const auto alive = weak.lock();
                             if (alive != nullptr) http_.Resume(alive->call);
                           }});
  if (decision.displaced) {
    Apply({.start = {}, .shed = {*decision.displaced}});
  }
  if (decision.verdict == Gate::Verdict::kRun) Run(job);
  UpdateGauges();
}

void AgentServer::Run(const JobPtr& job) {
  job->is_running = true;
  job->call = http_.Start(
      ToCall(*job, options_.backend_url),
      {.on_head =
           [this, job](int status, const HttpFields& fields) {
             OnBackendHead(job, status, fields);
           },
       .on_data = [this,
                   job](std::string_view data) { OnBackendData(job, data); },
       .on_done = [this,
                   job](HttpResult result) { OnBackendDone(job, result); }});
}

// A refusal by the backend server is not relayed as a response. 429 guarantees
// that the request was not executed, also under a ticket. 503 gives no such
// guarantee, so it counts only without a ticket, where the request may be
// retried on another backend server.
void AgentServer::OnBackendHead(const JobPtr& job, int status,
                                const HttpFields& fields) {
  job->http_status = status;
  job->content_type = std::string(FieldValue(fields, "Content-Type"));
  job->is_framed = IsFramed(status, fields);
  const bool is_refusal = status == kTooManyRequests ||
                          (status == kServiceUnavailable && !job->has_ticket());
  if (is_refusal) return;
  job->has_head = true;
  if (job->stream == nullptr) return;
  SendMessage(job->stream,
              Encode(SubmitReply{.http_status = status,
                                 .content_type = job->content_type,
                                 .status = gate_.Status(Clock::now())}));
}

void AgentServer::OnBackendData(const JobPtr& job, std::string_view data) {
  if (!job->has_head) return;
  job->body_bytes += data.size();
  if (job->has_ticket() && gate_.tickets().IsStorable(job->body_bytes)) {
    job->stored_body.append(data);
  }
  if (job->stream == nullptr) return;
  job->stream->SendData(data);
  if (job->stream->queued_bytes() > Http2Stream::kHighWaterBytes) {
    http_.Pause(job->call);
  }
}

void AgentServer::OnBackendDone(const JobPtr& job, HttpResult result) {
  job->call = HttpCallId();
  if (result == HttpResult::kNotSent) {
    BecomeCold();
    monitor_.CheckNow();
    FinishJob(job, WorkResult::kRefused, false, Reason::kBackendUnreachable);
  } else if (result == HttpResult::kTimedOut) {
    FinishJob(job, WorkResult::kFailed, false, Reason::kDeadlineExceeded);
  } else if (result == HttpResult::kBroken || result == HttpResult::kTooLarge ||
             (job->has_head && !job->is_framed)) {
    BecomeCold();
    monitor_.CheckNow();
    FinishJob(job, WorkResult::kFailed, false, Reason::kBackendFailed);
  } else if (job->http_status == kTooManyRequests) {
    FinishJob(job, WorkResult::kRefused, false, Reason::kBackendRefused);
  } else if (!job->has_head) {
    FinishJob(job, WorkResult::kFailed, false, Reason::kBackendFailed);
  } else if (job->http_status >= 500) {
    FinishJob(job, WorkResult::kFailed, true, Reason::kNone);
  } else {
    FinishJob(job, WorkResult::kServed, true, Reason::kNone);
  }
}

// Ends a job that was started. A response under a ticket is stored for
// resubmissions even if the stream has broken.
void AgentServer::FinishJob(const JobPtr& job, WorkResult result,
                            bool is_complete, Reason reason) {
  jobs_.erase(job->id.value());
  std::optional<StoredResponse> response;
  if (is_complete && job->stored_body.size() == job->body_bytes) {
    response = StoredResponse{.http_status = job->http_status,
                              .content_type = job->content_type,
                              .body = std::move(job->stored_body)};
  }
  const Gate::Progress progress =
      gate_.Finish(job->id, result, std::move(response), Clock::now());
  if (job->stream != nullptr && job->has_head) {
    job->stream->SendEnd(
        {{std::string(kMessageField),
          Encode(SubmitTrailer{.is_complete = is_complete,
                               .reason = reason,
                               .body_bytes = job->body_bytes,
                               .status = gate_.Status(Clock::now())})}});
  } else if (job->stream != nullptr) {
    Refuse(job, reason, result != WorkResult::kRefused, Millis(0));
  }
  Apply(progress);
  UpdateGauges();
}

// A queued job is dropped. A running job continues if it has a ticket, because
// its response may be requested again, and is cancelled otherwise.
void AgentServer::OnStreamBroken(const JobPtr& job) {
  job->stream = nullptr;
  if (!job->is_running) {
    if (gate_.Abandon(job->id)) jobs_.erase(job->id.value());
    return;
  }
  if (job->has_ticket()) {
    http_.Resume(job->call);
    return;
  }
  http_.Cancel(job->call);
  job->call = HttpCallId();
  counters_.CountRefusal(Reason::kCallerGone);
  FinishJob(job, WorkResult::kCancelled, false, Reason::kCallerGone);
}

void AgentServer::Replay(const JobPtr& job, const StoredResponse& response) {
  SendMessage(job->stream,
              Encode(SubmitReply{.http_status = response.http_status,
                                 .content_type = response.content_type,
                                 .status = gate_.Status(Clock::now())}));
  job->stream->SendData(response.body);
  job->stream->SendEnd(
      {{std::string(kMessageField),
        Encode(SubmitTrailer{.is_complete = true,
                             .body_bytes = response.body.size(),
                             .status = gate_.Status(Clock::now())})}});
}

void AgentServer::Refuse(const JobPtr& job, Reason reason, bool may_have_run,
                         Millis retry_after) {
  counters_.CountRefusal(reason);
  Log(LogLevel::kDebug, "refused",
      {{"request_id", job->request.request.value()}, {"reason", Name(reason)}});
  SendReply(job->stream,
            Encode(SubmitReply{.reason = reason,
                               .may_have_run = may_have_run,
                               .retry_after = retry_after,
                               .status = gate_.Status(Clock::now())}));
}

void AgentServer::Apply(const Gate::Progress& progress) {
  for (const WorkId id : progress.start) {
    const auto it = jobs_.find(id.value());
    if (it != jobs_.end()) Run(it->second);
  }
  for (const ShedRequest& shed : progress.shed) {
    const auto node = jobs_.extract(shed.id.value());
    if (node.empty()) continue;
    Refuse(node.mapped(), shed.reason, /*may_have_run=*/false,
           shed.retry_after);
  }
}

}  // namespace mangohold
