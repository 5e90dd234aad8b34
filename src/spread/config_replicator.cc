#include "spread/config_replicator.h"

#include <algorithm>

#include "core/log.h"
#include "core/status.h"
#include "spread/sync_message.h"

namespace mangohold {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(50);
// Interval at which the list is published again if the suspected entries have
// changed.
constexpr Duration kSuspicionInterval = std::chrono::milliseconds(500);
// Minimum time between a peer's reply and the next request to it.
constexpr Duration kPollGap = std::chrono::milliseconds(10);
constexpr Duration kPollRetryDelay = std::chrono::milliseconds(200);
constexpr std::size_t kMaxRequestBytes = 64U << 10U;
// Of the requests that are being read. A process sends few at a time.
constexpr std::size_t kMostHeldBytes = 8U << 20U;
// What a stream holds besides its body, about.
constexpr std::size_t kStreamBytes = 2U << 10U;
// The buffer of a body doubles as it grows.
constexpr std::size_t kCopiesOfBody = 2;
// Each has a read buffer of 64 KiB; the largest fleet has 700 processes.
constexpr int kMostConnections = 1'024;

}  // namespace

ConfigReplicator::ConfigReplicator(EventLoop& loop, PlatformClient& platform,
                                   Options options, Handlers handlers,
                                   Counters& counters)
    : loop_(loop),
      platform_(platform),
      options_(std::move(options)),
      handlers_(std::move(handlers)),
      counters_(counters),
      replica_(options_.replica),
      budget_({.limit = kMostHeldBytes, .reserve = kMostHeldBytes / 4}),
      server_(loop.io(),
              [this](const Http2StreamPtr& stream) { Accept(stream); }),
      random_(RandomSeed()) {}

ConfigReplicator::~ConfigReplicator() = default;

absl::Status ConfigReplicator::Start() {
  if (!options_.listen.empty()) {
    server_.SetConnectionLimit(kMostConnections, [this] {
      counters_.CountRefusal(Reason::kConnectionLimit);
      Log(LogLevel::kInfo, "connection_refused", {{"limit", kMostConnections}});
    });
    absl::Status status = server_.Listen(options_.listen);
    if (!status.ok()) return status;
  }
  UpdateLinks();
  Watch();
  FetchInstances();
  loop_.Every(kTick, [this] {
    ReplyToHeldRequests();
    Publish();
  });
  loop_.Every(kSuspicionInterval, [this] { PublishInstances(); });
  return absl::OkStatus();
}

void ConfigReplicator::Accept(const Http2StreamPtr& stream) {
  const auto incoming = std::make_shared<Incoming>();
  const std::weak_ptr<Http2Stream> weak = stream;
  incoming->held = std::make_unique<MemoryBudget::Holder>(
      budget_,
      [this, weak](Eviction /*eviction*/) {
        const auto open = weak.lock();
        if (open != nullptr) RefuseRequest(open, Reason::kMemoryLimit);
      },
      Clock::now());
  stream->SetHandlers({.on_head = nullptr,
                       .on_data =
                           [this, incoming, weak](std::string_view data) {
                             const auto open = weak.lock();
                             if (open == nullptr) return;
                             open->Consume(data.size());
                             OnData(open, *incoming, data);
                           },
                       .on_end =
                           [this, incoming, weak](const HttpFields&) {
                             const auto open = weak.lock();
                             if (open != nullptr) {
                               OnRequest(open, incoming->body);
                             }
                           },
                       .on_broken = nullptr,
                       .on_writable = nullptr});
}

void ConfigReplicator::OnData(const Http2StreamPtr& stream, Incoming& incoming,
                              std::string_view data) {
  const TimePoint now = Clock::now();
  const std::size_t size = incoming.body.size() + data.size();
  if (size > kMaxRequestBytes) {
    return RefuseRequest(stream, Reason::kBodyTooLarge);
  }
  incoming.held->OnProgress(now);
  if (!incoming.held->Resize(kStreamBytes + kCopiesOfBody * size, now)) {
    return RefuseRequest(stream, Reason::kMemoryLimit);
  }
  incoming.body.append(data);
}

// The reset frees what the request holds.
void ConfigReplicator::RefuseRequest(const Http2StreamPtr& stream,
                                     Reason reason) {
  counters_.CountRefusal(reason);
  Log(LogLevel::kInfo, "body_refused",
      {{"reason", Name(reason)},
       {"held_bytes", budget_.bytes()},
       {"holders", budget_.holders()}});
  stream->Reset();
}

void ConfigReplicator::OnRequest(const Http2StreamPtr& stream,
                                 const std::string& body) {
  const auto request = DecodeSyncRequest(body);
  if (!request.ok()) return stream->Reset();
  const TimePoint now = Clock::now();
  replica_.OnRequest(*request, now);
  const HeldRequest held{stream, *request, now};
  if (request->wait.count() == 0 || replica_.HasChangesFor(*request)) {
    return Reply(held);
  }
  held_requests_.push_back(held);
}

void ConfigReplicator::Reply(const HeldRequest& held) {
  const TimePoint now = Clock::now();
  // Rounded down: a shorter hold time makes the requester's confirmation older,
  // which is safe.
  const auto time_held =
      std::chrono::duration_cast<Millis>(now - held.arrived_at);
  held.stream->SendHead({{":status", "200"}});
  const std::string reply =
      EncodeSyncMessage(replica_.MakeReply(held.request, time_held, now));
  counters_.Count(Event::kControlBytes, reply.size());
  held.stream->SendData(reply);
  held.stream->SendEnd();
}

void ConfigReplicator::ReplyToHeldRequests() {
  const TimePoint now = Clock::now();
  held_requests_.remove_if([this, now](const HeldRequest& held) {
    const bool is_due = now - held.arrived_at >= held.request.wait ||
                        replica_.HasChangesFor(held.request);
    if (is_due) Reply(held);
    return is_due || !held.stream->is_open();
  });
}

// Polls a peer continuously while it has a link.
void ConfigReplicator::PollPeer(const Endpoint& peer) {
  const auto it = links_.find(peer);
  if (it == links_.end()) return;
  const PeerLinkPtr link = it->second;
  const TimePoint sent_at = Clock::now();
  const std::string request =
      EncodeSyncMessage(replica_.MakeRequest(options_.max_hold));
  counters_.Count(Event::kControlBytes, request.size());
  link->CallWithBody(
      kSyncPath, request,
      [this, peer, sent_at](const std::optional<std::string>& body) {
        const auto reply = DecodeSyncReply(body.value_or(std::string()));
        if (!reply.ok()) {
          return loop_.After(kPollRetryDelay, [this, peer] { PollPeer(peer); });
        }
        replica_.OnReply(*reply, sent_at, Clock::now());
        Publish();
        loop_.After(kPollGap, [this, peer] { PollPeer(peer); });
      });
}

void ConfigReplicator::UpdateLinks() {
  std::vector<Endpoint> wanted;
  for (const Instance& peer : replica_.SelectPeers()) {
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
    PollPeer(peer);
  }
}

void ConfigReplicator::Watch() {
  if (!replica_.ShouldWatch(Clock::now())) {
    return loop_.After(kTick, [this] { Watch(); });
  }
  const bool is_first = !replica_.is_qualified();
  const TimePoint sent_at = Clock::now();
  platform_.Watch(replica_.tree().complete_through(),
                  is_first ? Duration::zero() : options_.watch_timeout,
                  [this, sent_at](const absl::StatusOr<TreeUpdate>& update) {
                    OnStoreReply(update, sent_at);
                    if (update.ok()) return Watch();
                    loop_.After(RetryDelay(store_failures_),
                                [this] { Watch(); });
                  });
}

void ConfigReplicator::OnStoreReply(const absl::StatusOr<TreeUpdate>& update,
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
  if (!replica_.OnStoreUpdate(*update, sent_at)) {
    Log(LogLevel::kError, "store_revision_decreased",
        {{"store_revision", update->complete_through.number()},
         {"known_revision", tree().complete_through().number()}});
  }
  Publish();
}

void ConfigReplicator::ReadStore(std::function<void()> on_done) {
  const TimePoint sent_at = Clock::now();
  platform_.Watch(tree().complete_through(), Duration::zero(),
                  [this, sent_at, then = std::move(on_done)](
                      const absl::StatusOr<TreeUpdate>& update) {
                    OnStoreReply(update, sent_at);
                    then();
                  });
}

// Watchers fetch the instance list at each interval. Others receive it from
// peers, and fetch it only if they have none or their last fetch is older than
// `max_list_age`.
void ConfigReplicator::FetchInstances() {
  const TimePoint now = Clock::now();
  const bool is_due = !list_fetched_at_ || replica_.instances().empty() ||
                      replica_.IsWatcher() ||
                      now - *list_fetched_at_ > options_.max_list_age;
  if (!is_due) {
    return loop_.After(options_.list_interval, [this] { FetchInstances(); });
  }
  platform_.Instances(
      [this, now](const absl::StatusOr<std::vector<Instance>>& list) {
        if (!list.ok()) {
          return loop_.After(RetryDelay(++list_failures_),
                             [this] { FetchInstances(); });
        }
        list_failures_ = 0;
        list_fetched_at_ = now;
        replica_.OnInstances(*list, now);
        Publish();
        loop_.After(options_.list_interval, [this] { FetchInstances(); });
      });
}

// Passes changes on to the handlers. The configuration is published only once
// it has been confirmed, so that a process doesn't start work with a partial
// one.
void ConfigReplicator::Publish() {
  if (replica_.list_digest() != links_list_digest_) {
    links_list_digest_ = replica_.list_digest();
    UpdateLinks();
    PublishInstances();
    ReplyToHeldRequests();
  }
  const auto as_of = replica_.confirmed_as_of(Clock::now());
  if (!as_of) return;
  if (tree().configuration() != published_) {
    published_ = tree().configuration();
    counters_.Count(Event::kConfigurationApplied);
    Log(LogLevel::kInfo, "configuration_in_force",
        {{"revision", published_->complete_through.number()}});
    handlers_.on_configuration(published_);
    ReplyToHeldRequests();
  }
  if (as_of != published_as_of_) {
    published_as_of_ = as_of;
    handlers_.on_confirmed(*as_of);
  }
}

void ConfigReplicator::PublishInstances() {
  const auto instances = replica_.EffectiveInstances(Clock::now());
  const std::uint64_t digest = InstanceListDigest(instances);
  if (digest == published_list_digest_) return;
  published_list_digest_ = digest;
  handlers_.on_instances(instances);
}

void ConfigReplicator::NotifyWhenAccepted(Revision revision, TimePoint deadline,
                                          std::function<void(bool)> on_done) {
  if (Clock::now() >= deadline) return on_done(false);
  if (replica_.CountEntriesWith(revision) >= replica_.MajoritySize()) {
    return on_done(true);
  }
  loop_.After(kPollGap,
              [this, revision, deadline, on_done = std::move(on_done)] {
                NotifyWhenAccepted(revision, deadline, on_done);
              });
}

// Exponential backoff with jitter: uniform between 10 and 100 percent of a
// bound that doubles with each failure.
Duration ConfigReplicator::RetryDelay(int failures) {
  const int doublings = std::clamp(failures - 1, 0, 10);
  const Duration bound =
      std::min(options_.initial_retry * (1 << doublings), options_.max_retry);
  return bound / 10 +
         std::chrono::duration_cast<Duration>(bound * 0.9 * random_.Unit());
}

}  // namespace mangohold
