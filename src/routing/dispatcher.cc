#include "routing/dispatcher.h"

#include <utility>

#include "core/log.h"
#include "routing/backend_choice.h"
#include "routing/backend_cost.h"
#include "routing/eligibility.h"
#include "routing/refusal.h"
#include "routing/service_wait.h"

namespace mangohold {
namespace {

BackendTable::Options TableOptions(const Dispatcher::Options& options) {
  return {.cold_margin = {.overrun = options.cold_overrun,
                          .slack = options.cold_slack},
          .peer_share_ttl = options.peer_share_ttl,
          .ejection = options.ejection,
          .gate = options.gate,
          .pass_limit = options.pass_limit,
          .max_ejected_fraction = options.max_ejected_fraction};
}

// True if the backend may have lost what it had in memory.
bool MayHaveCrashed(Dispatcher::Result result) {
  return result == Dispatcher::Result::kFailed ||
         result == Dispatcher::Result::kRequestFault ||
         result == Dispatcher::Result::kUnreachable ||
         result == Dispatcher::Result::kAddressReused;
}

}  // namespace

Dispatcher::Dispatcher(Options options)
    : options_(std::move(options)),
      random_(options_.seed),
      limits_(options_.limits),
      prompt_cache_(options_.prompt_cache),
      table_(TableOptions(options_)) {}

void Dispatcher::SetBackends(const std::vector<BackendRecord>& backends,
                             TimePoint now) {
  table_.SetBackends(backends);
  prompt_cache_.SetServers(backends);
  for (const BackendRecord& record : backends) {
    notices_.OnListed(record.id, record.stamp.started_ms);
    limits_.OnListed(record.id, record.stamp.started_ms, now);
    table_.Find(record.id)->cache_index = prompt_cache_.IndexOf(record.id);
  }
}

void Dispatcher::SetServices(const std::vector<ServiceSpec>& services) {
  table_.SetServices(services);
  prompt_cache_.SetServices(services);
}

void Dispatcher::SetEntries(const InstanceId& self,
                            const std::vector<InstanceId>& entries,
                            TimePoint now) {
  if (!table_.SetEntries(self, entries)) return;
  limits_.SetEntries(table_.entry_quota(), now);
}

void Dispatcher::OnPeerShares(const InstanceId& peer,
                              const std::vector<BackendShare>& shares,
                              TimePoint now) {
  table_.OnPeerShares(peer, shares, now);
}

void Dispatcher::Submit(Query query) { waiting_.Add(std::move(query)); }

void Dispatcher::Withdraw(AttemptNumber number) { waiting_.Remove(number); }

std::vector<Dispatcher::Decision> Dispatcher::Decide(TimePoint now) {
  table_.UpdatePassLimits(now);
  std::vector<Decision> decisions;
  std::map<ServiceName, int> waiting_by_service;
  for (WaitingAttempt& attempt : waiting_.TakeAll(now)) {
    if (attempt.is_new && !attempt.query.is_retry) {
      ReserveOf(attempt.query.service).OnArrival(attempt.query.priority, now);
    }
    int& ahead = waiting_by_service[attempt.query.service];
    if (auto decision = DecideOn(attempt, ahead, now)) {
      decisions.push_back(*std::move(decision));
      continue;
    }
    ++ahead;
    waiting_.Keep(std::move(attempt));
  }
  return decisions;
}

std::optional<Dispatcher::Decision> Dispatcher::DecideOn(
    const WaitingAttempt& attempt, int ahead, TimePoint now) {
  const Query& query = attempt.query;
  if (!CanFinishInTime(query, table_, now)) return RefuseSlow(query);
  if (!CanFinishBeforeLeaving(query, table_, leaving_, now)) {
    return RefuseLeaving(query);
  }
  if (!query.is_repeatable && HasTriedAll(query, table_)) {
    return RefuseAllTried(query);
  }
  // A request may overtake earlier ones that are waiting for other backends.
  if (TrackedBackend* backend = Choose(query, now)) {
    return Send(query, *backend, now);
  }
  if (HasStoppedWaiting(query, leaving_, now)) return RefuseLeaving(query);
  return RefuseIfLate(attempt, ahead, now);
}

std::optional<Dispatcher::Decision> Dispatcher::RefuseIfLate(
    const WaitingAttempt& attempt, int ahead, TimePoint now) {
  const Query& query = attempt.query;
  const WaitFactors factors = {
      .table = table_, .notices = notices_, .limits = limits_};
  const auto wait = ServiceWait(query.service, ahead, factors, now);
  if (!table_.HasBackends(query.service)) {
    if (now < query.start_deadline) return std::nullopt;
    return RefuseNoBackend(query, wait.value_or(kNoBackendWait));
  }
  if (wait && CanStartInTime(attempt, *wait, table_, now)) return std::nullopt;
  if (!HasLimits(query.service, factors, now)) {
    return RefuseLate(query, wait.value_or(kNoBackendWait));
  }
  return RefuseLimited(query, wait.value_or(kNoShareWait), random_);
}

TrackedBackend* Dispatcher::Choose(const Query& query, TimePoint now) {
  if (!table_.HasBackends(query.service)) return nullptr;
  const EligibilityRules rules = {
      .notices = notices_,
      .limits = limits_,
      .reserved_fraction =
          ReserveOf(query.service).FractionFor(query.priority, now)};
  const auto eligible = EligibleBackends(table_, query, rules, now);
  const auto chosen = ChooseAmong(eligible, query, now);
  return chosen ? eligible[*chosen] : nullptr;
}

std::optional<std::size_t> Dispatcher::ChooseAmong(
    const std::vector<TrackedBackend*>& eligible, const Query& query,
    TimePoint now) {
  const CostFactors factors = {
      .spec = table_.SpecOf(query.service),
      .min_event_gap = table_.MinEventGap(query.service, now),
      .own_zone = options_.zone,
      .zone_penalty = options_.zone_penalty,
      .cached = prompt_cache_.Find(query.service, query.prefix, now)};
  const auto candidates = CandidatesFor(eligible, factors, now);
  if (query.crash_suspect) {
    return ChooseForSuspect(candidates, *query.crash_suspect);
  }
  const bool use_least_loaded =
      table_.entry_quota().entries() <= options_.max_least_loaded_entries;
  return use_least_loaded ? ChooseLeastLoaded(candidates, random_)
                          : DrawByFreeCapacity(candidates, random_);
}

PriorityReserve& Dispatcher::ReserveOf(const ServiceName& service) {
  return reserves_.try_emplace(service, options_.priority_reserve)
      .first->second;
}

Dispatcher::Decision Dispatcher::Send(const Query& query,
                                      TrackedBackend& backend, TimePoint now) {
  const PrefillLoad prefill = {.tokens = query.prompt_tokens,
                               .suspects = query.crash_suspect ? 1 : 0};
  const int cached_tokens =
      prompt_cache_.OnSent({.number = query.number,
                            .server = backend.cache_index,
                            .prefix = &query.prefix,
                            .prompt_tokens = query.prompt_tokens,
                            .load = backend.RequestsInProgress(now),
                            .entries = table_.entry_quota().entries()},
                           now);
  ++backend.own_requests;
  backend.own_prefill += prefill;
  backend.recent.Add(now);
  limits_.OnSent(backend.record.id, now);
  backend.gate->OnSent(query.number);
  ReserveOf(query.service).OnSent(query.priority);
  sent_[query.number] = {.backend = backend.record.id,
                         .service = query.service,
                         .gate = backend.gate,
                         .prefill = prefill,
                         .at = now};
  return {.number = query.number,
          .backend = backend.record,
          .cached_tokens = cached_tokens};
}

const Dispatcher::Sent* Dispatcher::FindSent(AttemptNumber number) const {
  const auto it = sent_.find(number);
  return it == sent_.end() ? nullptr : &it->second;
}

void Dispatcher::OnEventGap(AttemptNumber number, Duration gap, TimePoint now) {
  const Sent* sent = FindSent(number);
  if (sent == nullptr) return;
  const TrackedBackend* backend = table_.Find(sent->backend);
  if (backend == nullptr) return;
  backend->gate->OnEventGap(sent->backend, gap, now);
}

bool Dispatcher::IsStuck(AttemptNumber number,
                         std::optional<TimePoint> last_event,
                         TimePoint now) const {
  const Sent* sent = FindSent(number);
  if (sent == nullptr) return false;
  const TrackedBackend* backend = table_.Find(sent->backend);
  if (backend == nullptr) return false;
  return backend->gate->stuck_detector().IsStuck(
      {.backend = sent->backend, .sent = sent->at, .last_event = last_event},
      now);
}

void Dispatcher::OnNotice(const InstanceId& id, bool is_leaving,
                          std::optional<Millis> backoff, TimePoint now) {
  if (is_leaving) notices_.OnLeaving(id, table_.StartOf(id), now);
  if (!backoff || *backoff <= Millis(0)) return;
  notices_.OnBackoff(id, *backoff, now);
  Log(LogLevel::kInfo, "backend_backoff",
      {{"backend", id.value()}, {"ms", backoff->count()}});
}

void Dispatcher::OnStatedLimit(const InstanceId& id, const StatedLimit& limit,
                               TimePoint sent, TimePoint now) {
  if (limits_.OnStated(id, limit, table_.StartOf(id), sent, now)) {
    LogLimit(id, LimitSource::kAnswer, now);
  }
}

void Dispatcher::OnLimitReports(const std::vector<RateLimitReport>& reports,
                                TimePoint now) {
  for (const InstanceId& id : limits_.OnReports(reports, now)) {
    LogLimit(id, LimitSource::kPeer, now);
  }
}

void Dispatcher::LogLimit(const InstanceId& id, LimitSource source,
                          TimePoint now) {
  const auto limit = limits_.Find(id, now);
  Log(LogLevel::kInfo, "backend_limit_changed",
      {{"backend", id.value()},
       {"limited", static_cast<int>(limit.has_value())},
       {"per_s", limit ? limit->requests_per_s : 0.0},
       {"own_per_s", limit ? limit->own_per_s : 0.0},
       {"age_ms", limit ? ToMillis(limit->age) : 0},
       {"entries", table_.entry_quota().entries()},
       {"source", source == LimitSource::kAnswer ? "answer" : "peer"}});
}

void Dispatcher::OnResponseStarted(AttemptNumber number, TimePoint now) {
  const auto it = sent_.find(number);
  if (it == sent_.end()) return;
  prompt_cache_.OnResponseStarted(number, now);
  Sent& sent = it->second;
  if (TrackedBackend* backend = table_.Find(sent.backend)) {
    sent.gate->OnResponseStarted(sent.backend, sent.at, now);
    backend->own_prefill -= sent.prefill;
  }
  sent.prefill = {};
}

void Dispatcher::OnEnded(AttemptNumber number, Result result, TimePoint now) {
  const auto ended = sent_.extract(number);
  if (ended.empty()) return;
  const Sent& sent = ended.mapped();
  sent.gate->OnEnded(number);
  prompt_cache_.OnEnded(number);
  if (MayHaveCrashed(result)) prompt_cache_.Forget(sent.backend);
  TrackedBackend* backend = table_.Find(sent.backend);
  if (backend == nullptr) return;
  --backend->own_requests;
  backend->own_prefill -= sent.prefill;
  OnResult(*backend, sent, result, now);
}

void Dispatcher::OnResult(TrackedBackend& backend, const Sent& sent,
                          Result result, TimePoint now) {
  switch (result) {
    case Result::kServed:
      backend.ejection.OnServed();
      backend.service_time.Record(ToSeconds(now - sent.at));
      break;
    case Result::kRejected:
      OnRejected(backend, sent, now);
      break;
    case Result::kAddressReused:
      backend.is_replaced = true;
      break;
    case Result::kUnreachable:
      table_.Eject(backend, now);
      break;
    case Result::kFailed:
      if (backend.ejection.OnFailed()) table_.Eject(backend, now);
      break;
    case Result::kRequestFault:
      break;
    case Result::kStuck:
      backend.gate->stuck_detector().OnAbandoned(backend.record.id, now);
      table_.Eject(backend, now);
      break;
    case Result::kCancelled:
      break;
  }
}

void Dispatcher::OnRejected(TrackedBackend& backend, const Sent& sent,
                            TimePoint now) {
  if (!table_.HasRankGroups(sent.service)) {
    backend.ejection.OnRefused(now);
    return;
  }
  const bool is_of_group = sent.gate->OnRefused(backend.record.id, now);
  if (!is_of_group) table_.Eject(backend, now);
}

bool Dispatcher::MayStillSend(AttemptNumber number, TimePoint now) const {
  const Sent* sent = FindSent(number);
  if (sent == nullptr) return false;
  const TrackedBackend* backend = table_.Find(sent->backend);
  return backend != nullptr && backend->is_listed && !backend->is_replaced &&
         notices_.IsAvailable(sent->backend, now);
}

void Dispatcher::OnFailedElsewhere(const InstanceId& id) {
  TrackedBackend* backend = table_.Find(id);
  if (backend != nullptr) backend->ejection.UndoLastFailure();
}

int Dispatcher::MaxConnections(const InstanceId& id) const {
  const TrackedBackend* backend = table_.Find(id);
  return backend == nullptr ? 0 : backend->quotas.max_connections;
}

}  // namespace mangohold
