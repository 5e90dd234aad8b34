// A queue that limits the send rate of large messages on a slow link. They use
// only a share of the link's rate, so that small urgent messages, which bypass
// the queue, aren't delayed. Uses neither clock nor network.
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
    // Burst allowance after an idle period, as time at the paced rate.
    Duration burst = std::chrono::milliseconds(20);
  };
  struct Message {
    Endpoint to;
    std::string bytes;
  };

  explicit SendPacer(Options options) : options_(options) {}

  // Replaces a queued message to the same receiver.
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

  // Removes and returns the messages that may be sent now.
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
  // When all messages taken so far are transmitted, at the paced rate.
  TimePoint link_free_at_;
};

}  // namespace mangohold
