// A TCP relay between two processes of a test, whose link can be cut (both
// sides see it) or stalled (nobody sees it).
#pragma once

#include <asio.hpp>
#include <atomic>
#include <list>
#include <memory>
#include <thread>

#include "core/ids.h"

namespace mangohold::testing {

class Relay {
 public:
  // Accepts on `from` and connects to `to` for each connection.
  Relay(const Endpoint& from, const Endpoint& to);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  // Closes all connections and refuses new ones until `Mend`.
  void Cut();
  // Keeps connections open but forwards nothing until `Mend`.
  void Stall();
  void Mend();

 private:
  struct Pair;

  void Accept();

  asio::io_context io_;
  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::endpoint target_;
  std::list<std::weak_ptr<Pair>> pairs_;
  std::atomic<bool> is_cut_ = false;
  std::atomic<bool> is_stalled_ = false;
  std::thread thread_;
};

}  // namespace mangohold::testing
