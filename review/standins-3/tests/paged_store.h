// Stands in for the platform's store, with pages as its page tells: each holds
// at most 500 items or about 1 MB, and each is a read of its own. A read that
// may be stale is served by one of two replicas in turn: one is up to date, the
// other some seconds behind.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "standins/raw_http.h"

namespace mangohold::review {

class PagedStore {
 public:
  PagedStore(const std::string& address, std::chrono::milliseconds lag);
  ~PagedStore();
  PagedStore(const PagedStore&) = delete;
  PagedStore& operator=(const PagedStore&) = delete;

  // What operators and backend servers write; returns the revision.
  std::uint64_t Put(const std::string& key, const std::string& value);
  // From now on reads that may be stale are: those of a first page go to the
  // replica that is up to date, those of a further page to the other one.
  void SetStale(bool is_stale) { is_stale_ = is_stale; }
  // Pages that were read from the replica that is behind, and held something
  // older than the store did then.
  int old_pages() const { return old_pages_; }

 private:
  using Json = nlohmann::json;
  using Clock = std::chrono::steady_clock;
  struct Item {
    std::string value;  // as base64
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct State {
    std::map<std::string, Item> items;
    std::uint64_t revision = 1;
  };
  struct Past {
    State state;
    Clock::time_point until;
  };
  struct Event {
    std::string key;
    std::uint64_t revision = 0;
    bool is_deleted = false;
    Item item;
  };
  struct Reply {
    int status = 200;
    Json body = Json::object();
  };

  asio::awaitable<void> Handle(HttpRequest request,
                               standin::Connection& connection);
  asio::awaitable<Reply> Watch(HttpRequest request);
  Reply List(const HttpRequest& request);
  Reply Change(const HttpRequest& request);
  Reply Lease(const HttpRequest& request);
  Json EventsAfter(std::uint64_t after) const;
  const State& StateBehind();
  void BeginChange();
  void Write(const std::string& key, const std::string& value,
             std::uint64_t lease);
  void Remove(const std::string& key);
  void EndLease(std::uint64_t lease);
  void ExpireLeases();

  const std::chrono::milliseconds lag_;
  std::recursive_mutex mutex_;
  State now_;
  std::deque<Past> past_;
  std::deque<Event> events_;
  struct Held {
    std::chrono::milliseconds ttl;
    Clock::time_point ends;
  };
  std::map<std::uint64_t, Held> leases_;
  std::uint64_t last_lease_ = 0;
  std::atomic<bool> is_stale_ = false;
  std::atomic<int> old_pages_ = 0;
  asio::io_context io_;
  std::thread thread_;
};

}  // namespace mangohold::review
