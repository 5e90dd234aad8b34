#include "routing/router.h"

#include <algorithm>
#include <array>
#include <ranges>

namespace mangohold {
namespace {

// Random draws per choice before the whole list is searched for an eligible
// server.
constexpr int kMaxDraws = 4;
// Mean service time of a server that has not reported one yet.
constexpr Duration kDefaultServiceTime = std::chrono::milliseconds(10);
constexpr std::size_t kPrefixSlots = 16'384;
constexpr Millis kMinRetryAfter{100};
constexpr Millis kMaxRetryAfter{10'000};

bool WasTried(std::span<const InstanceId> tried, const InstanceId& id) {
  return std::ranges::find(tried, id) != tried.end();
}

}  // namespace

Router::Router(Options options)
    : options_(std::move(options)),
      random_(options_.seed),
      configuration_(std::make_shared<const Configuration>()),
      prefixes_(kPrefixSlots) {}

void Router::SetInstances(const std::vector<Instance>& instances) {
  std::unordered_map<InstanceId, Server> next;
  for (const Instance& instance : instances) {
    if (instance.role != InstanceRole::kBackend) continue;
    const auto known = servers_.find(instance.id);
    Server server;
    if (known != servers_.end() &&
        known->second.instance.peer == instance.peer) {
      server = std::move(known->second);
    }
    server.instance = instance;
    next.emplace(instance.id, std::move(server));
  }
  servers_ = std::move(next);
  Regroup();
}

void Router::SetConfiguration(ConfigurationPtr configuration) {
  configuration_ = std::move(configuration);
  Regroup();
}

// Groups the servers by service, with this entry's zone first, in an order that
// doesn't depend on the hash table's.
void Router::Regroup() {
  groups_.clear();
  for (auto& [id, server] : servers_) {
    groups_[server.instance.service].servers.push_back(&server);
  }
  for (auto& [name, group] : groups_) {
    const auto is_local = [this](const Server* server) {
      return server->instance.zone == options_.zone;
    };
    std::ranges::sort(group.servers, {},
                      [](const Server* server) { return server->instance.id; });
    const auto remote = std::ranges::stable_partition(group.servers, is_local);
    group.local_count = group.servers.size() - remote.size();
    const auto service = configuration_->services.find(name);
    if (service != configuration_->services.end()) {
      group.prefix_gain = service->second.document.prefix_gain;
    }
  }
}

bool Router::IsEligible(const Server& server, TimePoint now) const {
  return server.is_link_up && !server.status.is_closed &&
         server.instance.state == InstanceState::kLive &&
         server.ejected_until <= now &&
         configuration_->IsZoneIn(server.instance.zone);
}

// Estimates how long another request would take at the server: the mean service
// time, times the number of requests with this one, divided by the server's
// concurrency limit. The estimate also grows below the limit, because service
// time grows with utilization.
Duration Router::ExpectedWait(const Server& server) const {
  const int limit = std::max(1, server.status.limit);
  const int ahead =
      server.status.in_flight + server.status.queued + server.sent_since_status;
  const Duration service =
      server.status.mean_service_us > 0
          ? std::chrono::microseconds(server.status.mean_service_us)
          : kDefaultServiceTime;
  return service * (ahead + 1) / limit;
}

// Takes the better of two random servers of this entry's zone (power of two
// choices). Other zones are considered only if there is none or it is full, and
// used only if they save more than `zone_penalty` of expected wait.
std::optional<InstanceId> Router::Choose(const Query& query, TimePoint now) {
  const auto it = groups_.find(query.service);
  if (it == groups_.end()) return std::nullopt;
  const Group& group = it->second;
  const std::span<Server* const> all(group.servers);
  Server* best = ChooseFrom(all.first(group.local_count), query, now);
  const bool has_room =
      best != nullptr && best->status.in_flight + best->sent_since_status <
                             std::max(1, best->status.limit);
  if (!has_room) {
    Server* other = ChooseFrom(all.subspan(group.local_count), query, now);
    const bool is_better =
        other != nullptr &&
        (best == nullptr ||
         ExpectedWait(*other) + options_.zone_penalty < ExpectedWait(*best));
    if (is_better) best = other;
  }
  if (best == nullptr) return std::nullopt;
  if (query.prefix != 0) best = PreferPrefixHolder(group, query, *best, now);
  return best->instance.id;
}

Router::Server* Router::ChooseFrom(std::span<Server* const> servers,
                                   const Query& query, TimePoint now) {
  if (servers.empty()) return nullptr;
  const auto is_candidate = [&](const Server* server) {
    return IsEligible(*server, now) &&
           !WasTried(query.tried, server->instance.id);
  };
  std::array<Server*, 2> chosen{};
  for (Server*& choice : chosen) {
    for (int draw = 0; draw < kMaxDraws && choice == nullptr; ++draw) {
      Server* candidate = servers[random_.Below(servers.size())];
      if (candidate != chosen[0] && is_candidate(candidate)) choice = candidate;
    }
  }
  // Few servers are eligible. The search starts at a random position, so that
  // the load still spreads over them.
  if (chosen[0] == nullptr) {
    const std::size_t start = random_.Below(servers.size());
    for (std::size_t i = 0; i < servers.size(); ++i) {
      Server* candidate = servers[(start + i) % servers.size()];
      if (is_candidate(candidate)) return candidate;
    }
    return nullptr;
  }
  if (chosen[1] == nullptr) return chosen[0];
  return ExpectedWait(*chosen[1]) < ExpectedWait(*chosen[0]) ? chosen[1]
                                                             : chosen[0];
}

// Prefers the server that has the prefix cached while the cache saves more time
// than the longer wait there costs.
Router::Server* Router::PreferPrefixHolder(const Group& group,
                                           const Query& query,
                                           const Server& best, TimePoint now) {
  Server* fallback = &servers_.at(best.instance.id);
  const PrefixSlot& slot = prefixes_[query.prefix % prefixes_.size()];
  if (slot.prefix != query.prefix) return fallback;
  const auto it = servers_.find(slot.server);
  if (it == servers_.end()) return fallback;
  Server& holder = it->second;
  const bool is_usable = holder.instance.service == query.service &&
                         IsEligible(holder, now) &&
                         !WasTried(query.tried, holder.instance.id);
  if (!is_usable) return fallback;
  const Duration cost = ExpectedWait(holder) - ExpectedWait(best);
  return cost < group.prefix_gain ? &holder : fallback;
}

void Router::RememberPrefix(std::uint64_t prefix, const InstanceId& id) {
  if (prefix == 0) return;
  prefixes_[prefix % prefixes_.size()] = {prefix, id};
}

void Router::OnSent(const InstanceId& id) {
  const auto it = servers_.find(id);
  if (it != servers_.end()) ++it->second.sent_since_status;
}

void Router::OnEnded(const InstanceId& id, AttemptResult result,
                     TimePoint now) {
  const auto it = servers_.find(id);
  if (it == servers_.end()) return;
  Server& server = it->second;
  if (server.sent_since_status > 0) --server.sent_since_status;
  if (result != AttemptResult::kFailed) {
    server.failures = 0;
    if (result == AttemptResult::kServed) server.ejections = 0;
    return;
  }
  if (++server.failures < options_.failures_to_eject) return;
  if (!MayEject(server, now)) return;
  server.failures = 0;
  const int doublings = std::min(server.ejections++, 10);
  server.ejected_until =
      now + std::min(options_.base_ejection_time * (1 << doublings),
                     options_.max_ejection_time);
}

// Limits ejections, so that the remaining servers aren't overloaded.
bool Router::MayEject(const Server& server, TimePoint now) const {
  const auto group = groups_.find(server.instance.service);
  if (group == groups_.end()) return false;
  const auto& servers = group->second.servers;
  const auto ejected = std::ranges::count_if(
      servers,
      [now](const Server* other) { return other->ejected_until > now; });
  return (ejected + 1) * 100 <= static_cast<std::ptrdiff_t>(servers.size()) *
                                    options_.max_ejected_percent;
}

void Router::OnStatus(const InstanceId& id, const AgentStatus& status) {
  const auto it = servers_.find(id);
  if (it == servers_.end()) return;
  it->second.status = status;
  it->second.has_status = true;
  it->second.sent_since_status = 0;
}

void Router::OnLink(const InstanceId& id, bool is_up) {
  const auto it = servers_.find(id);
  if (it == servers_.end()) return;
  it->second.is_link_up = is_up;
  if (!is_up) it->second.sent_since_status = 0;
}

int Router::CountEligible(TimePoint now) const {
  return static_cast<int>(
      std::ranges::count_if(servers_, [this, now](const auto& item) {
        return item.second.has_status && IsEligible(item.second, now);
      }));
}

Millis Router::RetryAfter(const ServiceName& service) const {
  const auto it = groups_.find(service);
  if (it == groups_.end() || it->second.servers.empty()) {
    return kMaxRetryAfter;
  }
  const auto waits =
      it->second.servers | std::views::transform([this](const Server* server) {
        return ExpectedWait(*server);
      });
  const auto wait = std::chrono::duration_cast<Millis>(std::ranges::min(waits));
  return std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
}

}  // namespace mangohold
