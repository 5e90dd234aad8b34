// Chooses a backend for each attempt that goes through an agent, by the latest
// status of the agents and by what this entry has sent since. Does no I/O and
// reads no clock.
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

// Result of an attempt, as far as it concerns the health of the backend.
enum class AttemptResult {
  kServed,   // it responded
  kRefused,  // its agent refused; the agent itself is healthy
  kFailed    // the link or the backend failed
};

class Router {
 public:
  struct Options {
    ZoneName zone;  // this entry's own
    std::uint64_t seed = 1;
    // Expected wait that a server in another zone must save to be preferred.
    Duration zone_penalty = std::chrono::milliseconds(2);
    // Consecutive failures that eject a server.
    int failures_to_eject = 3;
    // Duration of the first ejection, and the upper bound of all. The duration
    // doubles each time until the server serves a request.
    Duration base_ejection_time = std::chrono::seconds(1);
    Duration max_ejection_time = std::chrono::seconds(30);
    // Maximum percentage of a service's servers that are ejected at a time.
    int max_ejected_percent = 50;
  };
  struct Query {
    ServiceName service;
    // Servers that the request has tried already.
    std::span<const InstanceId> tried;
    // Hash of the start of the prompt; 0: no prefix affinity.
    std::uint64_t prefix = 0;
  };

  explicit Router(Options options);

  // Sets the instances that the platform lists. Keeps the state of those that
  // were listed before with the same address.
  void SetInstances(const std::vector<Instance>& instances);
  void SetConfiguration(ConfigurationPtr configuration);

  // Returns the server to try next, or nothing if none is eligible.
  std::optional<InstanceId> Choose(const Query& query, TimePoint now);

  // An attempt was sent to the server.
  void OnSent(const InstanceId& id);
  // An attempt at the server has ended.
  void OnEnded(const InstanceId& id, AttemptResult result, TimePoint now);
  void OnStatus(const InstanceId& id, const AgentStatus& status);
  // The link to the server's agent went up or down.
  void OnLink(const InstanceId& id, bool is_up);
  // Records that the server has the prefix in its cache; 0 is ignored.
  void RememberPrefix(std::uint64_t prefix, const InstanceId& id);

  // Returns the expected wait at the least loaded server, as a retry hint for
  // refused callers.
  Millis RetryAfter(const ServiceName& service) const;
  std::size_t size() const { return servers_.size(); }
  // Number of eligible servers whose agent has reported a status.
  int CountEligible(TimePoint now) const;

 private:
  struct Server {
    Instance instance;
    AgentStatus status;
    bool has_status = false;
    bool is_link_up = true;
    int sent_since_status = 0;
    int failures = 0;   // consecutive ones, since the last ejection
    int ejections = 0;  // since a request was served
    TimePoint ejected_until;
  };
  // The servers of one service, with those of this entry's zone first.
  struct Group {
    std::vector<Server*> servers;
    std::size_t local_count = 0;
    // Time that a cached prefix saves.
    Duration prefix_gain{0};
  };

  bool IsEligible(const Server& server, TimePoint now) const;
  Duration ExpectedWait(const Server& server) const;
  Server* ChooseFrom(std::span<Server* const> servers, const Query& query,
                     TimePoint now);
  // Returns the server that has the query's prefix cached if the cache is worth
  // the longer wait, and `best` otherwise.
  Server* PreferPrefixHolder(const Group& group, const Query& query,
                             const Server& best, TimePoint now);
  bool MayEject(const Server& server, TimePoint now) const;
  void Regroup();

  Options options_;
  Random random_;
  ConfigurationPtr configuration_;
  std::unordered_map<InstanceId, Server> servers_;
  std::map<ServiceName, Group> groups_;
  // Maps prefix hashes to servers. A table of fixed size, in which a newer
  // prefix overwrites an older one in the same slot.
  struct PrefixSlot {
    std::uint64_t prefix = 0;
    InstanceId server;
  };
  std::vector<PrefixSlot> prefixes_;
};

}  // namespace mangohold
