#include "routing/backend_table.h"

#include <algorithm>

namespace mangohold {
namespace {

// The load of all backends is summed for the limits once in this time.
constexpr Millis kPassUpdateInterval{50};

// The requests that the ranks of a group have in progress.
struct GroupLoad {
  int requests = 0;
  int ranks = 0;
};

}  // namespace

void BackendTable::SetBackends(const std::vector<BackendRecord>& backends) {
  by_service_.clear();
  for (auto& [id, backend] : backends_) backend.is_listed = false;
  for (const BackendRecord& record : backends) List(record);
  RemoveUnused();
  UpdateQuotas();
}

void BackendTable::List(const BackendRecord& record) {
  TrackedBackend& backend =
      backends_
          .try_emplace(record.id,
                       TrackedBackend{.ejection = Ejection(options_.ejection)})
          .first->second;
  if (backend.record.created != record.created) backend.is_replaced = false;
  backend.record = record;
  backend.is_listed = true;
  backend.gate =
      &gates_.try_emplace({record.service, record.group}, options_.gate)
           .first->second;
  by_service_[record.service].push_back(&backend);
}

void BackendTable::RemoveUnused() {
  std::erase_if(backends_, [](const auto& item) {
    const TrackedBackend& backend = item.second;
    if (backend.is_listed || backend.own_requests > 0) return false;
    backend.gate->stuck_detector().Forget(item.first);
    return true;
  });
}

void BackendTable::SetServices(const std::vector<ServiceSpec>& services) {
  services_.clear();
  for (const ServiceSpec& service : services) {
    services_[service.name] = service;
  }
  UpdateQuotas();
}

bool BackendTable::SetEntries(const InstanceId& self,
                              const std::vector<InstanceId>& entries) {
  if (!entry_quota_.SetEntries(self, entries)) return false;
  UpdateQuotas();
  return true;
}

void BackendTable::UpdateQuotas() {
  for (auto& [id, backend] : backends_) {
    backend.quotas = QuotasAt(id, SpecOf(backend.record.service), entry_quota_,
                              options_.cold_margin);
  }
}

void BackendTable::OnPeerShares(const InstanceId& peer,
                                const std::vector<BackendShare>& shares,
                                TimePoint now) {
  for (auto& [id, backend] : backends_) backend.peers.erase(peer);
  for (const BackendShare& share : shares) {
    TrackedBackend* backend = Find(share.backend);
    if (backend == nullptr) continue;
    backend->peers[peer] = {.share = share,
                            .expires = now + options_.peer_share_ttl};
  }
}

void BackendTable::UpdatePassLimits(TimePoint now) {
  if (options_.pass_limit.gap_fraction <= 0 || now < next_pass_update_) return;
  next_pass_update_ = now + kPassUpdateInterval;
  ObserveGaps(now);
  for (auto& [id, backend] : backends_) {
    const BackendRecord& record = backend.record;
    const ServiceSpec* spec = SpecOf(record.service);
    const auto limit = pass_limits_.find({record.service, record.group});
    backend.pass_limit_slots.reset();
    if (spec == nullptr || !spec->engine || limit == pass_limits_.end()) {
      continue;
    }
    backend.pass_limit_slots = limit->second.MaxRequests(
        record.slots, *spec->engine, spec->target_gap, now);
  }
}

// Tells the limits the gaps of the groups that have streamed events lately.
void BackendTable::ObserveGaps(TimePoint now) {
  std::map<GroupKey, GroupLoad> loads;
  for (const auto& [id, backend] : backends_) {
    if (!backend.is_listed || backend.gate->GapSeconds(now) <= 0) continue;
    GroupLoad& load = loads[{backend.record.service, backend.record.group}];
    load.requests += backend.RequestsInProgress(now);
    ++load.ranks;
  }
  for (const auto& [key, load] : loads) {
    const ServiceSpec* spec = SpecOf(key.first);
    if (spec == nullptr || !spec->engine) continue;
    const double mean = static_cast<double>(load.requests) / load.ranks;
    pass_limits_.try_emplace(key, options_.pass_limit)
        .first->second.OnGap(gates_.at(key).GapSeconds(now), mean,
                             *spec->engine, now);
  }
}

void BackendTable::Eject(TrackedBackend& backend, TimePoint now) {
  const auto group = BackendsOf(backend.record.service);
  const auto ejected =
      std::ranges::count_if(group, [now](const TrackedBackend* other) {
        return other->ejection.IsEjected(now);
      });
  if (static_cast<double>(ejected + 1) >
      options_.max_ejected_fraction * static_cast<double>(group.size())) {
    return;
  }
  backend.ejection.Begin(now);
}

TrackedBackend* BackendTable::Find(const InstanceId& id) {
  const auto it = backends_.find(id);
  return it == backends_.end() ? nullptr : &it->second;
}

const TrackedBackend* BackendTable::Find(const InstanceId& id) const {
  const auto it = backends_.find(id);
  return it == backends_.end() ? nullptr : &it->second;
}

bool BackendTable::IsListed(const InstanceId& id) const {
  const TrackedBackend* backend = Find(id);
  return backend != nullptr && backend->is_listed;
}

std::optional<std::int64_t> BackendTable::StartOf(const InstanceId& id) const {
  const TrackedBackend* backend = Find(id);
  return backend == nullptr ? std::nullopt : backend->record.stamp.started_ms;
}

const ServiceSpec* BackendTable::SpecOf(const ServiceName& service) const {
  const auto it = services_.find(service);
  return it == services_.end() ? nullptr : &it->second;
}

bool BackendTable::HasBackends(const ServiceName& service) const {
  return by_service_.contains(service);
}

std::span<TrackedBackend* const> BackendTable::BackendsOf(
    const ServiceName& service) {
  const auto it = by_service_.find(service);
  if (it == by_service_.end()) return {};
  return it->second;
}

std::span<const TrackedBackend* const> BackendTable::BackendsOf(
    const ServiceName& service) const {
  const auto it = by_service_.find(service);
  if (it == by_service_.end()) return {};
  return it->second;
}

bool BackendTable::HasRankGroups(const ServiceName& service) const {
  const ServiceSpec* spec = SpecOf(service);
  return spec != nullptr && spec->engine && spec->engine->expert_sets > 0;
}

std::optional<Duration> BackendTable::GroupWait(const ServiceName& service,
                                                TimePoint now) const {
  std::optional<Duration> min_wait;
  for (const TrackedBackend* backend : BackendsOf(service)) {
    const auto wait = backend->gate->ExpectedWait(now);
    if (!wait) return std::nullopt;
    min_wait = std::min(min_wait.value_or(*wait), *wait);
  }
  return min_wait;
}

double BackendTable::MinEventGap(const ServiceName& service,
                                 TimePoint now) const {
  double min_gap = 0;
  for (const auto& [key, gate] : gates_) {
    const double gap = key.first == service ? gate.GapSeconds(now) : 0;
    if (gap <= 0) continue;
    min_gap = min_gap == 0 ? gap : std::min(min_gap, gap);
  }
  return min_gap;
}

std::optional<Duration> BackendTable::SlowServiceTime(
    const ServiceName& service) const {
  double seconds = 0;
  for (const TrackedBackend* backend : BackendsOf(service)) {
    seconds = std::max(seconds, backend->service_time.slow_seconds);
  }
  if (seconds <= 0) return std::nullopt;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

std::vector<BackendShare> BackendTable::OwnShares() const {
  std::vector<BackendShare> shares;
  for (const auto& [id, backend] : backends_) {
    if (backend.own_requests == 0 || !backend.is_listed) continue;
    shares.push_back({.backend = id,
                      .requests = backend.own_requests,
                      .prefill_tokens = backend.own_prefill.tokens});
  }
  return shares;
}

}  // namespace mangohold
