// The choice of a backend server for each attempt, by what this entry last
// heard and by what it has sent since.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/tree.h"
#include "core/clock.h"
#include "core/ids.h"
#include "core/random.h"
#include "peer/messages.h"
#include "platform/instance.h"

namespace mangohold {

// How an attempt at a backend server ended, as far as its health goes.
enum class AttemptResult {
  kServed,   // it answered
  kRefused,  // its agent refused; the agent itself is well
  kFailed    // the link or the backend server failed
};

class Router {
 public:
  struct Options {
    ZoneName zone;  // this entry's own
    std::uint64_t seed = 1;
    // Expected wait that a server in another zone must save to be preferred.
    Duration zone_penalty = std::chrono::milliseconds(2);
    // Failures in a row that eject a server.
    int failures_to_eject = 3;
    Duration base_ejection_time = std::chrono::seconds(1);
    Duration max_ejection_time = std::chrono::seconds(30);
    // At most this part of a service's servers is ejected at a time.
    int max_ejected_percent = 50;
  };
  struct Query {
    ServiceName service;
    // Servers that this request has tried already.
    std::span<const InstanceId> tried;
    // A hash of the prompt's beginning; 0 without affinity.
    std::uint64_t prefix = 0;
  };

  explicit Router(Options options);

  // Takes the platform's list. What is known of servers that stay is kept.
  void SetInstances(const std::vector<Instance>& instances);
  void SetConfiguration(ConfigurationPtr configuration);

  // The server to try next, or nothing if none is eligible.
  std::optional<InstanceId> Choose(const Query& query, TimePoint now);

  // An attempt was sent to the server / has ended there.
  void OnSent(const InstanceId& id);
  void OnEnded(const InstanceId& id, AttemptResult result, TimePoint now);
  void OnStatus(const InstanceId& id, const AgentStatus& status);
  // The link to the server's agent came up or went down.
  void OnLink(const InstanceId& id, bool is_up);
  // Remembers which server has the prefix in its cache.
  void RememberPrefix(std::uint64_t prefix, const InstanceId& id);

  // The time after which the least busy server may have room, as a hint for
  // refused callers.
  Millis RetryAfter(const ServiceName& service) const;
  std::size_t size() const { return servers_.size(); }
  // Servers that have said that they take work, and may be chosen now.
  int CountEligible(TimePoint now) const;

 private:
  struct Server {
    Instance instance;
    AgentStatus status;
    bool has_status = false;
    bool is_link_up = true;
    int sent_since_status = 0;
    int failures = 0;
    int ejections = 0;
    TimePoint ejected_until;
  };
  // The servers of one service, those of the own zone first.
  struct Group {
    std::vector<Server*> servers;
    std::size_t local_count = 0;
    Duration prefix_gain{0};
  };

  bool IsEligible(const Server& server, TimePoint now) const;
  Duration ExpectedWait(const Server& server) const;
  Server* ChooseFrom(std::span<Server* const> servers, const Query& query,
                     TimePoint now);
  Server* PreferPrefixHolder(const Group& group, const Query& query,
                             const Server& best, TimePoint now);
  bool MayEject(const Server& server, TimePoint now) const;
  void Regroup();

  Options options_;
  Random random_;
  ConfigurationPtr configuration_;
  std::unordered_map<InstanceId, Server> servers_;
  std::map<ServiceName, Group> groups_;
  // Prefix hash to server, in a table of fixed size that newer ones overwrite.
  struct PrefixSlot {
    std::uint64_t prefix = 0;
    InstanceId server;
  };
  std::vector<PrefixSlot> prefixes_;
};

}  // namespace mangohold
