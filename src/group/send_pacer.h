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
    const auto waiting = std::ranges::find(queue_, message.to, &Message::to);
    if (waiting == queue_.end()) {
      queue_.push_back(std::move(message));
    } else {
      waiting->bytes = std::move(message.bytes);
    }
  }
  void Clear() { queue_.clear(); }
  bool is_empty() const { return queue_.empty(); }

  // The messages whose turn has come.
  std::vector<Message> TakeDue(TimePoint now) {
    std::vector<Message> due;
    link_free_at_ = std::max(link_free_at_, now - options_.burst);
    while (!queue_.empty() && link_free_at_ <= now) {
      const double seconds = static_cast<double>(queue_.front().bytes.size()) /
                             options_.bytes_per_s;
      link_free_at_ += std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(seconds));
      due.push_back(std::move(queue_.front()));
      queue_.pop_front();
    }
    return due;
  }

 private:
  Options options_;
  std::deque<Message> queue_;
  // All that has left would be through the link by then, at the paced rate.
  TimePoint link_free_at_;
};

}  // namespace mangohold
