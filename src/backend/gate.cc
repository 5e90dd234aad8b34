#include "backend/gate.h"

#include <functional>

namespace mangohold {
namespace {

// The retry delay for callers when the agent as a whole refuses requests.
// Entries try another agent at once.
constexpr Millis kClosedRetryAfter{1'000};

// An entry with a stale configuration receives the newer one within this time.
constexpr Millis kStaleRetryAfter{100};

std::uint64_t Digest(const SubmitRequest& request, std::string_view body) {
  const std::string head = request.workspace.value() + '\n' + request.method +
                           '\n' + request.target + '\n';
  return std::hash<std::string>{}(head + std::string(body));
}

Admission::Options AdmissionOptions(const ServiceDocument& service) {
  return {.concurrency_limit = service.concurrency_limit,
          .queue_limit = service.queue_limit,
          .cold_start = service.cold_start};
}

struct TicketRefusal {
  Reason reason;
  bool may_have_run;
};

// The refusal of a submission whose ticket doesn't allow it to run.
TicketRefusal RefusalFor(TicketTable::Verdict verdict) {
  switch (verdict) {
    case TicketTable::Verdict::kNotKept:
      return {Reason::kAnswerNotKept, true};
    case TicketTable::Verdict::kInProgress:
      return {Reason::kTicketInProgress, true};
    case TicketTable::Verdict::kVoid:
      return {Reason::kTicketVoid, false};
    case TicketTable::Verdict::kMismatch:
      return {Reason::kTicketMismatch, false};
    default:
      return {Reason::kTicketUnknown, true};
  }
}

}  // namespace

Gate::Gate(Options options)
    : options_(std::move(options)),
      admission_(Admission::Options{}),
      tickets_(options_.tickets),
      configuration_(std::make_shared<const Configuration>()) {}

Gate::Progress Gate::SetConfiguration(ConfigurationPtr configuration,
                                      TimePoint now) {
  // A zone that returns to service starts with the cold limit, so that it isn't
  // overloaded.
  const bool was_in = configuration_->IsZoneIn(options_.zone);
  if (!was_in && configuration->IsZoneIn(options_.zone)) BecomeCold();
  configuration_ = std::move(configuration);
  const auto it = configuration_->services.find(options_.service);
  service_ =
      it == configuration_->services.end() ? nullptr : &it->second.document;
  if (service_ != nullptr) admission_.SetOptions(AdmissionOptions(*service_));
  return Advance(now);
}

void Gate::Confirm(TimePoint as_of) {
  confirmed_at_ = std::max(as_of, confirmed_at_.value_or(as_of));
}

Gate::Progress Gate::BeginLeaving(TimePoint now) {
  is_leaving_ = true;
  return Advance(now);
}

Gate::Progress Gate::ClearSuspicion(TimePoint now) {
  admission_.ClearSuspicion();
  return Advance(now);
}

Reason Gate::ClosedReason(TimePoint now) const {
  if (is_leaving_) return Reason::kBackendLeaving;
  if (!confirmed_at_ || service_ == nullptr) {
    return Reason::kConfigurationUnknown;
  }
  if (!configuration_->IsZoneIn(options_.zone)) return Reason::kZoneOut;
  const bool is_fresh = now - *confirmed_at_ <= options_.confirmation_limit;
  if (!is_fresh && service_->when_cut_off == CutOffPolicy::kRefuse) {
    return Reason::kConfigurationUnknown;
  }
  return Reason::kNone;
}

TicketReply Gate::Mint(const TicketRequest& request, TimePoint now) {
  TicketReply reply;
  reply.reason = request.service == options_.service ? ClosedReason(now)
                                                     : Reason::kUnknownService;
  if (reply.reason == Reason::kNone) {
    const auto ticket = tickets_.Mint();
    if (ticket) {
      reply.ticket = ToText(*ticket);
    } else {
      reply.reason = Reason::kQueueFull;
    }
  }
  if (reply.reason != Reason::kNone) reply.retry_after = kClosedRetryAfter;
  reply.status = Status(now);
  return reply;
}

// The order of the checks matters. A used ticket gets its stored response
// whatever the state of the agent. A refused submission voids its ticket, so
// that "not run" stays true if the same submission arrives again.
Gate::Decision Gate::Submit(WorkId id, const SubmitRequest& request,
                            std::string_view body, TimePoint now) {
  // 1. The ticket decides about submissions that were received before.
  if (!request.ticket.empty()) {
    if (auto decision = DecideByTicket(id, request, body)) return *decision;
  }
  // 2. The gate must be open, and a non-idempotent request needs a ticket.
  const Reason closed = ClosedReason(now);
  const auto refuse = [this, id](Reason reason, Millis retry_after) {
    DropWork(id);
    return Refuse(reason, retry_after);
  };
  if (closed != Reason::kNone) return refuse(closed, kClosedRetryAfter);
  if (request.service != options_.service) {
    return refuse(Reason::kUnknownService, Millis(0));
  }
  const std::string_view target = request.target;
  const std::string_view path = target.substr(0, target.find('?'));
  if (request.ticket.empty() && !service_->IsRepeatable(request.method, path)) {
    return refuse(Reason::kTicketRequired, Millis(0));
  }
  // 3. The entry's configuration must not be older than this agent's.
  const Reason stale = CheckRevision(request);
  if (stale != Reason::kNone) return refuse(stale, kStaleRetryAfter);
  // 4. Admission.
  const auto workspace = configuration_->workspaces.find(request.workspace);
  const int weight = workspace == configuration_->workspaces.end()
                         ? 1
                         : workspace->second.document.weight;
  const auto admitted = admission_.Arrive({.id = id,
                                           .workspace = request.workspace,
                                           .weight = weight,
                                           .priority = request.priority,
                                           .deadline = now + request.deadline},
                                          now);
  if (admitted.verdict == Admission::Verdict::kRefused) {
    return refuse(admitted.reason, admitted.retry_after);
  }
  Work& work = work_[id.value()];
  Decision decision{.verdict = Verdict::kQueued};
  if (admitted.displaced) {
    DropWork(admitted.displaced->id);
    decision.displaced = admitted.displaced;
  }
  if (admitted.verdict == Admission::Verdict::kRun) {
    decision.verdict = Verdict::kRun;
    work.started_at = now;
    if (work.ticket) tickets_.Start(work.ticket->sequence);
  }
  return decision;
}

std::optional<Gate::Decision> Gate::DecideByTicket(WorkId id,
                                                   const SubmitRequest& request,
                                                   std::string_view body) {
  const auto ticket = TicketFromText(request.ticket);
  if (!ticket.ok()) return Refuse(Reason::kTicketMismatch, Millis(0));
  const auto submission = tickets_.Submit(*ticket, Digest(request, body));
  switch (submission.verdict) {
    case TicketTable::Verdict::kRun:
      work_[id.value()].ticket = *ticket;
      return std::nullopt;
    case TicketTable::Verdict::kReplay:
      return Decision{.verdict = Verdict::kReplay,
                      .response = submission.response};
    default: {
      const TicketRefusal refusal = RefusalFor(submission.verdict);
      const Millis retry_after = refusal.reason == Reason::kTicketInProgress
                                     ? kClosedRetryAfter
                                     : Millis(0);
      return Refuse(refusal.reason, retry_after, refusal.may_have_run);
    }
  }
}

// Only the documents of this agent's service and zone count, so a change
// elsewhere in the tree doesn't make an entry's configuration stale.
Reason Gate::CheckRevision(const SubmitRequest& request) const {
  const auto service = configuration_->services.find(options_.service);
  const Revision newest = std::max(service->second.revision,
                                   configuration_->ZoneRevision(options_.zone));
  return request.configuration_revision < newest ? Reason::kStaleConfiguration
                                                 : Reason::kNone;
}

Gate::Decision Gate::Refuse(Reason reason, Millis retry_after,
                            bool may_have_run) {
  return {.verdict = Verdict::kRefused,
          .reason = reason,
          .may_have_run = may_have_run,
          .retry_after = retry_after};
}

// Removes a request that was not started and voids its ticket.
void Gate::DropWork(WorkId id) {
  const auto node = work_.extract(id.value());
  if (node.empty()) return;
  const std::optional<Ticket>& ticket = node.mapped().ticket;
  if (ticket.has_value()) tickets_.Void(*ticket);
}

TicketState Gate::Void(const Ticket& ticket) {
  const TicketState state = tickets_.Void(ticket);
  if (state != TicketState::kVoid) return state;
  for (auto it = work_.begin(); it != work_.end(); ++it) {
    if (it->second.ticket != ticket) continue;
    admission_.Remove(WorkId(it->first));
    work_.erase(it);
    break;
  }
  return state;
}

bool Gate::Abandon(WorkId id) {
  if (!admission_.Remove(id)) return false;
  DropWork(id);
  return true;
}

// If the gate has closed meanwhile, the queue is shed first, so that the freed
// capacity starts no queued request.
Gate::Progress Gate::Finish(WorkId id, WorkResult result,
                            std::optional<StoredResponse> response,
                            TimePoint now) {
  const auto node = work_.extract(id.value());
  if (node.empty()) return {};
  const Work& work = node.mapped();
  if (work.ticket) {
    const TicketSequence sequence = work.ticket->sequence;
    if (result == WorkResult::kRefused) tickets_.VoidStarted(sequence);
    tickets_.Finish(sequence, std::move(response));
  }
  const Reason closed = ClosedReason(now);
  std::vector<ShedRequest> shed;
  if (closed != Reason::kNone) shed = admission_.ShedAll(closed);
  Progress progress = admission_.Finish(result, now - work.started_at, now);
  progress.shed.insert(progress.shed.end(), shed.begin(), shed.end());
  return UpdateTickets(std::move(progress), now);
}

Gate::Progress Gate::Advance(TimePoint now) {
  const Reason closed = ClosedReason(now);
  if (closed != Reason::kNone) {
    return UpdateTickets({.start = {}, .shed = admission_.ShedAll(closed)},
                         now);
  }
  return UpdateTickets(admission_.Advance(now), now);
}

// Applies the decisions of admission to the tickets.
Gate::Progress Gate::UpdateTickets(Progress progress, TimePoint now) {
  for (const WorkId id : progress.start) {
    Work& work = work_[id.value()];
    work.started_at = now;
    if (work.ticket) tickets_.Start(work.ticket->sequence);
  }
  for (const ShedRequest& shed : progress.shed) DropWork(shed.id);
  return progress;
}

AgentStatus Gate::Status(TimePoint now) const {
  return {
      .instance = options_.instance,
      .incarnation = options_.tickets.incarnation,
      .limit = admission_.limit(),
      .in_flight = admission_.in_flight(),
      .queued = admission_.queued(),
      .queue_limit = service_ == nullptr ? 0 : service_->queue_limit,
      .mean_service_us = std::chrono::duration_cast<std::chrono::microseconds>(
                             admission_.mean_service())
                             .count(),
      .is_cold = admission_.is_cold(),
      .is_closed = ClosedReason(now) != Reason::kNone};
}

}  // namespace mangohold
