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
#include "spread/spread.h"

namespace mangohold {

// Belongs to the control thread.
class SpreadNode {
 public:
  struct Options {
    Spread::Options spread;
    Endpoint listen;              // entries only: where peers ask
    std::vector<Endpoint> seeds;  // entries to ask while no list is known
    // How long a question may be held until there is news.
    Millis hold{700};
    Millis watch_wait{500};
    Duration list_interval = std::chrono::milliseconds(1'000);
    // The list is fetched again if no watcher passed on a newer one.
    Duration list_limit = std::chrono::milliseconds(10'000);
    // Failed calls on the store are repeated after a random delay below a bound
    // that doubles, so that a fleet doesn't return to it all at once.
    Duration first_retry = std::chrono::milliseconds(100);
    Duration longest_retry = std::chrono::milliseconds(2'000);
  };
  struct Handlers {
    std::function<void(ConfigurationPtr)> on_configuration;
    std::function<void(TimePoint as_of)> on_confirmed;
    std::function<void(const std::vector<Instance>&)> on_instances;
  };

  SpreadNode(EventLoop& loop, PlatformClient& platform, Options options,
             Handlers handlers, Counters& counters);
  ~SpreadNode();
  SpreadNode(const SpreadNode&) = delete;
  SpreadNode& operator=(const SpreadNode&) = delete;

  absl::Status Start();
  void BeginLeaving() { spread_.BeginLeaving(); }
  const Spread& spread() const { return spread_; }
  const ConfigTree& tree() const { return spread_.tree(); }

  // Reads the store now, because something was just written to it.
  void ReadStore(std::function<void()> then);
  // Calls back with true once a majority of the entries is known to have
  // `revision`, or with false at `deadline`.
  void WhenAccepted(Revision revision, TimePoint deadline,
                    std::function<void(bool)> on_done);

 private:
  // A question that waits for news.
  struct Held {
    Http2StreamPtr stream;
    SyncRequest request;
    TimePoint arrived_at;
  };

  void Accept(const Http2StreamPtr& stream);
  void OnQuestion(const Http2StreamPtr& stream, const std::string& body);
  void Answer(const Held& held);
  void AnswerHeld();
  void Ask(const Endpoint& peer);
  void SyncLinks();
  void Watch();
  void OnStoreAnswer(const absl::StatusOr<TreeUpdate>& update,
                     TimePoint sent_at);
  void FetchList();
  void Publish();
  void PublishInstances();
  Duration NextRetry(int failures);

  EventLoop& loop_;
  PlatformClient& platform_;
  Options options_;
  Handlers handlers_;
  Counters& counters_;
  Spread spread_;
  Http2Server server_;
  Random random_;
  std::map<Endpoint, PeerLinkPtr> links_;
  std::list<Held> held_;
  ConfigurationPtr published_;
  std::optional<TimePoint> published_as_of_;
  std::uint64_t linked_list_ = 0;     // digest of the list that links follow
  std::uint64_t published_list_ = 0;  // digest of what was passed on last
  std::optional<TimePoint> list_fetched_at_;
  int store_failures_ = 0;
  int list_failures_ = 0;
};

}  // namespace mangohold
