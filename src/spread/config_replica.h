// One process's replica of the configuration and of the instance list: what it
// knows, how fresh that is, and which peers to poll. Decisions only: no
// sockets, threads or clocks.
//
// A replica is *confirmed as of* a time T if it has every change that was
// accepted before T. It is confirmed by:
//   - a reply of the store to a request that was sent at T;
//   - a peer's reply to a request that was sent at S, if the peer was itself
//     confirmed as of a time d before its reply: T = S - d;
//   - for entries, replies of a majority of the entries to requests that were
//     all sent after T: a change is accepted only once a majority has it, and
//     any two majorities have a member in common.
// Processes exchange only ages, never clock readings, and a network delay can
// only make T earlier.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "config/tree.h"
#include "core/clock.h"
#include "core/ids.h"
#include "platform/instance.h"
#include "spread/sync_message.h"

namespace mangohold {

// A hash of the list that is independent of its order and equal in all
// processes.
std::uint64_t InstanceListDigest(const std::vector<Instance>& instances);

class ConfigReplica {
 public:
  // A change that hasn't reached a majority within this time after its write
  // was sent is no longer reported as accepted.
  static constexpr Duration kAcceptTimeout = std::chrono::seconds(5);

  struct Options {
    InstanceId instance;
    InstanceRole role = InstanceRole::kEntry;
    ZoneName zone;
    Incarnation incarnation;
    TimePoint started_at;  // start of this process
    // Number of entries in each zone that watch the store.
    int watchers_per_zone = 2;
    // An entry that isn't a watcher watches the store too while its
    // confirmation is older than this.
    Duration watch_after = std::chrono::milliseconds(1'200);
    // Number of entries of its own zone that an agent polls.
    int entries_per_agent = 2;
    // A peer that was silent for this long is suspected to have failed.
    Duration suspect_after = std::chrono::milliseconds(2'000);
  };

  // The status of an entry according to its last complete reply.
  struct PeerStatus {
    Incarnation incarnation;
    Revision complete_through;
    TimePoint replied_at;  // earliest time at which it may have sent the reply
    bool is_qualified = false;
    bool is_leaving = false;
  };

  explicit ConfigReplica(Options options);

  // Applies the store's reply to a request that was sent at `sent_at`. Returns
  // false, and confirms nothing, if the store's revision is lower than the
  // replica's.
  bool OnStoreUpdate(const TreeUpdate& update, TimePoint sent_at);
  // Takes the platform's instance list, requested at `sent_at`.
  void OnInstances(std::vector<Instance> instances, TimePoint sent_at);

  SyncRequest MakeRequest(Millis wait) const;
  // The reply to a peer's request that arrived `held` before `now`.
  SyncReply MakeReply(const SyncRequest& request, Millis held,
                      TimePoint now) const;
  // Records the revision that a peer has according to its request.
  void OnRequest(const SyncRequest& request, TimePoint now);
  // True if the replica has a newer revision or another instance list than the
  // requester.
  bool HasChangesFor(const SyncRequest& request) const;
  // Applies a peer's reply to a request that was sent at `sent_at`.
  void OnReply(const SyncReply& reply, TimePoint sent_at, TimePoint now);

  // True if this process is one of the entries of its zone that watch the
  // store.
  bool IsWatcher() const;
  // True if this process should watch the store now.
  bool ShouldWatch(TimePoint now) const;
  // The entries that this process polls. An entry polls all others; an agent
  // polls a few entries of its own zone and one of another zone.
  std::vector<Instance> SelectPeers() const;

  // The time as of which the configuration is confirmed; absent: never.
  std::optional<TimePoint> confirmed_as_of(TimePoint now) const;
  // True if other entries may count this process towards a majority. It must
  // have all changes that a process which it replaces may have acknowledged. So
  // it must have read the store, or polled a majority after every change that
  // was in progress at its start was accepted or had timed out.
  bool is_qualified() const { return is_qualified_; }
  // Number of qualified entries, this one included, that are known to have all
  // changes up to `revision`.
  int CountEntriesWith(Revision revision) const;
  // Number of entries that form a majority of those expected by the
  // configuration, or of those listed if they are more.
  int MajoritySize() const;
  // True if a majority of the entries has replied within `suspect_after`.
  bool HearsMajority(TimePoint now) const;
  // True if the entry is leaving, or has replied before but not within
  // `suspect_after`.
  bool IsSuspected(const InstanceId& entry, TimePoint now) const;
  // The instance list with suspected and leaving entries marked as leaving.
  std::vector<Instance> EffectiveInstances(TimePoint now) const;
  void BeginLeaving() { is_leaving_ = true; }

  const ConfigTree& tree() const { return tree_; }
  const std::vector<Instance>& instances() const { return instances_; }
  std::uint64_t list_digest() const { return list_digest_; }
  const std::map<InstanceId, PeerStatus>& peers() const { return peers_; }
  // The status of a process, entry or agent, according to its last request.
  struct RequesterStatus {
    Revision complete_through;
    bool is_qualified = false;
    TimePoint last_request_at;
  };
  const std::map<InstanceId, RequesterStatus>& requesters() const {
    return requesters_;
  }

 private:
  std::optional<TimePoint> MajorityAsOf(TimePoint now) const;
  void SetInstances(std::vector<Instance> instances, TimePoint as_of);
  // Live entries of a zone, ordered by rendezvous hashing with `key`.
  std::vector<Instance> RankedEntries(const ZoneName& zone,
                                      const std::string& key) const;

  Options options_;
  ConfigTree tree_;
  std::vector<Instance> instances_;
  std::uint64_t list_digest_ = 0;
  std::optional<TimePoint> list_as_of_;
  std::optional<TimePoint> confirmed_as_of_;
  bool is_qualified_ = false;
  bool is_leaving_ = false;
  std::map<InstanceId, PeerStatus> peers_;
  std::map<InstanceId, RequesterStatus> requesters_;
};

}  // namespace mangohold
