#include "backend/backend_pool.h"

#include <utility>

namespace mangohold {

// The connection used last goes first, so that the others reach their limit and
// are closed.
BackendConnection::Ptr BackendPool::Acquire(const InstanceId& id,
                                            const Endpoint& endpoint, int most,
                                            TimePoint now) {
  auto& entry = entries_[id];
  if (entry == nullptr) entry = std::make_shared<Entry>();
  while (!entry->waiting.empty()) {
    auto connection = std::move(entry->waiting.back());
    entry->waiting.pop_back();
    if (connection->IsReusable(now)) return connection;
    connection->Cancel();
  }
  if (entry->open >= most) return nullptr;
  ++entry->open;
  counters_.Count(Event::kBackendConnects);
  return std::make_shared<BackendConnection>(
      io_, endpoint, [weak = std::weak_ptr(entry)] {
        if (const auto owner = weak.lock()) --owner->open;
      });
}

void BackendPool::Release(const InstanceId& id,
                          const BackendConnection::Ptr& connection,
                          TimePoint now) {
  const auto it = entries_.find(id);
  if (it == entries_.end() || !connection->IsReusable(now)) {
    return connection->Cancel();
  }
  it->second->waiting.push_back(connection);
}

void BackendPool::CloseUnused(
    TimePoint now, const std::function<bool(const InstanceId&)>& keeps) {
  for (auto& [id, entry] : entries_) {
    const bool is_kept = keeps(id);
    std::erase_if(entry->waiting, [&](const BackendConnection::Ptr& waiting) {
      if (is_kept && waiting->IsReusable(now)) return false;
      waiting->Cancel();
      return true;
    });
  }
  std::erase_if(entries_, [&keeps](const auto& item) {
    return item.second->open == 0 && !keeps(item.first);
  });
}

}  // namespace mangohold
