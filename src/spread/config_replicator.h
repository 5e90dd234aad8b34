// One process's part in spreading the settings: it asks its peers, answers
// those that ask it, and watches the store if it is its turn.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <vector>

#include "absl/status/status.h"
#include "core/clock.h"
#include "core/counters.h"
#include "core/random.h"
#include "net/event_loop.h"
#include "peer/http2_session.h"
#include "peer/peer_link.h"
#include "platform/platform_client.h"
#include "spread/config_replica.h"

namespace mangohold {

// Belongs to the control thread.
class ConfigReplicator {
 public:
  struct Options {
    ConfigReplica::Options replica;
    Endpoint listen;              // entries only: where peers ask
    std::vector<Endpoint> seeds;  // entries to ask while no list is known
    // How long a question may be held until there is news.
    Millis max_hold{700};
    Millis watch_timeout{500};
    Duration list_interval = std::chrono::milliseconds(1'000);
    // The list is fetched again if no watcher passed on a newer one.
    Duration max_list_age = std::chrono::milliseconds(10'000);
    // Failed calls on the store are repeated after a random delay below a bound
    // that doubles, so that a fleet doesn't return to it all at once.
    Duration initial_retry_delay = std::chrono::milliseconds(100);
    Duration max_retry_delay = std::chrono::milliseconds(2'000);
  };
  struct Handlers {
    std::function<void(ConfigurationPtr)> on_configuration;
    std::function<void(TimePoint as_of)> on_confirmed;
    std::function<void(const std::vector<Instance>&)> on_instances;
  };

  ConfigReplicator(EventLoop& loop, PlatformClient& platform, Options options,
                   Handlers handlers, Counters& counters);
  ~ConfigReplicator();
  ConfigReplicator(const ConfigReplicator&) = delete;
  ConfigReplicator& operator=(const ConfigReplicator&) = delete;

  absl::Status Start();
  void BeginLeaving() { replica_.BeginLeaving(); }
  const ConfigReplica& replica() const { return replica_; }
  const ConfigTree& tree() const { return replica_.tree(); }

  // Reads the store now, because something was just written to it.
  void ReadStore(std::function<void()> on_done);
  // Calls back with true once a majority of the entries is known to have
  // `revision`, or with false at `deadline`.
  void NotifyWhenAccepted(Revision revision, TimePoint deadline,
                          std::function<void(bool)> on_done);

 private:
  // A question that waits for news.
  struct HeldRequest {
    Http2StreamPtr stream;
    SyncRequest request;
    TimePoint arrived_at;
  };

  void Accept(const Http2StreamPtr& stream);
  void OnRequest(const Http2StreamPtr& stream, const std::string& body);
  void Reply(const HeldRequest& held);
  void ReplyToHeldRequests();
  void PollPeer(const Endpoint& peer);
  void UpdateLinks();
  void Watch();
  void OnStoreReply(const absl::StatusOr<TreeUpdate>& update,
                    TimePoint sent_at);
  void FetchInstances();
  void Publish();
  void PublishInstances();
  Duration RetryDelay(int failures);

  EventLoop& loop_;
  PlatformClient& platform_;
  Options options_;
  Handlers handlers_;
  Counters& counters_;
  ConfigReplica replica_;
  Http2Server server_;
  Random random_;
  std::map<Endpoint, PeerLinkPtr> links_;
  std::list<HeldRequest> held_requests_;
  ConfigurationPtr published_;
  std::optional<TimePoint> published_as_of_;
  std::uint64_t links_list_digest_ = 0;  // digest of the list that links follow
  std::uint64_t published_list_digest_ =
      0;  // digest of what was passed on last
  std::optional<TimePoint> list_fetched_at_;
  int store_failures_ = 0;
  int list_failures_ = 0;
};

}  // namespace mangohold
