#include "caller/crash_watch.h"

#include <string>
#include <utility>

#include "core/log.h"

namespace mangohold {

CrashWatch::CrashWatch(ForwardContext& context, RequestId request,
                       const std::vector<PromptPart>& parts,
                       std::function<RequestDigest()> digest)
    : context_(context),
      request_(std::move(request)),
      compute_digest_(std::move(digest)) {
  for (const PromptPart part : parts) suspects_.emplace_back(part);
}

RequestDigest CrashWatch::Digest() {
  if (!digest_) {
    digest_ = compute_digest_();
    suspects_.emplace_back(*digest_);
  }
  return *digest_;
}

const Suspects& CrashWatch::SuspectsNow() {
  if (context_.poison.has_crashes()) Digest();
  return suspects_;
}

PoisonDetector::Verdict CrashWatch::Judge(TimePoint now) {
  return context_.poison.Judge(SuspectsNow(), now);
}

Reason CrashWatch::ReasonOfBlock(TimePoint now) {
  const auto verdict = context_.poison.Judge({Suspect(Digest())}, now);
  return verdict == PoisonDetector::Verdict::kBlock
             ? Reason::kRequestCrashesBackends
             : Reason::kPromptCrashesBackends;
}

std::optional<RequestDigest> CrashWatch::SuspectedRequest(TimePoint now) {
  if (!context_.poison.has_crashes()) return std::nullopt;
  const RequestDigest digest = Digest();
  if (!context_.poison.WasAtCrash(digest, now)) return std::nullopt;
  return digest;
}

Millis CrashWatch::BlockedFor(TimePoint now) {
  return std::chrono::duration_cast<Millis>(
      context_.poison.BlockedFor(SuspectsNow(), now));
}

void CrashWatch::OnSend(const BackendRecord& backend, int events,
                        TimePoint now) {
  backend_ = backend;
  sent_at_ = now;
  events_before_ = events;
  has_progress_ = false;
  context_.poison.OnSent(SuspectsNow(), now);
}

void CrashWatch::OnEvents(int events, TimePoint now) {
  if (events - events_before_ > 1) NoteProgress(now);
}

void CrashWatch::NoteProgress(TimePoint now) {
  if (std::exchange(has_progress_, true)) return;
  context_.poison.OnAnswered(backend_.id, SuspectsNow(), sent_at_, now);
}

void CrashWatch::OnWholeAnswer(bool is_success, TimePoint now) {
  if (is_success) return NoteProgress(now);
  if (!context_.poison.has_crashes()) return;
  context_.poison.OnAnswered(backend_.id, {Suspect(Digest())}, sent_at_, now);
}

// A backend server that had left anyway hasn't crashed.
void CrashWatch::OnBroken(int events, TimePoint now) {
  if (!context_.dispatcher.IsListed(backend_.id)) return;
  Digest();
  const Suspects candidates = has_progress_ ? Suspects() : suspects_;
  context_.poison.OnBroken(backend_.id, candidates, now);
  if (!candidates.empty()) context_.check_backend(backend_);
  std::string text;
  for (const Suspect& suspect : candidates) {
    text += suspect.is_request() ? "request " : "part ";
    text += std::to_string(suspect.value()) + ' ';
  }
  Log(LogLevel::kInfo, "backend_connection_broken",
      {{"request", request_.value()},
       {"backend", backend_.id.value()},
       {"sent_ms_ago", ToMillis(now - sent_at_)},
       {"events", events - events_before_},
       {"candidates", text}});
}

}  // namespace mangohold
