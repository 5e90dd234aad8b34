// What entries on the direct way tell each other several times a second: that
// they live, what they have in progress at which backend server, and how fresh
// their deployment is. No clock and no network.
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

#include "core/clock.h"
#include "core/ids.h"
#include "routing/dispatcher.h"
#include "store/member.h"

namespace mangohold {

struct GossipMessage {
  Member sender;
  bool is_leaving = false;
  // The sender's clock, meaningful to the sender only.
  std::int64_t mark_us = 0;
  // The receiver's last mark, and how long ago it arrived; 0: none.
  std::int64_t returned_mark_us = 0;
  std::int64_t returned_held_us = 0;
  // The deployment in force at the sender, and how long ago it was known to be
  // the newest.
  Revision deployment;
  std::int64_t confirmed_age_us = 0;
  std::vector<BackendShare> shares;
};

std::string EncodeGossip(const GossipMessage& message);
// Nothing for bytes that are no such message.
std::optional<GossipMessage> DecodeGossip(std::string_view bytes);

class EntryGossip {
 public:
  struct Options {
    Member self;
    // Peers that are told in one round; all are told in turn.
    std::size_t fan_out = 8;
    // A peer that has told nothing for this long counts as dead.
    Duration silence = std::chrono::milliseconds(1'200);
    // A peer that is neither listed nor heard may still be sending for so long.
    Duration absence = std::chrono::seconds(60);
    // Clocks of different machines run apart by at most this part of a time.
    double drift = 0.01;
  };
  // What this entry tells about itself.
  struct State {
    bool is_leaving = false;
    Revision deployment;
    TimePoint confirmed_as_of;
    std::vector<BackendShare> shares;
  };
  struct Outgoing {
    Endpoint to;
    GossipMessage message;
  };
  // What a message tells this entry.
  struct News {
    // The sender's deployment was the newest at this moment of our clock.
    std::optional<TimePoint> confirmed_as_of;
    Revision deployment;
  };

  explicit EntryGossip(Options options) : options_(std::move(options)) {}

  // The entries that the store lists.
  void SetListed(const std::vector<Member>& entries);
  // The messages of one round.
  std::vector<Outgoing> NextRound(const State& state, TimePoint now);
  News OnMessage(const GossipMessage& message, TimePoint now);

  // Entries that have told something lately and aren't leaving.
  std::vector<Member> Alive(TimePoint now) const;
  // Entries that may be sending to backend servers, with this one. Those that
  // have been absent for a short time are among them.
  std::vector<InstanceId> Known() const;

 private:
  struct Peer {
    Member member;
    bool is_listed = false;
    bool is_leaving = false;
    TimePoint present_at;  // it was listed or heard then
    std::optional<TimePoint> heard;
    std::int64_t mark_us = 0;
  };

  bool IsHeard(const Peer& peer, TimePoint now) const;
  bool IsPresent(const Peer& peer, TimePoint now) const;
  void Forget(TimePoint now);

  Options options_;
  std::map<InstanceId, Peer> peers_;
  std::size_t next_ = 0;  // of the peers in order, the next to be told
};

}  // namespace mangohold
