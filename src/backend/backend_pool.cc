#include "backend/backend_pool.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace mangohold {

// The most recently used connection is taken first, so that surplus connections
// reach their idle timeout and are closed.
BackendConnection::Ptr BackendPool::Acquire(const InstanceId& id,
                                            const Endpoint& endpoint,
                                            const RequestId& request,
                                            int max_open, TimePoint now) {
  auto& server = servers_[id];
  if (server == nullptr) server = std::make_shared<Server>();
  auto& idle = server->idle;
  std::erase_if(idle, [now](const BackendConnection::Ptr& connection) {
    if (connection->IsReusable(now)) return false;
    connection->Cancel();
    return true;
  });
  const auto usable =
      std::find_if(idle.rbegin(), idle.rend(),
                   [&request](const BackendConnection::Ptr& connection) {
                     return !connection->HasCarried(request);
                   });
  if (usable != idle.rend()) {
    auto connection = std::move(*usable);
    idle.erase(std::next(usable).base());
    return connection;
  }
  if (server->open >= max_open && !idle.empty()) {
    idle.front()->Cancel();
    idle.erase(idle.begin());
  }
  if (server->open >= max_open) return nullptr;
  ++server->open;
  counters_.Count(Event::kBackendConnects);
  return std::make_shared<BackendConnection>(
      io_, endpoint, [weak = std::weak_ptr(server)] {
        if (const auto owner = weak.lock()) --owner->open;
      });
}

void BackendPool::Release(const InstanceId& id,
                          const BackendConnection::Ptr& connection,
                          TimePoint now) {
  const auto it = servers_.find(id);
  if (it == servers_.end() || !connection->IsReusable(now)) {
    return connection->Cancel();
  }
  it->second->idle.push_back(connection);
}

void BackendPool::CloseUnused(
    TimePoint now, const std::function<bool(const InstanceId&)>& is_known) {
  for (auto& [id, server] : servers_) {
    const bool is_kept = is_known(id);
    std::erase_if(server->idle, [&](const BackendConnection::Ptr& connection) {
      if (is_kept && connection->IsReusable(now)) return false;
      connection->Cancel();
      return true;
    });
  }
  std::erase_if(servers_, [&is_known](const auto& item) {
    return item.second->open == 0 && !is_known(item.first);
  });
}

}  // namespace mangohold
