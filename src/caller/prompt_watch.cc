#include "caller/prompt_watch.h"

#include <string>
#include <utility>

#include "core/log.h"

namespace mangohold {

Millis PromptWatch::BlockedFor(TimePoint now) const {
  return std::chrono::duration_cast<Millis>(
      context_.poison.BlockedFor(parts_, now));
}

void PromptWatch::OnSend(const BackendRecord& backend, int events,
                         TimePoint now) {
  backend_ = backend;
  sent_at_ = now;
  events_before_ = events;
  has_progress_ = false;
  context_.poison.OnSent(parts_, now);
}

void PromptWatch::OnEvents(int events, TimePoint now) {
  if (events - events_before_ > 1) NoteProgress(now);
}

void PromptWatch::NoteProgress(TimePoint now) {
  if (std::exchange(has_progress_, true)) return;
  context_.poison.OnAnswered(backend_.id, parts_, sent_at_, now);
}

// A backend server that had left anyway hasn't crashed.
void PromptWatch::OnBroken(int events, TimePoint now) {
  if (!context_.dispatcher.IsListed(backend_.id)) return;
  const std::vector<PromptPart> candidates =
      has_progress_ ? std::vector<PromptPart>() : parts_;
  context_.poison.OnBroken(backend_.id, candidates, now);
  if (!candidates.empty()) context_.check_backend(backend_);
  std::string text;
  for (const PromptPart part : candidates) {
    text += std::to_string(part.value()) + ' ';
  }
  Log(LogLevel::kInfo, "backend_connection_broken",
      {{"request", request_.value()},
       {"backend", backend_.id.value()},
       {"sent_ms_ago", ToMillis(now - sent_at_)},
       {"events", events - events_before_},
       {"candidates", text}});
}

}  // namespace mangohold
