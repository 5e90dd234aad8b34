// Follows the requests that arrive on one connection, and bounds what their
// bodies hold in memory.
#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/outcome.h"
#include "net/memory_budget.h"

namespace mangohold {

class BodyGuard {
 public:
  using Lease = std::shared_ptr<MemoryBudget::Holder>;

  // `evict` is called for a request that is being read.
  BodyGuard(MemoryBudget& budget, std::size_t max_body_bytes,
            MemoryBudget::Evict evict);
  ~BodyGuard();
  BodyGuard(const BodyGuard&) = delete;
  BodyGuard& operator=(const BodyGuard&) = delete;

  // Takes the next bytes of the connection. Anything but kNone says why the
  // connection has to end; the bytes must not be kept then.
  Reason OnBytes(std::string_view data, TimePoint now);
  // Frees what a request in reading holds. Nothing more is taken.
  void Drop();
  // What the oldest whole request holds. It is to be freed with the request,
  // once its answer is written.
  Lease TakeWhole();
  // Answers are due or being written on the connection.
  bool is_answering() const;

 private:
  struct Parser;

  void FinishRequest(TimePoint now);
  std::size_t HeldBytes() const;

  MemoryBudget& budget_;
  std::size_t max_body_bytes_;
  MemoryBudget::Evict evict_;
  std::unique_ptr<Parser> parser_;
  Lease reading_;  // the request that is being read
  std::deque<Lease> whole_;
  std::vector<std::weak_ptr<MemoryBudget::Holder>> taken_;
  bool is_dropped_ = false;
  std::size_t message_bytes_ = 0;   // read of it, framing included
  std::size_t progress_bytes_ = 0;  // of them at the last progress
};

}  // namespace mangohold
