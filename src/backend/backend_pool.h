// The connections to all backend servers, kept for the next request.
#pragma once

#include <asio/io_context.hpp>
#include <memory>
#include <unordered_map>
#include <vector>

#include "backend/backend_connection.h"
#include "core/counters.h"
#include "core/ids.h"

namespace mangohold {

// Belongs to the traffic thread.
class BackendPool {
 public:
  BackendPool(asio::io_context& io, Counters& counters)
      : io_(io), counters_(counters) {}

  // A connection that is free for one request: one in waiting, or a new one.
  // Null if `most` connections to the backend server are open already.
  BackendConnection::Ptr Acquire(const InstanceId& id, const Endpoint& endpoint,
                                 int max_open, TimePoint now);
  // Takes a connection back whose request has ended.
  void Release(const InstanceId& id, const BackendConnection::Ptr& connection,
               TimePoint now);
  // Closes connections that have waited for too long, and those to backend
  // servers that `keeps` doesn't hold.
  void CloseUnused(TimePoint now,
                   const std::function<bool(const InstanceId&)>& is_known);

 private:
  struct Server {
    int open = 0;
    std::vector<BackendConnection::Ptr> idle;
  };

  asio::io_context& io_;
  Counters& counters_;
  std::unordered_map<InstanceId, std::shared_ptr<Server>> servers_;
};

}  // namespace mangohold
