// Estimates how much of a prompt's beginning backend servers still have in
// their prefix caches, and how much load elsewhere that outweighs. Does no I/O
// and reads no clock.
//
// A server is believed to hold the leading parts of a prompt that this entry
// sent there once the response has started, as the prompt has then been read.
// The belief ends by age, when the server restarts, fails or is no longer
// listed, and when the server has since taken as many tokens as its memory
// holds. Other entries are assumed to send as much as this one. A wrong belief
// costs at most the prefill time that it was expected to save.
//
// The saving is the prefill time of the cached tokens at the published rate,
// times a gain that is learnt for each service (see PrefixGain).
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "config/deployment.h"
#include "core/clock.h"
#include "core/ids.h"
#include "routing/group_gate.h"
#include "routing/prefix_gain.h"
#include "routing/prompt_prefix.h"
#include "store/backend_record.h"

namespace mangohold {

class PromptCache {
 public:
  struct Options {
    // Age at which a belief expires; 0: the class does nothing.
    Duration retention{0};
    // Upper bounds on memory: of the prefixes, of the servers known to hold
    // one, and of the levels of a prompt.
    std::size_t max_prefixes = 4'096;
    std::size_t max_holders = 32;
    std::size_t max_levels = 8;
  };
  // Identifies a listed server until the next `SetServers`.
  using ServerIndex = std::uint32_t;
  static constexpr ServerIndex kUnknownServer = ~ServerIndex{0};

  // What the servers hold of one prompt.
  class CachedTokens {
   public:
    int TokensAt(ServerIndex server) const {
      return server < tokens_.size() ? tokens_[server] : 0;
    }
    // The saving at the server in units of cost (see LoadCost).
    double SavingAt(ServerIndex server) const {
      return TokensAt(server) * cost_per_token_;
    }

   private:
    friend class PromptCache;
    std::vector<int> tokens_;  // by server; empty: none holds any
    double cost_per_token_ = 0;
  };
  struct Request {
    AttemptNumber number;
    ServerIndex server = kUnknownServer;
    const PromptPrefix* prefix = nullptr;
    int prompt_tokens = 0;
    int load = 0;     // requests in progress at the server
    int entries = 1;  // that send to the server
  };

  explicit PromptCache(Options options) : options_(options) {}

  void SetServices(const std::vector<ServiceSpec>& services);
  // Sets the listed servers. Forgets those that are missing or that have
  // restarted.
  void SetServers(const std::vector<BackendRecord>& servers);
  ServerIndex IndexOf(const InstanceId& id) const;

  CachedTokens Find(const ServiceName& service, const PromptPrefix& prefix,
                    TimePoint now) const;

  // Returns the number of tokens that the server is believed to hold.
  int OnSent(const Request& request, TimePoint now);
  // The prompt has been read.
  void OnResponseStarted(AttemptNumber number, TimePoint now);
  void OnEnded(AttemptNumber number) { sent_.erase(number); }
  // The server may have crashed.
  void Forget(const InstanceId& id);

  // The largest gain of a service.
  double MaxGain() const;
  std::size_t prefixes() const { return prefixes_.size(); }

 private:
  struct Service {
    double seconds_per_token = 0;    // prefill; 0: unknown
    double cost_per_token = 0;       // at a gain of 1
    std::int64_t memory_tokens = 0;  // 0: unknown
    double usual_answer_tokens = 0;
    PrefixGain gain;
  };
  struct Server {
    InstanceId id;  // empty: the index is free
    ServiceName service;
    std::optional<std::int64_t> started_ms;
    Revision created;
    // Changes when the server has lost its memory. Never the same for two
    // servers.
    std::uint64_t generation = 0;
    double tokens_taken = 0;  // since this entry has known it, by all entries
  };
  struct Holder {
    ServerIndex server = 0;
    std::uint64_t generation = 0;
    TimePoint used;
    double taken_when_used = 0;
  };
  struct Prefix {
    std::uint64_t key = 0;
    std::vector<Holder> holders;
  };
  struct Sent {
    ServerIndex server = 0;
    std::uint64_t generation = 0;
    PromptPrefix prefix;
    int prompt_tokens = 0;
    int cached_tokens = 0;
    int load = 0;
    int entries = 1;
    TimePoint at;
  };

  // Takes over what the record says of a known server.
  void Update(Server& server, const BackendRecord& record);
  // Adds servers, at indexes that are free.
  void Add(const std::vector<const BackendRecord*>& records);
  bool is_on() const { return options_.retention > Duration(0); }
  const Service* ServiceOf(const ServiceName& name) const;
  bool IsCached(const Service& service, const Holder& holder, int tokens,
                TimePoint now) const;
  // Number of levels of the prefix that are looked at.
  std::size_t LevelsOf(const PromptPrefix& prefix) const;
  int CachedTokensAt(const Service& service, ServerIndex server,
                     const PromptPrefix& prefix, TimePoint now) const;
  void Learn(const Sent& sent, TimePoint now);
  void Remember(std::uint64_t key, const Holder& holder);
  Prefix& Touch(std::uint64_t key);

  Options options_;
  std::map<ServiceName, Service> services_;
  std::vector<Server> servers_;
  std::unordered_map<InstanceId, ServerIndex> index_;
  std::uint64_t last_generation_ = 0;
  std::list<Prefix> prefixes_;  // the latest used first
  std::unordered_map<std::uint64_t, std::list<Prefix>::iterator> by_key_;
  std::map<AttemptNumber, Sent> sent_;
};

}  // namespace mangohold
