// The control side of an entry on the direct way: follows the store, lists this
// entry there, answers callers who ask for addresses, and tells the traffic
// thread what it may work by.
#pragma once

#include <functional>
#include <vector>

#include "absl/status/status.h"
#include "caller/entry_calls.h"
#include "core/counters.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "peer/zone_watchers.h"
#include "store/fleet_builder.h"
#include "store/lease_keeper.h"
#include "store/store_follower.h"

namespace mangohold {

// Belongs to the control thread.
class EntryControl {
 public:
  struct Options {
    Member self;
    StoreSchema schema;
    EntryCalls calls;
    Endpoint ready_address;
    Endpoint directory_address;
    Millis address_max_age{1'000};
    // The age of the last confirmation up to which this entry takes work.
    Duration confirmation_limit = std::chrono::milliseconds(4'500);
    // Up to this many entries each follow the store themselves.
    int most_direct_followers = 12;
  };
  struct Handlers {
    std::function<void(FleetViewPtr)> on_view;
    // What the store held before `as_of` is known: the deployment alone if a
    // peer says so, everything if this entry follows the store itself.
    std::function<void(TimePoint as_of)> on_deployment_confirmed;
    std::function<void(TimePoint as_of)> on_all_confirmed;
  };

  EntryControl(EventLoop& loop, Store& store, HttpClient& http, Options options,
               Handlers handlers, Counters& counters);

  absl::Status Start();
  // What the traffic side hears from peers.
  void SetAlive(std::vector<Member> alive);
  void OnPeerConfirmed(TimePoint as_of);
  void FetchDeployment(const Member& peer);
  // Says that it isn't ready and leaves the list of addresses.
  void BeginLeaving();

 private:
  void OnChanged(const std::vector<std::string>& keys);
  void OnConfirmed(TimePoint as_of);
  void Tick();
  void Publish();
  void HandleAdmin(const HttpRequest& request,
                   const std::shared_ptr<HttpExchange>& exchange);
  bool IsReady() const;
  DirectoryAnswer Answer(const DirectoryQuestion& question) const;
  void OnDeparture(const BackendDeparture& news);

  EventLoop& loop_;
  Counters& counters_;
  Options options_;
  Handlers handlers_;
  FleetBuilder builder_;
  StoreAvailability contact_;
  StoreFollower follower_;
  ZoneWatchers watchers_;
  LeaseKeeper lease_;
  HttpServer ready_;
  HttpServer directory_;
  HttpServer admin_;
  HttpClient& http_;
  std::vector<Member> alive_;  // peers that are heard
  bool is_fetching_ = false;
  TimePoint confirmed_as_of_;
  bool is_leaving_ = false;
};

}  // namespace mangohold
