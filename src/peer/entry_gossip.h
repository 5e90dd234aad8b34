// Gossip among entries on the direct way, several times a second. Each entry
// reports that it is alive, the requests that it has in progress at each
// backend server, and how fresh its deployment is. Does no I/O and reads no
// clock.
//
// In a small fleet every entry sends all of this to every other. In a large one
// it sends it to the entries of its own zone. Two delegates of each zone send a
// digest (the live entries of the zone and their requests in sum) to the
// delegates of the other zones, and forward the digests that they receive to
// their own zone. The messages per entry therefore grow with the size of its
// zone and the number of zones, not with the fleet.
//
// Clock readings of different machines are never compared. Each message echoes
// the receiver's last timestamp and the time since it arrived. From these the
// receiver computes a time on its own clock before which the message can't have
// been sent. Network delays only make this time earlier, so information may
// appear older than it is, but never newer.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "config/deployment.h"
#include "core/clock.h"
#include "core/ids.h"
#include "routing/backend_rate_limits.h"
#include "routing/dispatcher.h"
#include "routing/poison_detector.h"
#include "store/member.h"

namespace mangohold {

// The summary of a zone that its delegates send.
struct ZoneDigest {
  ZoneName zone;
  std::int64_t age_us = 0;  // time since it was computed
  std::vector<InstanceId> alive;
  std::vector<BackendShare> shares;  // summed over the zone's entries
};

struct GossipMessage {
  Member sender;
  bool is_leaving = false;
  // Time of sending on the sender's clock; other processes only echo it.
  std::int64_t timestamp_us = 0;
  // The receiver's latest timestamp, and the time since it arrived; 0: none
  // received yet.
  std::int64_t echoed_timestamp_us = 0;
  std::int64_t echo_delay_us = 0;
  // The deployment in force at the sender, and the time since it was known to
  // be the newest.
  DeploymentVersion deployment;
  std::int64_t confirmed_age_us = 0;
  std::vector<BackendShare> shares;
  std::vector<ZoneDigest> zones;
  // What is known of prompts and requests that crash backend servers.
  PoisonReport poison;
  // Request limits that backend servers state, or have ended.
  std::vector<RateLimitReport> limits;
};

std::string EncodeGossip(const GossipMessage& message);
// Returns nothing if `bytes` isn't a valid message.
std::optional<GossipMessage> DecodeGossip(std::string_view bytes);

class EntryGossip {
 public:
  struct Options {
    Member self;
    // Peers that receive a message in one round, in rotation: of the whole
    // fleet if it has no more peers than this, else of the own zone.
    std::size_t fan_out = 8;
    // In a large zone more peers receive one, so that a rotation takes about
    // this many rounds.
    std::size_t rounds_per_zone = 4;
    // Peers of other zones that receive a message in one round, in case the
    // delegates of their zone are unknown.
    std::size_t remote_fan_out = 2;
    // Delegates send the digest of their zone to other zones once in this many
    // rounds.
    int rounds_per_digest = 2;
    // A digest counts for this long.
    Duration digest_retention = std::chrono::milliseconds(2'500);
    // A peer that hasn't sent a message for this long counts as dead.
    Duration liveness_timeout = std::chrono::milliseconds(1'200);
    // A peer that is neither listed nor heard may still be sending to backend
    // servers for this long.
    Duration peer_retention = std::chrono::seconds(60);
    // This entry counts on being among its peers' possible senders for this
    // long after it was last listed. Shorter than `peer_retention`, because
    // peers may have seen it listed earlier than it did.
    Duration self_retention = std::chrono::seconds(30);
    // Upper bound on the relative drift between the clocks of two machines.
    double max_clock_drift = 0.01;
  };
  // What this entry reports about itself.
  struct LocalState {
    bool is_leaving = false;
    DeploymentVersion deployment;
    TimePoint confirmed_as_of;
    std::vector<BackendShare> shares;
  };
  struct OutgoingMessage {
    Endpoint to;
    GossipMessage message;
  };
  // What this entry learns from a message.
  struct Update {
    // At this time on the local clock the sender's deployment was the newest;
    // absent: unknown.
    std::optional<TimePoint> confirmed_as_of;
    DeploymentVersion deployment;
    // Zones of which the message has a newer digest, and the time at which it
    // held.
    struct Zone {
      ZoneName name;
      std::vector<BackendShare> shares;
      TimePoint as_of;
    };
    std::vector<Zone> zones;
  };

  explicit EntryGossip(Options options);

  // Sets the entries that the store lists.
  void SetListed(const std::vector<Member>& entries);
  // The list that was set last is known to have held at `as_of`.
  void ConfirmList(TimePoint as_of);
  // Returns the messages of the next round.
  std::vector<OutgoingMessage> NextRound(const LocalState& state,
                                         TimePoint now);
  Update OnMessage(const GossipMessage& message, TimePoint now);

  // Peers that were recently heard, directly or in a digest, and aren't
  // leaving.
  std::vector<Member> AlivePeers(TimePoint now) const;
  // Entries that may be sending to backend servers, including this one and
  // peers that disappeared less than `peer_retention` ago.
  std::vector<InstanceId> PossibleSenders() const;
  // Number of these. Absent if it can't be told, or if the others may count
  // without this entry, because it hasn't been listed for `self_retention`.
  std::optional<int> SenderCount(TimePoint now) const;

 private:
  struct Peer {
    Member member;
    bool is_listed = false;
    bool is_leaving = false;
    TimePoint last_present;  // when it was last listed or heard
    std::optional<TimePoint> last_heard;
    std::int64_t last_timestamp_us = 0;  // sent by the peer; 0: none
    std::vector<BackendShare> shares;
  };
  struct ZoneStatus {
    ZoneDigest digest;
    TimePoint as_of;
  };

  bool IsRecentlyHeard(const Peer& peer, TimePoint now) const;
  bool IsPresent(const Peer& peer, TimePoint now) const;
  void RemoveExpiredPeers(TimePoint now);
  bool IsAlive(const Peer& peer, TimePoint now) const;
  bool IsAliveInDigest(const Peer& peer, TimePoint now) const;
  bool IsDelegate(TimePoint now) const;
  ZoneDigest OwnDigest(const LocalState& state, TimePoint now) const;
  std::vector<ZoneDigest> FreshDigests(TimePoint now) const;
  std::vector<const Peer*> DelegatesOf(const ZoneName& zone,
                                       TimePoint now) const;
  GossipMessage MessageTo(const Peer& peer, const LocalState& state,
                          TimePoint now) const;
  void AddRemoteMessages(const std::vector<const Peer*>& remote,
                         const LocalState& state, TimePoint now,
                         std::vector<OutgoingMessage>& round);
  void AddZoneDigests(const std::vector<const Peer*>& remote,
                      const LocalState& state, TimePoint now,
                      std::vector<OutgoingMessage>& round);

  Options options_;
  bool is_self_listed_ = false;
  std::optional<TimePoint> self_listed_as_of_;
  std::map<InstanceId, Peer> peers_;
  std::map<ZoneName, ZoneStatus> zones_;  // all but the own zone
  // Position in the rotation over the peers of the own zone and of other zones.
  // It starts at a hash of the own id, so that the entries don't all send to
  // the same peer at once.
  std::size_t next_local_;
  std::size_t next_remote_;
  int round_count_ = 0;
};

}  // namespace mangohold
