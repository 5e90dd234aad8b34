#include "spread/spread_node.h"

#include <algorithm>

#include "core/log.h"
#include "core/status.h"
#include "spread/sync_message.h"

namespace mangohold {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(50);
// How often suspicion of silent entries is looked at.
constexpr Duration kSuspicionTick = std::chrono::milliseconds(500);
// The least time between two questions to one peer.
constexpr Duration kAskGap = std::chrono::milliseconds(10);
constexpr Duration kAskRetry = std::chrono::milliseconds(200);
constexpr std::size_t kMostQuestionBytes = 64U << 10U;

}  // namespace

SpreadNode::SpreadNode(EventLoop& loop, PlatformClient& platform,
                       Options options, Handlers handlers, Counters& counters)
    : loop_(loop),
      platform_(platform),
      options_(std::move(options)),
      handlers_(std::move(handlers)),
      counters_(counters),
      spread_(options_.spread),
      server_(loop.io(),
              [this](const Http2StreamPtr& stream) { Accept(stream); }),
      random_(RandomSeed()) {}

SpreadNode::~SpreadNode() = default;

absl::Status SpreadNode::Start() {
  if (!options_.listen.empty()) {
    absl::Status status = server_.Listen(options_.listen);
    if (!status.ok()) return status;
  }
  SyncLinks();
  Watch();
  FetchList();
  loop_.Every(kTick, [this] {
    AnswerHeld();
    Publish();
  });
  loop_.Every(kSuspicionTick, [this] { PublishInstances(); });
  return absl::OkStatus();
}

void SpreadNode::Accept(const Http2StreamPtr& stream) {
  const auto body = std::make_shared<std::string>();
  const std::weak_ptr<Http2Stream> weak = stream;
  stream->SetHandlers({.on_head = nullptr,
                       .on_data =
                           [body, weak](std::string_view data) {
                             const auto open = weak.lock();
                             if (open == nullptr) return;
                             open->Consume(data.size());
                             body->append(data);
                             const bool is_too_long =
                                 body->size() > kMostQuestionBytes;
                             if (is_too_long) open->Reset();
                           },
                       .on_end =
                           [this, body, weak](const HttpFields&) {
                             const auto open = weak.lock();
                             if (open != nullptr) OnQuestion(open, *body);
                           },
                       .on_broken = nullptr,
                       .on_writable = nullptr});
}

void SpreadNode::OnQuestion(const Http2StreamPtr& stream,
                            const std::string& body) {
  const auto request = DecodeSyncRequest(body);
  if (!request.ok()) return stream->Reset();
  const TimePoint now = Clock::now();
  spread_.OnRequest(*request, now);
  const Held held{stream, *request, now};
  if (request->wait.count() == 0 || spread_.HasNewsFor(*request)) {
    return Answer(held);
  }
  held_.push_back(held);
}

void SpreadNode::Answer(const Held& held) {
  const TimePoint now = Clock::now();
  // Rounded down: to claim less time held makes the asker more careful.
  const auto time_held =
      std::chrono::duration_cast<Millis>(now - held.arrived_at);
  held.stream->SendHead({{":status", "200"}});
  const std::string reply =
      EncodeSync(spread_.MakeReply(held.request, time_held, now));
  counters_.Count(Event::kControlBytes, reply.size());
  held.stream->SendData(reply);
  held.stream->SendEnd();
}

void SpreadNode::AnswerHeld() {
  const TimePoint now = Clock::now();
  held_.remove_if([this, now](const Held& held) {
    const bool is_due = now - held.arrived_at >= held.request.wait ||
                        spread_.HasNewsFor(held.request);
    if (is_due) Answer(held);
    return is_due || !held.stream->is_open();
  });
}

// Asks one peer again and again while it is among those to be asked.
void SpreadNode::Ask(const Endpoint& peer) {
  const auto it = links_.find(peer);
  if (it == links_.end()) return;
  const PeerLinkPtr link = it->second;
  const TimePoint sent_at = Clock::now();
  const std::string request = EncodeSync(spread_.MakeRequest(options_.hold));
  counters_.Count(Event::kControlBytes, request.size());
  link->CallWithBody(
      kSyncPath, request,
      [this, peer, sent_at](const std::optional<std::string>& body) {
        const auto reply = DecodeSyncReply(body.value_or(std::string()));
        if (!reply.ok()) {
          return loop_.After(kAskRetry, [this, peer] { Ask(peer); });
        }
        spread_.OnReply(*reply, sent_at, Clock::now());
        Publish();
        loop_.After(kAskGap, [this, peer] { Ask(peer); });
      });
}

void SpreadNode::SyncLinks() {
  std::vector<Endpoint> wanted;
  for (const Instance& peer : spread_.PeersToAsk()) {
    if (!peer.control.empty()) wanted.push_back(peer.control);
  }
  if (wanted.empty()) wanted = options_.seeds;
  std::erase_if(links_, [&wanted](const auto& item) {
    if (std::ranges::find(wanted, item.first) != wanted.end()) return false;
    item.second->Stop();
    return true;
  });
  for (const Endpoint& peer : wanted) {
    if (links_.contains(peer)) continue;
    auto link = std::make_shared<PeerLink>(
        loop_, PeerLink::Options{.peer = peer}, [](bool) {}, counters_);
    links_.emplace(peer, link);
    link->Start();
    Ask(peer);
  }
}

void SpreadNode::Watch() {
  if (!spread_.ShouldWatch(Clock::now())) {
    return loop_.After(kTick, [this] { Watch(); });
  }
  const bool is_first = !spread_.is_qualified();
  const TimePoint sent_at = Clock::now();
  platform_.Watch(spread_.tree().complete_through(),
                  is_first ? Duration::zero() : options_.watch_wait,
                  [this, sent_at](const absl::StatusOr<TreeUpdate>& update) {
                    OnStoreAnswer(update, sent_at);
                    if (update.ok()) return Watch();
                    loop_.After(NextRetry(store_failures_),
                                [this] { Watch(); });
                  });
}

void SpreadNode::OnStoreAnswer(const absl::StatusOr<TreeUpdate>& update,
                               TimePoint sent_at) {
  if (!update.ok()) {
    if (store_failures_++ == 0) {
      Log(LogLevel::kWarning, "store_unreachable",
          {{"error", MessageOf(update.status())}});
    }
    return;
  }
  if (store_failures_ > 0) Log(LogLevel::kInfo, "store_reachable");
  store_failures_ = 0;
  if (!spread_.OnStoreUpdate(*update, sent_at)) {
    Log(LogLevel::kError, "store_went_back",
        {{"store_revision", update->complete_through.number()},
         {"known_revision", tree().complete_through().number()}});
  }
  Publish();
}

void SpreadNode::ReadStore(std::function<void()> then) {
  const TimePoint sent_at = Clock::now();
  platform_.Watch(tree().complete_through(), Duration::zero(),
                  [this, sent_at, then = std::move(then)](
                      const absl::StatusOr<TreeUpdate>& update) {
                    OnStoreAnswer(update, sent_at);
                    then();
                  });
}

// Watchers fetch the list; others only if none came for long.
void SpreadNode::FetchList() {
  const TimePoint now = Clock::now();
  const bool is_due = !list_fetched_at_ || spread_.instances().empty() ||
                      spread_.IsWatcher() ||
                      now - *list_fetched_at_ > options_.list_limit;
  if (!is_due) {
    return loop_.After(options_.list_interval, [this] { FetchList(); });
  }
  platform_.Instances([this,
                       now](const absl::StatusOr<std::vector<Instance>>& list) {
    if (!list.ok()) {
      return loop_.After(NextRetry(++list_failures_), [this] { FetchList(); });
    }
    list_failures_ = 0;
    list_fetched_at_ = now;
    spread_.OnInstances(*list, now);
    Publish();
    loop_.After(options_.list_interval, [this] { FetchList(); });
  });
}

// Passes on what has changed. Settings count only once they were confirmed, so
// that a process takes no work by what it has learnt in part.
void SpreadNode::Publish() {
  if (spread_.list_digest() != linked_list_) {
    linked_list_ = spread_.list_digest();
    SyncLinks();
    PublishInstances();
    AnswerHeld();
  }
  const auto as_of = spread_.confirmed_as_of(Clock::now());
  if (!as_of) return;
  if (tree().configuration() != published_) {
    published_ = tree().configuration();
    counters_.Count(Event::kConfigurationApplied);
    Log(LogLevel::kInfo, "configuration_in_force",
        {{"revision", published_->complete_through.number()}});
    handlers_.on_configuration(published_);
    AnswerHeld();
  }
  if (as_of != published_as_of_) {
    published_as_of_ = as_of;
    handlers_.on_confirmed(*as_of);
  }
}

void SpreadNode::PublishInstances() {
  const auto instances = spread_.EffectiveInstances(Clock::now());
  const std::uint64_t digest = DigestOf(instances);
  if (digest == published_list_) return;
  published_list_ = digest;
  handlers_.on_instances(instances);
}

void SpreadNode::WhenAccepted(Revision revision, TimePoint deadline,
                              std::function<void(bool)> on_done) {
  if (Clock::now() >= deadline) return on_done(false);
  if (spread_.CountEntriesAt(revision) >= spread_.Majority()) {
    return on_done(true);
  }
  loop_.After(kAskGap,
              [this, revision, deadline, on_done = std::move(on_done)] {
                WhenAccepted(revision, deadline, on_done);
              });
}

// Full jitter: uniform below a bound that doubles with each failure.
Duration SpreadNode::NextRetry(int failures) {
  const int doublings = std::clamp(failures - 1, 0, 10);
  const Duration bound =
      std::min(options_.first_retry * (1 << doublings), options_.longest_retry);
  return bound / 10 +
         std::chrono::duration_cast<Duration>(bound * 0.9 * random_.Unit());
}

}  // namespace mangohold
