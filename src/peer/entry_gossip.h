// What entries on the direct way tell each other several times a second: that
// they live, what they have in progress at which backend server, and how fresh
// their deployment is. No clock and no network.
//
// A few entries tell one another all of this. Many tell it to those of their
// own zone; two delegates of each zone tell the other zones' delegates who of
// their zone is alive and what it has in progress in sum, and pass on to their
// own zone what they hear. So what an entry sends and hears grows with its zone
// and the number of zones, and not with the fleet.
//
// Ages travel, never clock readings. A message returns the receiver's own mark
// with the time for which it was held, so that the receiver knows a moment on
// its own clock before which the message can't have been sent. Delays only make
// that moment earlier, and thus the news older than they are.
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
#include "routing/dispatcher.h"
#include "store/member.h"

namespace mangohold {

// What the delegates of a zone tell about it.
struct ZoneDigest {
  ZoneName zone;
  std::int64_t age_us = 0;  // since it was made
  std::vector<InstanceId> alive;
  std::vector<BackendShare> shares;  // in sum
};

struct GossipMessage {
  Member sender;
  bool is_leaving = false;
  // The sender's clock, meaningful to the sender only.
  std::int64_t timestamp_us = 0;
  // The receiver's last mark, and how long ago it arrived; 0: none.
  std::int64_t echoed_timestamp_us = 0;
  std::int64_t echo_delay_us = 0;
  // The deployment in force at the sender, and how long ago it was known to be
  // the newest.
  DeploymentVersion deployment;
  std::int64_t confirmed_age_us = 0;
  std::vector<BackendShare> shares;
  std::vector<ZoneDigest> zones;
};

std::string EncodeGossip(const GossipMessage& message);
// Nothing for bytes that are no such message.
std::optional<GossipMessage> DecodeGossip(std::string_view bytes);

class EntryGossip {
 public:
  struct Options {
    Member self;
    // Peers that are told in one round, in turn: all, or those of the own zone
    // if there are more.
    std::size_t fan_out = 8;
    // In a large zone more are told, so that all are within so many rounds.
    std::size_t rounds_per_zone = 4;
    // The same of the peers in other zones, should their delegates be unknown.
    std::size_t remote_fan_out = 2;
    // Delegates tell other zones of their own in each such round.
    int rounds_per_digest = 2;
    // What a zone's delegates told counts for this long.
    Duration digest_retention = std::chrono::milliseconds(2'500);
    // A peer that has told nothing for this long counts as dead.
    Duration liveness_timeout = std::chrono::milliseconds(1'200);
    // A peer that is neither listed nor heard may still be sending for so long.
    Duration peer_retention = std::chrono::seconds(60);
    // Clocks of different machines run apart by at most this part of a time.
    double max_clock_drift = 0.01;
  };
  // What this entry tells about itself.
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
  // What a message tells this entry.
  struct Update {
    // The sender's deployment was the newest at this moment of our clock.
    std::optional<TimePoint> confirmed_as_of;
    DeploymentVersion deployment;
    // Zones of which the message tells something newer, and when that was so.
    struct Zone {
      ZoneName name;
      std::vector<BackendShare> shares;
      TimePoint as_of;
    };
    std::vector<Zone> zones;
  };

  explicit EntryGossip(Options options);

  // The entries that the store lists.
  void SetListed(const std::vector<Member>& entries);
  // The messages of one round.
  std::vector<OutgoingMessage> NextRound(const LocalState& state,
                                         TimePoint now);
  Update OnMessage(const GossipMessage& message, TimePoint now);

  // Entries that have told something lately and aren't leaving.
  std::vector<Member> AlivePeers(TimePoint now) const;
  // Entries that may be sending to backend servers, with this one. Those that
  // have been absent for a short time are among them.
  std::vector<InstanceId> PossibleSenders() const;

 private:
  struct Peer {
    Member member;
    bool is_listed = false;
    bool is_leaving = false;
    TimePoint last_present;  // it was listed or heard then
    std::optional<TimePoint> last_heard;
    std::int64_t mark_us = 0;
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
  std::map<InstanceId, Peer> peers_;
  std::map<ZoneName, ZoneStatus> zones_;  // the other ones
  // Of the peers that are near, or far, in order: the next to be told. Each
  // entry begins elsewhere, so that not all tell the same one at a time.
  std::size_t next_local_;
  std::size_t next_remote_;
  int round_count_ = 0;
};

}  // namespace mangohold
