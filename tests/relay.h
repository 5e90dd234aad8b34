// A TCP relay between two processes of a test, whose link can be cut (both
// sides see it) or stalled (nobody sees it), in one direction or in both.
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
  // Closes all connections by a reset; new ones stand.
  void Reset();
  // Keeps connections open but forwards nothing until `Mend`, which lets go
  // what was held back.
  void Stall();
  // The same in the direction to, or from, the target only.
  void StallRequests() { is_stalled_to_ = true; }
  void StallAnswers() { is_stalled_from_ = true; }
  void Mend();

 private:
  struct Pair;

  void Accept();
  void CloseAll(bool with_reset);

  asio::io_context io_;
  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::endpoint target_;
  std::list<std::weak_ptr<Pair>> pairs_;
  std::atomic<bool> is_cut_ = false;
  std::atomic<bool> is_stalled_to_ = false;
  std::atomic<bool> is_stalled_from_ = false;
  std::thread thread_;
};

}  // namespace mangohold::testing
