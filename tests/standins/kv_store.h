// A stand-in of the platform's metadata store, speaking its protocol, with the
// faults that tests need.
#pragma once

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "standins/raw_http.h"

namespace mangohold::standin {

class KvStore {
 public:
  struct Faults {
    bool is_silent = false;        // calls get no answer
    bool is_busy = false;          // calls get 503 and do nothing
    bool loses_answers = false;    // changes are made and not answered
    bool forgets_history = false;  // each watch gets 410 once
    std::chrono::milliseconds delay{0};
  };

  // Serves `address` ("ip:port") on a thread of its own.
  explicit KvStore(const std::string& address);
  ~KvStore();
  KvStore(const KvStore&) = delete;
  KvStore& operator=(const KvStore&) = delete;

  void SetFaults(const Faults& faults);
  // What operators and backend servers write.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  bool Has(const std::string& key) const;
  // Ends all leases, with their keys.
  void LapseLeases();
  // Keeps a copy of all items, and comes back from it: in the next era, with
  // the copy's revisions and without leases and history.
  void Snapshot();
  void Restore();
  int calls() const { return calls_; }

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Event {
    std::string key;
    std::uint64_t revision = 0;
    bool is_deleted = false;
  };
  struct Reply {
    int status = 200;
    std::string body;
  };

  asio::awaitable<void> Handle(HttpRequest request, Connection& connection);
  asio::awaitable<Reply> Watch(HttpRequest request);
  Reply List(const HttpRequest& request) const;
  Reply Change(const HttpRequest& request);
  Reply Lease(const HttpRequest& request);
  Reply EventsAfter(const std::string& prefix, std::uint64_t after) const;
  void Write(const std::string& key, const std::string& value,
             std::uint64_t lease);
  void Erase(const std::string& key);
  void EndLease(std::uint64_t lease);
  void ExpireLeases();
  std::string ItemText(const std::string& key, const Item& item) const;

  asio::awaitable<void> Answer(Connection& connection, Reply reply);

  mutable std::recursive_mutex mutex_;
  Faults faults_;
  std::uint64_t era_ = 1;
  struct Copy {
    std::map<std::string, Item> items;
    std::uint64_t revision = 1;
    std::uint64_t last_lease = 0;
  };
  Copy copy_;
  std::map<std::string, Item> items_;
  std::vector<Event> history_;
  std::uint64_t revision_ = 1;
  std::uint64_t last_lease_ = 0;
  struct Held {
    std::chrono::milliseconds ttl;
    std::chrono::steady_clock::time_point ends;
  };
  std::map<std::uint64_t, Held> leases_;
  std::atomic<int> calls_ = 0;
  asio::io_context io_;
  std::thread thread_;
};

}  // namespace mangohold::standin
