// What one process knows of the settings, how sure it may be that they are the
// newest, and whom it asks. Decisions only: no sockets, threads or clocks.
//
// A process is *confirmed as of* a time T if it knows every change that was
// accepted before T. Three things confirm:
//   - an answer of the store to a call that was sent at T;
//   - a peer's answer to a question that was sent at S, if the peer was itself
//     confirmed d before its answer: T = S - d;
//   - for entries, answers of a majority of the entries to questions that were
//     all sent after T: a change is accepted only once a majority knows it, and
//     two majorities have a member in common.
// Only ages pass between processes, never clock readings, and a delay on the
// way can only make T earlier.
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

// A hash that is the same on every process, in whatever order the list is.
std::uint64_t InstanceListDigest(const std::vector<Instance>& instances);

class ConfigReplica {
 public:
  // A change that has not reached a majority this long after its write was sent
  // is not reported as accepted any more.
  static constexpr Duration kAcceptTimeout = std::chrono::seconds(5);

  struct Options {
    InstanceId instance;
    InstanceRole role = InstanceRole::kEntry;
    ZoneName zone;
    Incarnation incarnation;
    TimePoint started_at;  // of this process
    // Entries of each zone that watch the store.
    int watchers_per_zone = 2;
    // An entry that is not a watcher turns to the store by itself when its
    // confirmation is older than this.
    Duration watch_after = std::chrono::milliseconds(1'200);
    // Entries of its zone that an agent asks.
    int entries_per_agent = 2;
    // A peer that was not heard for this long is suspected to be gone.
    Duration suspect_after = std::chrono::milliseconds(2'000);
  };

  // What a process knows of an entry from its answers.
  struct PeerStatus {
    Incarnation incarnation;
    Revision complete_through;
    TimePoint heard_at;  // when the question was sent that it answered last
    bool is_qualified = false;
    bool is_leaving = false;
  };

  explicit ConfigReplica(Options options);

  // The store answered a call that was sent at `sent_at`. Returns false if the
  // store's revision lies behind what is known: then nothing is confirmed.
  bool OnStoreUpdate(const TreeUpdate& update, TimePoint sent_at);
  // The platform answered with its list to a call sent at `sent_at`.
  void OnInstances(std::vector<Instance> instances, TimePoint sent_at);

  SyncRequest MakeRequest(Millis wait) const;
  // The answer to a peer, `held` after its question arrived.
  SyncReply MakeReply(const SyncRequest& request, Millis held,
                      TimePoint now) const;
  // A peer's question tells what it knows.
  void OnRequest(const SyncRequest& request, TimePoint now);
  // Whether there is something to tell that peer at once.
  bool HasChangesFor(const SyncRequest& request) const;
  // A peer's answer to a question that was sent at `sent_at`.
  void OnReply(const SyncReply& reply, TimePoint sent_at, TimePoint now);

  // Whether this is one of the entries of its zone that watch the store.
  bool IsWatcher() const;
  // Whether this process should watch the store now.
  bool ShouldWatch(TimePoint now) const;
  // The entries that this process should be asking: all others for an entry;
  // a few of its own zone, or of others if that has none, for an agent.
  std::vector<Instance> SelectPeers() const;

  // The time as of which the settings are confirmed, if ever.
  std::optional<TimePoint> confirmed_as_of(TimePoint now) const;
  // Whether others may count this process towards a majority. It must know all
  // that a process that it replaces may have acknowledged: it has read the
  // store, or asked a majority after every change in progress at its start had
  // been accepted or given up.
  bool is_qualified() const { return is_qualified_; }
  // Entries, this one included, that are known to have every change up to
  // `revision`.
  int CountEntriesWith(Revision revision) const;
  // The number of entries that makes a majority: of those expected by the
  // settings, or of those listed if they are more.
  int MajoritySize() const;
  // Whether a majority of the entries was heard lately.
  bool HearsMajority(TimePoint now) const;
  // Entries that are leaving or haven't been heard lately although they were.
  bool IsSuspected(const InstanceId& entry, TimePoint now) const;
  // The instance list with suspected and leaving entries marked as leaving.
  std::vector<Instance> EffectiveInstances(TimePoint now) const;
  void BeginLeaving() { is_leaving_ = true; }

  const ConfigTree& tree() const { return tree_; }
  const std::vector<Instance>& instances() const { return instances_; }
  std::uint64_t list_digest() const { return list_digest_; }
  const std::map<InstanceId, PeerStatus>& peers() const { return peers_; }
  // What the processes that asked this one know, agents among them.
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
  // Live entries of a zone in the order of this process's preference.
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
