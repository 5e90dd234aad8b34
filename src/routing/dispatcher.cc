#include "routing/dispatcher.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "core/log.h"
#include "routing/backend_choice.h"
#include "routing/expected_wait.h"
#include "routing/load_cost.h"

namespace mangohold {
namespace {

// Weight of the newest value in exponential smoothing.
constexpr double kSmoothing = 0.2;
// Bounds of the retry hint for refused callers.
constexpr Millis kMinRetryAfter{100};
constexpr Millis kMaxRetryAfter{2'000};
// Fraction of the time until its start deadline that the expected wait of a new
// request may take.
constexpr double kMaxInitialWaitFraction = 0.75;
// Fraction of a stream's expected duration that it is assumed to take at least.
constexpr double kMinDurationFraction = 0.8;
// Retry hint for a request whose service is too slow to finish it in time.
constexpr Millis kSlowServiceRetryAfter{1'000};
// Retry hint for a request that may be sent to no backend again.
constexpr Millis kAllTriedRetryAfter{250};
// Expected wait for a service without backends to get one.
constexpr Millis kNoBackendWait{500};
// Expected wait for backends of whose request limits this entry has no share.
constexpr Millis kNoShareWait{1'000};

double Smoothed(double before, double value) {
  return before + kSmoothing * (value - before);
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
      prompt_cache_(options_.prompt_cache) {}

void Dispatcher::SetBackends(const std::vector<BackendRecord>& backends,
                             TimePoint now) {
  by_service_.clear();
  for (auto& [id, backend] : backends_) backend.is_listed = false;
  for (const BackendRecord& record : backends) {
    Backend& backend =
        backends_
            .try_emplace(record.id,
                         Backend{.ejection = Ejection(options_.ejection)})
            .first->second;
    if (backend.record.created != record.created) backend.is_replaced = false;
    backend.record = record;
    backend.is_listed = true;
    backend.gate =
        &gates_.try_emplace({record.service, record.group}, options_.gate)
             .first->second;
    by_service_[record.service].push_back(record.id);
    notices_.OnListed(record.id, record.stamp.started_ms);
    limits_.OnListed(record.id, record.stamp.started_ms, now);
  }
  std::erase_if(backends_, [](const auto& item) {
    const Backend& backend = item.second;
    if (backend.is_listed || backend.own_requests > 0) return false;
    backend.gate->stuck_detector().Forget(item.first);
    return true;
  });
  prompt_cache_.SetServers(backends);
  for (auto& [id, backend] : backends_) {
    backend.cache_index = prompt_cache_.IndexOf(id);
  }
  UpdateAllQuotas();
}

void Dispatcher::SetServices(const std::vector<ServiceSpec>& services) {
  services_.clear();
  for (const ServiceSpec& service : services) {
    services_[service.name] = service;
  }
  prompt_cache_.SetServices(services);
  UpdateAllQuotas();
}

void Dispatcher::OnPeerShares(const InstanceId& peer,
                              const std::vector<BackendShare>& shares,
                              TimePoint now) {
  for (auto& [id, backend] : backends_) backend.peers.erase(peer);
  for (const BackendShare& share : shares) {
    const auto it = backends_.find(share.backend);
    if (it == backends_.end()) continue;
    it->second.peers[peer] = {.share = share, .received = now};
  }
}

// Keeps the queue ordered by priority, then by arrival.
void Dispatcher::Submit(Query query) {
  const auto place = std::ranges::upper_bound(
      waiting_, query.priority, {},
      [](const Waiting& waiting) { return waiting.query.priority; });
  waiting_.insert(place, {.query = std::move(query)});
}

void Dispatcher::Withdraw(AttemptNumber number) {
  std::erase_if(waiting_, [number](const Waiting& waiting) {
    return waiting.query.number == number;
  });
}

// Within a priority, puts requests that can still meet their latency target
// before those that have missed it: a late request loses less by waiting longer
// than the others would.
void Dispatcher::SortWaiting(TimePoint now) {
  std::ranges::stable_sort(waiting_, {}, [now](const Waiting& waiting) {
    const Query& query = waiting.query;
    return std::pair(query.priority, now > query.target_start);
  });
}

std::vector<Dispatcher::Decision> Dispatcher::Decide(TimePoint now) {
  SortWaiting(now);
  std::vector<Decision> decisions;
  std::map<ServiceName, int> ahead;
  std::vector<Waiting> remaining;
  for (Waiting& waiting : waiting_) {
    const Query& query = waiting.query;
    if (!CanFinishInTime(query, now)) {
      decisions.push_back(
          Refuse(query, Reason::kDeadlineUnreachable, kSlowServiceRetryAfter));
      continue;
    }
    if (!CanFinishBeforeLeaving(query, now)) {
      decisions.push_back(Refuse(query, Reason::kEntryLeaving, Duration(0)));
      continue;
    }
    if (!query.is_repeatable && HasTriedAll(query)) {
      decisions.push_back(
          Refuse(query, Reason::kBackendRefused, kAllTriedRetryAfter));
      continue;
    }
    // A request may overtake earlier ones that are waiting for other backends.
    if (Backend* backend = Choose(query, now)) {
      decisions.push_back(Send(query, *backend, now));
      continue;
    }
    if (HasStoppedWaiting(query, now)) {
      decisions.push_back(Refuse(query, Reason::kEntryLeaving, Duration(0)));
      continue;
    }
    const auto wait = WaitOf(query.service, ahead[query.service], now);
    if (!HasBackends(query.service)) {
      if (now >= query.start_deadline) {
        decisions.push_back(
            Refuse(query, Reason::kNoBackend, wait.value_or(kNoBackendWait)));
        continue;
      }
    } else if (!wait || !CanStartInTime(waiting, *wait, now)) {
      decisions.push_back(RefuseLate(query, wait, now));
      continue;
    }
    waiting.is_new = false;
    ++ahead[query.service];
    remaining.push_back(std::move(waiting));
  }
  waiting_ = std::move(remaining);
  return decisions;
}

// A stream that can't complete in time would only take the slot of a shorter
// one that can. The estimate uses the recent time between events. While that is
// unknown, all streams are admitted, and their events provide it.
bool Dispatcher::CanFinishInTime(const Query& query, TimePoint now) const {
  if (query.expected_events <= 0) return true;
  const double needed = query.expected_events * MinEventGap(query.service, now);
  return needed * kMinDurationFraction <= ToSeconds(query.deadline - now);
}

// By the caller's deadline if that comes sooner; else by the expected events of
// a stream, or by the time that slow requests of the service took. Where
// neither is known, only a request that may run again elsewhere is sent.
bool Dispatcher::CanFinishBeforeLeaving(const Query& query,
                                        TimePoint now) const {
  if (!leaving_ || query.deadline <= leaving_->end) return true;
  const double left = ToSeconds(leaving_->end - now);
  const double events = query.expected_events * MinEventGap(query.service, now);
  if (events > 0) return events <= left;
  const auto slow = SlowServiceTime(query.service);
  return slow ? ToSeconds(*slow) <= left : query.is_repeatable;
}

// A response that has begun can't be refused any more.
bool Dispatcher::HasStoppedWaiting(const Query& query, TimePoint now) const {
  return leaving_ && now >= leaving_->wait_until && !query.has_begun;
}

std::optional<Duration> Dispatcher::SlowServiceTime(
    const ServiceName& service) const {
  const auto group = by_service_.find(service);
  if (group == by_service_.end()) return std::nullopt;
  double seconds = 0;
  for (const InstanceId& id : group->second) {
    seconds = std::max(seconds, backends_.at(id).slow_service_seconds);
  }
  if (seconds <= 0) return std::nullopt;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

double Dispatcher::MinEventGap(const ServiceName& service,
                               TimePoint now) const {
  double min_gap = 0;
  for (const auto& [key, gate] : gates_) {
    const double gap = key.first == service ? gate.GapSeconds(now) : 0;
    if (gap <= 0) continue;
    min_gap = min_gap == 0 ? gap : std::min(min_gap, gap);
  }
  return min_gap;
}

// By which fraction the passes of the backend's group take longer than those of
// the fastest group; 0 if unknown.
double Dispatcher::GroupLagOf(const Backend& backend, double min_gap,
                              TimePoint now) {
  const double gap = backend.gate->GapSeconds(now);
  return min_gap <= 0 || gap <= 0 ? 0 : std::max(0.0, gap / min_gap - 1);
}

void Dispatcher::OnEventGap(AttemptNumber number, Duration gap, TimePoint now) {
  const auto sent = sent_.find(number);
  if (sent == sent_.end()) return;
  const auto backend = backends_.find(sent->second.backend);
  if (backend == backends_.end()) return;
  backend->second.gate->OnEventGap(sent->second.backend, gap, now);
}

bool Dispatcher::IsStuck(AttemptNumber number,
                         std::optional<TimePoint> last_event,
                         TimePoint now) const {
  const auto sent = sent_.find(number);
  if (sent == sent_.end()) return false;
  const auto backend = backends_.find(sent->second.backend);
  if (backend == backends_.end()) return false;
  return backend->second.gate->stuck_detector().IsStuck(
      {.backend = sent->second.backend,
       .sent = sent->second.at,
       .last_event = last_event},
      now);
}

// A new request must have time to spare, so that few requests are refused after
// they have waited. No margin is required while all groups are closed, because
// the estimate of when one opens is too uncertain.
bool Dispatcher::CanStartInTime(const Waiting& waiting, Duration wait,
                                TimePoint now) const {
  const double expected = ToSeconds(wait);
  const double left = ToSeconds(waiting.query.start_deadline - now);
  const bool needs_margin =
      waiting.is_new && !GroupWait(waiting.query.service, now);
  return expected <= left * (needs_margin ? kMaxInitialWaitFraction : 1.0);
}

Dispatcher::Backend* Dispatcher::Choose(const Query& query, TimePoint now) {
  const auto group = by_service_.find(query.service);
  if (group == by_service_.end()) return nullptr;
  std::vector<Backend*> eligible;
  for (const InstanceId& id : group->second) {
    Backend& backend = backends_.at(id);
    if (IsEligible(backend, query, now)) eligible.push_back(&backend);
  }
  const auto chosen = ChooseAmong(eligible, query, now);
  return chosen ? eligible[*chosen] : nullptr;
}

std::optional<std::size_t> Dispatcher::ChooseAmong(
    const std::vector<Backend*>& eligible, const Query& query, TimePoint now) {
  const double min_gap = MinEventGap(query.service, now);
  const PromptCache::Held held =
      prompt_cache_.Find(query.service, query.prefix, now);
  BackendCandidates candidates;
  candidates.reserve(eligible.size());
  for (const Backend* backend : eligible) {
    candidates.push_back({.id = backend->record.id.value(),
                          .cost = CostOf(*backend, query, min_gap, now),
                          .slots = backend->record.slots,
                          .suspects = backend->own_suspects,
                          .saving = held.SavingAt(backend->cache_index)});
  }
  if (query.crash_suspect) {
    return ChooseForSuspect(candidates, *query.crash_suspect);
  }
  const bool use_least_loaded =
      entry_quota_.entries() <= options_.max_least_loaded_entries;
  return use_least_loaded ? ChooseLeastLoaded(candidates, random_)
                          : DrawByFreeCapacity(candidates, random_);
}

bool Dispatcher::HasRankGroups(const ServiceName& service) const {
  const ServiceSpec* spec = SpecOf(service);
  return spec != nullptr && spec->engine && spec->engine->expert_sets > 0;
}

std::optional<Duration> Dispatcher::GroupWait(const ServiceName& service,
                                              TimePoint now) const {
  const auto group = by_service_.find(service);
  if (group == by_service_.end()) return std::nullopt;
  std::optional<Duration> min_wait;
  for (const InstanceId& id : group->second) {
    const auto wait = backends_.at(id).gate->ExpectedWait(now);
    if (!wait) return std::nullopt;
    min_wait = std::min(min_wait.value_or(*wait), *wait);
  }
  return min_wait;
}

bool Dispatcher::IsEligible(const Backend& backend, const Query& query,
                            TimePoint now) {
  if (backend.is_replaced || backend.ejection.IsEjected(now)) return false;
  if (!backend.gate->MayPass(now)) return false;
  const bool is_suspect =
      backend.gate->stuck_detector().IsSuspect(backend.record.id);
  if (is_suspect && backend.own_requests > 0) return false;
  if (!notices_.IsAvailable(backend.record.id, now)) return false;
  if (std::ranges::find(query.tried, backend.record.id) != query.tried.end()) {
    return false;
  }
  if (!query.zones.empty() &&
      std::ranges::find(query.zones, backend.record.zone) ==
          query.zones.end()) {
    return false;
  }
  if (RequestsInProgress(backend, now) >= backend.record.slots) return false;
  if (backend.max_connections == 0) return false;
  if (!limits_.MaySend(backend.record.id, now)) return false;
  return static_cast<int>(backend.recent.Count(now)) < backend.max_per_second;
}

int Dispatcher::RequestsInProgress(const Backend& backend,
                                   TimePoint now) const {
  int requests = backend.own_requests;
  for (const auto& [peer, peer_share] : backend.peers) {
    if (peer_share.received + options_.peer_share_ttl >= now) {
      requests += peer_share.share.requests;
    }
  }
  return requests;
}

int Dispatcher::PrefillTokens(const Backend& backend, TimePoint now) const {
  int tokens = backend.own_prefill_tokens;
  for (const auto& [peer, peer_share] : backend.peers) {
    if (peer_share.received + options_.peer_share_ttl >= now) {
      tokens += peer_share.share.prefill_tokens;
    }
  }
  return tokens;
}

double Dispatcher::CostOf(const Backend& backend, const Query& query,
                          double min_gap, TimePoint now) const {
  const ServiceSpec* spec = SpecOf(query.service);
  const bool is_engine = spec != nullptr && spec->engine;
  const BackendLoad load = {.requests = RequestsInProgress(backend, now),
                            .prefill_tokens = PrefillTokens(backend, now),
                            .slowdown = backend.record.slowdown,
                            .group_lag = GroupLagOf(backend, min_gap, now),
                            .service_seconds = backend.service_seconds,
                            .failure_rate = backend.ejection.failure_rate()};
  const double penalty =
      backend.record.zone == options_.zone ? 0 : options_.zone_penalty;
  return LoadCost(load, is_engine ? &*spec->engine : nullptr) + penalty;
}

// Limits the requests per second that all entries together send to a backend to
// the rate that a cold one sustains. The limit always applies, because a
// backend becomes cold without notice. The limits are divided among one entry
// more than is known, since a new one may be sending before this one learns of
// it.
void Dispatcher::UpdateQuotas(Backend& backend) const {
  constexpr int kUnlimited = std::numeric_limits<int>::max();
  const ServiceSpec* spec = SpecOf(backend.record.service);
  const double entries = entry_quota_.entries();
  const auto quota_for = [&](double all) {
    return all > 0 ? entry_quota_.QuotaFor(all * entries / (entries + 1),
                                           backend.record.id)
                   : kUnlimited;
  };
  backend.max_per_second = kUnlimited;
  backend.max_connections = kUnlimited;
  if (spec == nullptr) return;
  backend.max_connections = quota_for(spec->max_connections);
  if (spec->cold_per_s <= 0) return;
  backend.max_per_second =
      quota_for(spec->cold_per_s * options_.cold_overrun + options_.cold_slack);
}

void Dispatcher::UpdateAllQuotas() {
  for (auto& [id, backend] : backends_) UpdateQuotas(backend);
}

void Dispatcher::SetEntries(const InstanceId& self,
                            const std::vector<InstanceId>& entries,
                            TimePoint now) {
  if (!entry_quota_.SetEntries(self, entries)) return;
  UpdateAllQuotas();
  limits_.SetEntries(entry_quota_, now);
}

const ServiceSpec* Dispatcher::SpecOf(const ServiceName& service) const {
  const auto it = services_.find(service);
  return it == services_.end() ? nullptr : &it->second;
}

bool Dispatcher::HasTriedAll(const Query& query) const {
  const auto group = by_service_.find(query.service);
  return group != by_service_.end() && !query.tried.empty() &&
         std::ranges::all_of(group->second, [&](const InstanceId& id) {
           return std::ranges::find(query.tried, id) != query.tried.end();
         });
}

bool Dispatcher::HasBackends(const ServiceName& service) const {
  return by_service_.contains(service);
}

Dispatcher::Decision Dispatcher::Send(const Query& query, Backend& backend,
                                      TimePoint now) {
  const int held_tokens =
      prompt_cache_.OnSent({.number = query.number,
                            .server = backend.cache_index,
                            .prefix = &query.prefix,
                            .prompt_tokens = query.prompt_tokens,
                            .load = RequestsInProgress(backend, now),
                            .entries = entry_quota_.entries()},
                           now);
  ++backend.own_requests;
  backend.own_prefill_tokens += query.prompt_tokens;
  backend.own_suspects += query.crash_suspect ? 1 : 0;
  backend.recent.Add(now);
  limits_.OnSent(backend.record.id, now);
  backend.gate->OnSent(query.number);
  sent_[query.number] = {.backend = backend.record.id,
                         .service = query.service,
                         .gate = backend.gate,
                         .prefill_tokens = query.prompt_tokens,
                         .is_suspect = query.crash_suspect.has_value(),
                         .at = now};
  return {.number = query.number,
          .backend = backend.record,
          .held_tokens = held_tokens};
}

Dispatcher::Decision Dispatcher::Refuse(const Query& query, Reason reason,
                                        Duration wait) {
  const auto millis = std::chrono::duration_cast<Millis>(wait);
  return {.number = query.number,
          .backend = std::nullopt,
          .reason = reason,
          .retry_after = std::clamp(millis, kMinRetryAfter, kMaxRetryAfter)};
}

// Refuses a request that can't start in time. Where backends state request
// limits, the callers' returns are spread, as these come at once when a limit
// ends.
Dispatcher::Decision Dispatcher::RefuseLate(const Query& query,
                                            std::optional<Duration> wait,
                                            TimePoint now) {
  if (!HasLimits(query.service, now)) {
    return Refuse(query, Reason::kDeadlineUnreachable,
                  wait.value_or(kNoBackendWait));
  }
  const auto spread = std::chrono::duration_cast<Duration>(
      wait.value_or(kNoShareWait) * (1 + random_.Unit()));
  return Refuse(query, Reason::kBackendLimit, spread);
}

bool Dispatcher::HasLimits(const ServiceName& service, TimePoint now) {
  const auto group = by_service_.find(service);
  return group != by_service_.end() &&
         std::ranges::any_of(group->second, [&](const InstanceId& id) {
           return limits_.Find(id, now).has_value();
         });
}

std::optional<Duration> Dispatcher::WaitOf(const ServiceName& service,
                                           int ahead, TimePoint now) {
  if (const auto wait = GroupWait(service, now)) return *wait;
  if (!HasBackends(service)) return kNoBackendWait;
  if (const auto until = EarliestBackoffEnd(service, now)) return *until - now;
  return ExpectedWait(CapacityOf(service, now), ahead);
}

ServiceCapacity Dispatcher::CapacityOf(const ServiceName& service,
                                       TimePoint now) {
  ServiceCapacity capacity{.entries = entry_quota_.entries()};
  for (const InstanceId& id : by_service_.at(service)) {
    const Backend& backend = backends_.at(id);
    if (backend.gate->is_closed()) continue;
    capacity.service_seconds += backend.service_seconds;
    capacity.served += backend.service_seconds > 0 ? 1 : 0;
    const auto limit = limits_.Find(id, now);
    if (!limit) {
      capacity.slots += backend.record.slots;
      continue;
    }
    capacity.limited_per_s += limit->own_per_s;
    const Duration next = limits_.TimeToNext(id, now).value_or(kNoShareWait);
    capacity.first_limited =
        std::min(capacity.first_limited.value_or(next), next);
  }
  return capacity;
}

std::optional<TimePoint> Dispatcher::EarliestBackoffEnd(
    const ServiceName& service, TimePoint now) const {
  std::optional<TimePoint> first;
  for (const InstanceId& id : by_service_.at(service)) {
    if (notices_.IsLeaving(id)) continue;
    const TimePoint until = notices_.BackoffUntil(id);
    if (until <= now) return std::nullopt;
    first = std::min(first.value_or(until), until);
  }
  return first;
}

void Dispatcher::OnNotice(const InstanceId& id, bool is_leaving,
                          std::optional<Millis> backoff, TimePoint now) {
  if (is_leaving) {
    const auto known = backends_.find(id);
    const auto started_ms = known == backends_.end()
                                ? std::nullopt
                                : known->second.record.stamp.started_ms;
    notices_.OnLeaving(id, started_ms, now);
  }
  if (!backoff || *backoff <= Millis(0)) return;
  notices_.OnBackoff(id, *backoff, now);
  Log(LogLevel::kInfo, "backend_backoff",
      {{"backend", id.value()}, {"ms", backoff->count()}});
}

void Dispatcher::OnStatedLimit(const InstanceId& id, const StatedLimit& limit,
                               TimePoint sent, TimePoint now) {
  const auto known = backends_.find(id);
  const auto started_ms = known == backends_.end()
                              ? std::nullopt
                              : known->second.record.stamp.started_ms;
  if (limits_.OnStated(id, limit, started_ms, sent, now)) {
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
       {"entries", entry_quota_.entries()},
       {"source", source == LimitSource::kAnswer ? "answer" : "peer"}});
}

void Dispatcher::OnResponseStarted(AttemptNumber number, TimePoint now) {
  const auto it = sent_.find(number);
  if (it == sent_.end()) return;
  prompt_cache_.OnResponseStarted(number, now);
  const auto backend = backends_.find(it->second.backend);
  if (backend != backends_.end()) {
    it->second.gate->OnResponseStarted(it->second.backend, it->second.at, now);
    backend->second.own_prefill_tokens -= it->second.prefill_tokens;
    backend->second.own_suspects -= it->second.is_suspect ? 1 : 0;
  }
  it->second.prefill_tokens = 0;
  it->second.is_suspect = false;
}

void Dispatcher::RecordServiceTime(Backend& backend, double seconds) {
  const bool is_first = backend.service_seconds == 0;
  backend.service_seconds =
      is_first ? seconds : Smoothed(backend.service_seconds, seconds);
  backend.slow_service_seconds =
      std::max(seconds, Smoothed(backend.slow_service_seconds, seconds));
}

void Dispatcher::OnEnded(AttemptNumber number, Result result, TimePoint now) {
  const auto it = sent_.find(number);
  if (it == sent_.end()) return;
  const Sent sent = it->second;
  sent_.erase(it);
  sent.gate->OnEnded(number);
  prompt_cache_.OnEnded(number);
  if (MayHaveCrashed(result)) prompt_cache_.Forget(sent.backend);
  const auto found = backends_.find(sent.backend);
  if (found == backends_.end()) return;
  Backend& backend = found->second;
  --backend.own_requests;
  backend.own_prefill_tokens -= sent.prefill_tokens;
  backend.own_suspects -= sent.is_suspect ? 1 : 0;
  switch (result) {
    case Result::kServed:
      backend.ejection.OnServed();
      RecordServiceTime(backend, ToSeconds(now - sent.at));
      break;
    case Result::kRejected:
      if (!HasRankGroups(sent.service)) {
        backend.ejection.OnRefused(now);
      } else if (!sent.gate->OnRefused(backend.record.id, now)) {
        Eject(backend, now);
      }
      break;
    case Result::kAddressReused:
      backend.is_replaced = true;
      break;
    case Result::kUnreachable:
      Eject(backend, now);
      break;
    case Result::kFailed:
      if (backend.ejection.OnFailed()) Eject(backend, now);
      break;
    case Result::kRequestFault:
      break;
    case Result::kStuck:
      backend.gate->stuck_detector().OnAbandoned(backend.record.id, now);
      Eject(backend, now);
      break;
    case Result::kCancelled:
      break;
  }
}

bool Dispatcher::MayStillSend(AttemptNumber number, TimePoint now) const {
  const auto sent = sent_.find(number);
  if (sent == sent_.end()) return false;
  const InstanceId& id = sent->second.backend;
  return IsListed(id) && !backends_.at(id).is_replaced &&
         notices_.IsAvailable(id, now);
}

// Ejects the backend for a time that doubles with each failure, as long as
// enough others (see `max_ejected_fraction`) remain to carry the load.
void Dispatcher::Eject(Backend& backend, TimePoint now) {
  const auto& group = by_service_[backend.record.service];
  const auto ejected = std::ranges::count_if(group, [&](const auto& id) {
    return backends_.at(id).ejection.IsEjected(now);
  });
  if (static_cast<double>(ejected + 1) >
      options_.max_ejected_fraction * static_cast<double>(group.size())) {
    return;
  }
  backend.ejection.Begin(now);
}

void Dispatcher::OnFailedElsewhere(const InstanceId& id) {
  const auto it = backends_.find(id);
  if (it != backends_.end()) it->second.ejection.UndoLastFailure();
}

std::vector<BackendShare> Dispatcher::OwnShares() const {
  std::vector<BackendShare> shares;
  for (const auto& [id, backend] : backends_) {
    if (backend.own_requests == 0 || !backend.is_listed) continue;
    shares.push_back({.backend = id,
                      .requests = backend.own_requests,
                      .prefill_tokens = backend.own_prefill_tokens});
  }
  return shares;
}

int Dispatcher::MaxConnections(const InstanceId& id) const {
  const auto it = backends_.find(id);
  return it == backends_.end() ? 0 : it->second.max_connections;
}

}  // namespace mangohold
