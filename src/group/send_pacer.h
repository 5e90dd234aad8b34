// Large messages on their way into a slow link. They leave at a part of the
// link's rate, so that small urgent ones, which are sent at once, find it free.
// No clock and no network.
#pragma once

#include <algorithm>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"

namespace mangohold {

class SendPacer {
 public:
  struct Options {
    double bytes_per_s = 1e6;
    // What may leave at once after a pause.
    Duration burst = std::chrono::milliseconds(20);
  };
  struct Message {
    Endpoint to;
    std::string bytes;
  };

  explicit SendPacer(Options options) : options_(options) {}

  // Replaces what still waits for the same receiver.
  void Queue(Message message) {
    const auto waiting = std::ranges::find(waiting_, message.to, &Message::to);
    if (waiting == waiting_.end()) {
      waiting_.push_back(std::move(message));
    } else {
      waiting->bytes = std::move(message.bytes);
    }
  }
  void Clear() { waiting_.clear(); }
  bool is_empty() const { return waiting_.empty(); }

  // The messages whose turn has come.
  std::vector<Message> TakeDue(TimePoint now) {
    std::vector<Message> due;
    free_at_ = std::max(free_at_, now - options_.burst);
    while (!waiting_.empty() && free_at_ <= now) {
      const double seconds =
          static_cast<double>(waiting_.front().bytes.size()) /
          options_.bytes_per_s;
      free_at_ += std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(seconds));
      due.push_back(std::move(waiting_.front()));
      waiting_.pop_front();
    }
    return due;
  }

 private:
  Options options_;
  std::deque<Message> waiting_;
  // All that has left would be through the link by then, at the paced rate.
  TimePoint free_at_;
};

}  // namespace mangohold
