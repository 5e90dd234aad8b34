#include "routing/dispatcher.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "core/log.h"
#include "routing/load_cost.h"

namespace mangohold {
namespace {

// Weight of the newest value in smoothed ones.
constexpr double kSmoothing = 0.2;
// Room of a backend server that is open but costly, in requests.
constexpr double kLeastRoom = 0.05;
// A refused caller is asked to come back between these times.
constexpr Millis kLeastRetryAfter{100};
constexpr Millis kMostRetryAfter{2'000};
// The part of a caller's patience that a new request's expected wait may take.
constexpr double kShareOfPatience = 0.75;
// The part of an expected duration that is taken for certain.
constexpr double kCertainShare = 0.8;
// Callers come back after this when a service is too slow for them.
constexpr Millis kSlowRetry{1'000};
// Service time of a backend server that has served nothing yet.
constexpr double kUnknownServiceSeconds = 1.0;
// Time after which a service without any backend server may have one again.
constexpr Millis kUnknownWait{500};

double Smoothed(double before, double value) {
  return before + kSmoothing * (value - before);
}

}  // namespace

Dispatcher::Dispatcher(Options options)
    : options_(std::move(options)), random_(options_.seed) {}

void Dispatcher::SetBackends(const std::vector<BackendRecord>& backends) {
  by_service_.clear();
  for (auto& [id, backend] : backends_) backend.is_listed = false;
  for (const BackendRecord& record : backends) {
    Backend& backend =
        backends_
            .try_emplace(record.id,
                         Backend{.ejection = Ejection(options_.ejection)})
            .first->second;
    if (backend.record.created != record.created) backend.is_gone = false;
    backend.record = record;
    backend.is_listed = true;
    backend.gate =
        &gates_.try_emplace({record.service, record.group}, options_.gate)
             .first->second;
    by_service_[record.service].push_back(record.id);
    notices_.OnListed(record.id, record.stamp.started_ms);
  }
  std::erase_if(backends_, [](const auto& item) {
    const Backend& backend = item.second;
    if (backend.is_listed || backend.own_requests > 0) return false;
    backend.gate->standstill().Forget(item.first);
    return true;
  });
  SetAllParts();
}

void Dispatcher::SetServices(const std::vector<ServiceSpec>& services) {
  services_.clear();
  for (const ServiceSpec& service : services) {
    services_[service.name] = service;
  }
  SetAllParts();
}

void Dispatcher::OnPeerShares(const InstanceId& peer,
                              const std::vector<BackendShare>& shares,
                              TimePoint now) {
  for (auto& [id, backend] : backends_) backend.peers.erase(peer);
  for (const BackendShare& share : shares) {
    const auto it = backends_.find(share.backend);
    if (it == backends_.end()) continue;
    it->second.peers[peer] = {.share = share, .heard = now};
  }
}

// The queue is kept in the order of turns: by urgency, then by arrival.
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

// Within one urgency those go first that can still be on time: who is late
// already loses less by waiting on than the others would.
void Dispatcher::SortWaiting(TimePoint now) {
  std::ranges::stable_sort(waiting_, {}, [now](const Waiting& waiting) {
    const Query& query = waiting.query;
    return std::pair(query.priority, now > query.on_time_until);
  });
}

std::vector<Dispatcher::Decision> Dispatcher::Decide(TimePoint now) {
  SortWaiting(now);
  std::vector<Decision> decisions;
  std::map<ServiceName, int> ahead;
  std::vector<Waiting> still;
  for (Waiting& waiting : waiting_) {
    const Query& query = waiting.query;
    if (!CanFinish(query, now)) {
      decisions.push_back(
          Refuse(query, Reason::kDeadlineUnreachable, kSlowRetry));
      continue;
    }
    // A request waits behind those before it, unless they may go elsewhere
    // only.
    if (Backend* backend = Choose(query, now)) {
      decisions.push_back(Send(query, *backend, now));
      continue;
    }
    const Duration wait =
        ExpectedWait(query.service, ahead[query.service], now);
    if (!HasBackends(query.service)) {
      if (now >= query.give_up) {
        decisions.push_back(Refuse(query, Reason::kNoBackend, wait));
        continue;
      }
    } else if (!HasHope(waiting, wait, now)) {
      decisions.push_back(Refuse(query, Reason::kDeadlineUnreachable, wait));
      continue;
    }
    waiting.is_new = false;
    ++ahead[query.service];
    still.push_back(std::move(waiting));
  }
  waiting_ = std::move(still);
  return decisions;
}

// A stream that can't be whole in time would only take the place of a shorter
// one, which can. The pace is judged by what came lately; without that, streams
// are let through and show it.
bool Dispatcher::CanFinish(const Query& query, TimePoint now) const {
  if (query.events <= 0) return true;
  const double needed = query.events * LeastGap(query.service, now);
  return needed * kCertainShare <= ToSeconds(query.deadline - now);
}

double Dispatcher::LeastGap(const ServiceName& service, TimePoint now) const {
  double least = 0;
  for (const auto& [key, gate] : gates_) {
    const double gap = key.first == service ? gate.GapSeconds(now) : 0;
    if (gap <= 0) continue;
    least = least == 0 ? gap : std::min(least, gap);
  }
  return least;
}

// By how much the passes of the backend server's group take longer than those
// of the fastest one.
double Dispatcher::SlownessOf(const Backend& backend, double least_gap,
                              TimePoint now) {
  const double gap = backend.gate->GapSeconds(now);
  return least_gap <= 0 || gap <= 0 ? 0 : std::max(0.0, gap / least_gap - 1);
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
  return backend->second.gate->standstill().IsStuck(
      {.backend = sent->second.backend,
       .sent = sent->second.at,
       .last_event = last_event},
      now);
}

// A request joins the queue only with time to spare, so that few of those that
// wait are refused later on. Of a closed group's return too little is known to
// ask for more.
bool Dispatcher::HasHope(const Waiting& waiting, Duration wait,
                         TimePoint now) const {
  const double expected = ToSeconds(wait);
  const double left = ToSeconds(waiting.query.give_up - now);
  const bool needs_margin =
      waiting.is_new && !GroupWait(waiting.query.service, now);
  return expected <= left * (needs_margin ? kShareOfPatience : 1.0);
}

Dispatcher::Backend* Dispatcher::Choose(const Query& query, TimePoint now) {
  const auto group = by_service_.find(query.service);
  if (group == by_service_.end()) return nullptr;
  std::vector<Backend*> open;
  for (const InstanceId& id : group->second) {
    Backend& backend = backends_.at(id);
    if (IsOpen(backend, query, now)) open.push_back(&backend);
  }
  const double least_gap = LeastGap(query.service, now);
  const bool is_exact = reach_.entries() <= options_.most_exact_entries;
  return is_exact ? LeastLoaded(open, query, least_gap, now)
                  : DrawByRoom(open, query, least_gap, now);
}

Dispatcher::Backend* Dispatcher::LeastLoaded(const std::vector<Backend*>& open,
                                             const Query& query,
                                             double least_gap, TimePoint now) {
  Backend* best = nullptr;
  double best_cost = std::numeric_limits<double>::max();
  for (Backend* backend : open) {
    // A random part breaks ties differently at each entry.
    const double cost =
        CostOf(*backend, query, least_gap, now) + random_.Unit() * 0.1;
    if (cost >= best_cost) continue;
    best = backend;
    best_cost = cost;
  }
  return best;
}

// Each backend server gets work in proportion to the room that it had a while
// ago, so that what all entries send together fills it evenly.
Dispatcher::Backend* Dispatcher::DrawByRoom(const std::vector<Backend*>& open,
                                            const Query& query,
                                            double least_gap, TimePoint now) {
  std::vector<double> weights;
  double sum = 0;
  for (const Backend* backend : open) {
    const double room =
        backend->record.slots - CostOf(*backend, query, least_gap, now);
    sum += std::max(kLeastRoom, room);
    weights.push_back(sum);
  }
  const auto drawn = std::ranges::upper_bound(weights, random_.Unit() * sum);
  return drawn == weights.end() ? nullptr : open[drawn - weights.begin()];
}

bool Dispatcher::IsGroup(const ServiceName& service) const {
  const ServiceSpec* spec = SpecOf(service);
  return spec != nullptr && spec->engine && spec->engine->expert_sets > 0;
}

std::optional<Duration> Dispatcher::GroupWait(const ServiceName& service,
                                              TimePoint now) const {
  const auto group = by_service_.find(service);
  if (group == by_service_.end()) return std::nullopt;
  std::optional<Duration> least;
  for (const InstanceId& id : group->second) {
    const auto wait = backends_.at(id).gate->ExpectedWait(now);
    if (!wait) return std::nullopt;
    least = std::min(least.value_or(*wait), *wait);
  }
  return least;
}

bool Dispatcher::IsOpen(const Backend& backend, const Query& query,
                        TimePoint now) {
  if (backend.is_gone || backend.ejection.IsEjected(now)) return false;
  if (!backend.gate->MayPass(now)) return false;
  const bool is_suspect =
      backend.gate->standstill().IsSuspect(backend.record.id);
  if (is_suspect && backend.own_requests > 0) return false;
  if (!notices_.IsWelcome(backend.record.id, now)) return false;
  if (std::ranges::find(query.tried, backend.record.id) != query.tried.end()) {
    return false;
  }
  if (!query.zones.empty() &&
      std::ranges::find(query.zones, backend.record.zone) ==
          query.zones.end()) {
    return false;
  }
  if (RequestsAt(backend, now) >= backend.record.slots) return false;
  if (backend.most_connections == 0) return false;
  return static_cast<int>(backend.recent.Count(now)) < backend.most_per_second;
}

int Dispatcher::RequestsAt(const Backend& backend, TimePoint now) const {
  int requests = backend.own_requests;
  for (const auto& [peer, told] : backend.peers) {
    if (told.heard + options_.peer_memory >= now) {
      requests += told.share.requests;
    }
  }
  return requests;
}

int Dispatcher::UnreadAt(const Backend& backend, TimePoint now) const {
  int tokens = backend.own_unread;
  for (const auto& [peer, told] : backend.peers) {
    if (told.heard + options_.peer_memory >= now) {
      tokens += told.share.unread_tokens;
    }
  }
  return tokens;
}

double Dispatcher::CostOf(const Backend& backend, const Query& query,
                          double least_gap, TimePoint now) const {
  const ServiceSpec* spec = SpecOf(query.service);
  const bool is_engine = spec != nullptr && spec->engine;
  const BackendLoad load = {.requests = RequestsAt(backend, now),
                            .unread_tokens = UnreadAt(backend, now),
                            .pace = backend.record.pace,
                            .slowness = SlownessOf(backend, least_gap, now),
                            .service_seconds = backend.service_seconds,
                            .failure_share = backend.ejection.failure_share()};
  const double penalty =
      backend.record.zone == options_.zone ? 0 : options_.zone_penalty;
  return LoadCost(load, is_engine ? &*spec->engine : nullptr) + penalty;
}

// What all entries together may send to one backend server in a second keeps to
// what a cold one bears. A backend server turns cold without notice, so the
// bound holds always. One entry more than is known has a part, since it may be
// taking work before this one hears of it.
void Dispatcher::SetParts(Backend& backend) const {
  constexpr int kUnlimited = std::numeric_limits<int>::max();
  const ServiceSpec* spec = SpecOf(backend.record.service);
  const double entries = reach_.entries();
  const auto part_of = [&](double all) {
    return all > 0
               ? reach_.PartOf(all * entries / (entries + 1), backend.record.id)
               : kUnlimited;
  };
  backend.most_per_second = kUnlimited;
  backend.most_connections = kUnlimited;
  if (spec == nullptr) return;
  backend.most_connections = part_of(spec->max_connections);
  if (spec->cold_per_s <= 0) return;
  backend.most_per_second =
      part_of(spec->cold_per_s * options_.cold_overrun + options_.cold_slack);
}

void Dispatcher::SetAllParts() {
  for (auto& [id, backend] : backends_) SetParts(backend);
}

void Dispatcher::SetEntries(const InstanceId& self,
                            const std::vector<InstanceId>& entries) {
  if (reach_.SetEntries(self, entries)) SetAllParts();
}

const ServiceSpec* Dispatcher::SpecOf(const ServiceName& service) const {
  const auto it = services_.find(service);
  return it == services_.end() ? nullptr : &it->second;
}

bool Dispatcher::HasBackends(const ServiceName& service) const {
  return by_service_.contains(service);
}

Dispatcher::Decision Dispatcher::Send(const Query& query, Backend& backend,
                                      TimePoint now) {
  ++backend.own_requests;
  backend.own_unread += query.prompt_tokens;
  backend.recent.Add(now);
  backend.gate->OnSent(query.number);
  sent_[query.number] = {.backend = backend.record.id,
                         .service = query.service,
                         .gate = backend.gate,
                         .unread_tokens = query.prompt_tokens,
                         .at = now};
  return {.number = query.number, .backend = backend.record};
}

Dispatcher::Decision Dispatcher::Refuse(const Query& query, Reason reason,
                                        Duration wait) {
  const auto millis = std::chrono::duration_cast<Millis>(wait);
  return {.number = query.number,
          .backend = std::nullopt,
          .reason = reason,
          .retry_after = std::clamp(millis, kLeastRetryAfter, kMostRetryAfter)};
}

// When all slots are taken, turns come as this entry's part of the slots gets
// free.
Duration Dispatcher::ExpectedWait(const ServiceName& service, int ahead,
                                  TimePoint now) const {
  if (const auto wait = GroupWait(service, now)) return *wait;
  const auto group = by_service_.find(service);
  if (group == by_service_.end()) return kUnknownWait;
  if (const auto until = QuietUntil(service, now)) return *until - now;
  double slots = 0;
  double seconds = 0;
  int known = 0;
  for (const InstanceId& id : group->second) {
    const Backend& backend = backends_.at(id);
    if (backend.gate->is_closed()) continue;
    slots += backend.record.slots;
    seconds += backend.service_seconds;
    known += backend.service_seconds > 0 ? 1 : 0;
  }
  const double share = std::max(1.0, slots / reach_.entries());
  const double turn =
      (known > 0 ? seconds / known : kUnknownServiceSeconds) / share;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(turn * (ahead + 1)));
}

std::optional<TimePoint> Dispatcher::QuietUntil(const ServiceName& service,
                                                TimePoint now) const {
  std::optional<TimePoint> first;
  for (const InstanceId& id : by_service_.at(service)) {
    if (notices_.IsLeaving(id)) continue;
    const TimePoint until = notices_.QuietUntil(id);
    if (until <= now) return std::nullopt;
    first = std::min(first.value_or(until), until);
  }
  return first;
}

void Dispatcher::OnNotice(const InstanceId& id, bool is_leaving,
                          std::optional<Millis> quiet, TimePoint now) {
  if (is_leaving) {
    const auto known = backends_.find(id);
    const auto started_ms = known == backends_.end()
                                ? std::nullopt
                                : known->second.record.stamp.started_ms;
    notices_.OnLeaving(id, started_ms, now);
  }
  if (!quiet || *quiet <= Millis(0)) return;
  notices_.OnQuiet(id, *quiet, now);
  Log(LogLevel::kInfo, "backend_quiet",
      {{"backend", id.value()}, {"ms", quiet->count()}});
}

void Dispatcher::OnAnswerBegun(AttemptNumber number, TimePoint now) {
  const auto it = sent_.find(number);
  if (it == sent_.end()) return;
  const auto backend = backends_.find(it->second.backend);
  if (backend != backends_.end()) {
    it->second.gate->OnBegun(it->second.backend, it->second.at, now);
    backend->second.own_unread -= it->second.unread_tokens;
  }
  it->second.unread_tokens = 0;
}

void Dispatcher::OnEnded(AttemptNumber number, Result result, TimePoint now) {
  const auto it = sent_.find(number);
  if (it == sent_.end()) return;
  const Sent sent = it->second;
  sent_.erase(it);
  sent.gate->OnEnded(number);
  const auto found = backends_.find(sent.backend);
  if (found == backends_.end()) return;
  Backend& backend = found->second;
  --backend.own_requests;
  backend.own_unread -= sent.unread_tokens;
  switch (result) {
    case Result::kServed:
      backend.ejection.OnServed();
      backend.service_seconds =
          backend.service_seconds == 0
              ? ToSeconds(now - sent.at)
              : Smoothed(backend.service_seconds, ToSeconds(now - sent.at));
      break;
    case Result::kRejected:
      if (!IsGroup(sent.service)) {
        backend.ejection.OnRefused(now);
      } else if (!sent.gate->OnRefused(backend.record.id, now)) {
        Eject(backend, now);
      }
      break;
    case Result::kGone:
      backend.is_gone = true;
      break;
    case Result::kUnreachable:
      Eject(backend, now);
      break;
    case Result::kFailed:
      if (backend.ejection.OnFailed()) Eject(backend, now);
      break;
    case Result::kFailedAlike:
      break;
    case Result::kStuck:
      backend.gate->standstill().OnLeft(backend.record.id, now);
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
  return Knows(id) && !backends_.at(id).is_gone && notices_.IsWelcome(id, now);
}

// Passes a backend server over for a time that doubles with each failure, as
// long as enough others are left to bear the load.
void Dispatcher::Eject(Backend& backend, TimePoint now) {
  const auto& group = by_service_[backend.record.service];
  const auto ejected = std::ranges::count_if(group, [&](const auto& id) {
    return backends_.at(id).ejection.IsEjected(now);
  });
  if (static_cast<double>(ejected + 1) >
      options_.most_ejected * static_cast<double>(group.size())) {
    return;
  }
  backend.ejection.Begin(now);
}

void Dispatcher::OnFailedElsewhere(const InstanceId& id) {
  const auto it = backends_.find(id);
  if (it != backends_.end()) it->second.ejection.ForgiveLast();
}

std::vector<BackendShare> Dispatcher::OwnShares() const {
  std::vector<BackendShare> shares;
  for (const auto& [id, backend] : backends_) {
    if (backend.own_requests == 0 || !backend.is_listed) continue;
    shares.push_back({.backend = id,
                      .requests = backend.own_requests,
                      .unread_tokens = backend.own_unread});
  }
  return shares;
}

int Dispatcher::MostConnections(const InstanceId& id) const {
  const auto it = backends_.find(id);
  return it == backends_.end() ? 0 : it->second.most_connections;
}

}  // namespace mangohold
