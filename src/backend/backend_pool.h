// A pool of persistent connections to backend servers.
#pragma once

#include <asio/io_context.hpp>
#include <memory>
#include <unordered_map>
#include <vector>

#include "backend/backend_connection.h"
#include "core/counters.h"
#include "core/ids.h"

namespace mangohold {

// To be used on the traffic thread only.
class BackendPool {
 public:
  BackendPool(asio::io_context& io, Counters& counters)
      : io_(io), counters_(counters) {}

  // Returns a connection for one request: an idle one that hasn't carried it
  // before, or else a new one. Null if `max_open` connections to the backend
  // server are in use already.
  BackendConnection::Ptr Acquire(const InstanceId& id, const Endpoint& endpoint,
                                 const RequestId& request, int max_open,
                                 TimePoint now);
  // Returns a connection to the pool when its request has ended. Closes it if
  // it can't be reused.
  void Release(const InstanceId& id, const BackendConnection::Ptr& connection,
               TimePoint now);
  // Closes connections that have been idle for too long, and idle connections
  // to backend servers for which `is_known` returns false.
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
