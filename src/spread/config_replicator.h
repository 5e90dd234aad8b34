// Keeps a process's replica of the configuration up to date. It polls peers,
// serves the requests of other processes, and watches the store if this process
// is one of the watchers.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "core/clock.h"
#include "core/counters.h"
#include "core/random.h"
#include "net/event_loop.h"
#include "net/memory_budget.h"
#include "peer/http2_endpoints.h"
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
    Endpoint listen;              // entries only: address for peers' requests
    std::vector<Endpoint> seeds;  // entries to poll while no list is known
    // How long peers may hold this process's requests until there is a change.
    Millis max_hold{700};
    // How long the store may hold a watch until there is a change.
    Millis watch_timeout{500};
    Duration list_interval = std::chrono::milliseconds(1'000);
    // A process that isn't a watcher fetches the instance list from the
    // platform itself if its last fetch is older than this.
    Duration max_list_age = std::chrono::milliseconds(10'000);
    // Failed calls to the store are retried with exponential backoff and
    // jitter, so that the processes of a fleet don't all return at the same
    // time.
    Duration initial_retry = std::chrono::milliseconds(100);
    Duration max_retry = std::chrono::milliseconds(2'000);
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

  // Reads the store now, after a write to it. `on_done` is also called if the
  // read fails.
  void ReadStore(std::function<void()> on_done);
  // Calls `on_done` with true once a majority of the entries is known to have
  // `revision`, or with false at `deadline`.
  void NotifyWhenAccepted(Revision revision, TimePoint deadline,
                          std::function<void(bool)> on_done);

 private:
  // A request that is held until there is a change or its wait has expired.
  struct HeldRequest {
    Http2StreamPtr stream;
    SyncRequest request;
    TimePoint arrived_at;
  };

  // A request of which a part has arrived.
  struct Incoming {
    std::string body;
    std::unique_ptr<MemoryBudget::Holder> held;
  };

  void Accept(const Http2StreamPtr& stream);
  void OnData(const Http2StreamPtr& stream, Incoming& incoming,
              std::string_view data);
  void RefuseRequest(const Http2StreamPtr& stream, Reason reason);
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
  MemoryBudget budget_;  // of peers' requests; outlives their streams
  Http2Server server_;
  Random random_;
  std::map<Endpoint, PeerLinkPtr> links_;
  std::list<HeldRequest> held_requests_;
  ConfigurationPtr published_;
  std::optional<TimePoint> published_as_of_;
  std::uint64_t links_list_digest_ = 0;      // list used for the links
  std::uint64_t published_list_digest_ = 0;  // list last published
  std::optional<TimePoint> list_fetched_at_;
  int store_failures_ = 0;
  int list_failures_ = 0;
};

}  // namespace mangohold
