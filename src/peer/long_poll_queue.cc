#include "peer/long_poll_queue.h"

#include <utility>

namespace mangohold {
namespace {

constexpr std::size_t kMaxPolls = 512;

}  // namespace

bool LongPollQueue::Add(Revision after, TimePoint now, Reply reply) {
  if (polls_.size() >= kMaxPolls || !source_(after)) return false;
  polls_.push_back(
      {.after = after, .received = now, .reply = std::move(reply)});
  AnswerDue(now);
  return true;
}

void LongPollQueue::AnswerDue(TimePoint now) {
  std::erase_if(polls_,
                [this, now](const Poll& poll) { return Answer(poll, now); });
}

// Returns false if there are no changes yet and the poll can be held longer. A
// poll that can no longer be served is answered with nothing at once, because
// its client receives no changes while it waits.
bool LongPollQueue::Answer(const Poll& poll, TimePoint now) {
  auto relayed = source_(poll.after);
  if (!relayed) {
    poll.reply(std::nullopt);
    return true;
  }
  relayed->held = now - poll.received;
  if (relayed->events.events.empty() && relayed->held < options_.max_wait) {
    return false;
  }
  poll.reply(relayed);
  return true;
}

}  // namespace mangohold
