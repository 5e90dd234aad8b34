#include "peer/entry_gossip.h"

#include <algorithm>
#include <iterator>
#include <ranges>

#include "core/json_types.h"

namespace mangohold {
namespace {

using Json = nlohmann::json;

std::int64_t ToMicros(Duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration)
      .count();
}

}  // namespace

std::string EncodeGossip(const GossipMessage& message) {
  Json shares = Json::array();
  for (const BackendShare& share : message.shares) {
    shares.push_back({share.backend, share.requests, share.unread_tokens});
  }
  const Json json = {{"from", EncodeMember(message.sender)},
                     {"leaving", message.is_leaving},
                     {"mark", message.mark_us},
                     {"returned", message.returned_mark_us},
                     {"held", message.returned_held_us},
                     {"deployment", message.deployment},
                     {"age", message.confirmed_age_us},
                     {"shares", std::move(shares)}};
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

std::optional<GossipMessage> DecodeGossip(std::string_view bytes) {
  try {
    const Json json = Json::from_cbor(bytes.begin(), bytes.end());
    const auto sender = DecodeMember(json.at("from").get<std::string>());
    if (!sender) return std::nullopt;
    GossipMessage message{
        .sender = *sender,
        .is_leaving = json.at("leaving").get<bool>(),
        .mark_us = json.at("mark").get<std::int64_t>(),
        .returned_mark_us = json.at("returned").get<std::int64_t>(),
        .returned_held_us = json.at("held").get<std::int64_t>(),
        .deployment = json.at("deployment").get<Revision>(),
        .confirmed_age_us = json.at("age").get<std::int64_t>()};
    for (const Json& share : json.at("shares")) {
      message.shares.push_back({.backend = share.at(0).get<InstanceId>(),
                                .requests = share.at(1).get<int>(),
                                .unread_tokens = share.at(2).get<int>()});
    }
    return message;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

void EntryGossip::SetListed(const std::vector<Member>& entries) {
  for (auto& [id, peer] : peers_) peer.is_listed = false;
  for (const Member& entry : entries) {
    if (entry.id == options_.self.id) continue;
    Peer& peer = peers_[entry.id];
    peer.member = entry;
    peer.is_listed = true;
  }
}

std::vector<EntryGossip::Outgoing> EntryGossip::NextRound(const State& state,
                                                          TimePoint now) {
  Forget(now);
  std::vector<const Peer*> order;
  order.reserve(peers_.size());
  for (const auto& [id, peer] : peers_) {
    if (IsPresent(peer, now)) order.push_back(&peer);
  }
  std::vector<Outgoing> round;
  const std::size_t count = std::min(options_.fan_out, order.size());
  for (std::size_t i = 0; i < count; ++i) {
    const Peer& peer = *order[(next_ + i) % order.size()];
    GossipMessage message{
        .sender = options_.self,
        .is_leaving = state.is_leaving,
        .mark_us = ToMicros(now.time_since_epoch()),
        .returned_mark_us = peer.mark_us,
        .returned_held_us =
            peer.heard ? ToMicros(now - *peer.heard) : std::int64_t{0},
        .deployment = state.deployment,
        .confirmed_age_us = ToMicros(now - state.confirmed_as_of),
        .shares = state.shares};
    round.push_back({.to = peer.member.peer, .message = std::move(message)});
  }
  next_ = order.empty() ? 0 : (next_ + count) % order.size();
  return round;
}

EntryGossip::News EntryGossip::OnMessage(const GossipMessage& message,
                                         TimePoint now) {
  Peer& peer = peers_[message.sender.id];
  peer.member = message.sender;
  peer.is_leaving = message.is_leaving;
  peer.heard = now;
  peer.mark_us = message.mark_us;
  News news{.deployment = message.deployment};
  if (message.returned_mark_us == 0) return news;
  // The message was sent no earlier than our mark plus the time that the peer
  // held it, so that the peer's confirmation is no older than this.
  const TimePoint mark{std::chrono::microseconds(message.returned_mark_us)};
  const auto held = std::chrono::duration_cast<Duration>(
      std::chrono::microseconds(message.returned_held_us) *
      (1 - options_.drift));
  const auto age = std::chrono::duration_cast<Duration>(
      std::chrono::microseconds(message.confirmed_age_us) *
      (1 + options_.drift));
  if (mark + held <= now) news.confirmed_as_of = mark + held - age;
  return news;
}

bool EntryGossip::IsHeard(const Peer& peer, TimePoint now) const {
  return peer.heard && now - *peer.heard <= options_.silence;
}

bool EntryGossip::IsPresent(const Peer& peer, TimePoint now) const {
  return peer.is_listed || IsHeard(peer, now);
}

// A peer that left of its own accord is gone for good. One that fell silent may
// be cut off, and at work.
void EntryGossip::Forget(TimePoint now) {
  for (auto& [id, peer] : peers_) {
    if (IsPresent(peer, now)) peer.present_at = now;
  }
  std::erase_if(peers_, [&](const auto& item) {
    const Peer& peer = item.second;
    if (IsPresent(peer, now)) return false;
    return peer.is_leaving || now - peer.present_at > options_.absence;
  });
}

std::vector<Member> EntryGossip::Alive(TimePoint now) const {
  std::vector<Member> alive;
  for (const auto& [id, peer] : peers_) {
    if (IsHeard(peer, now) && !peer.is_leaving) alive.push_back(peer.member);
  }
  return alive;
}

std::vector<InstanceId> EntryGossip::Known() const {
  std::vector<InstanceId> known = {options_.self.id};
  std::ranges::copy(peers_ | std::views::keys, std::back_inserter(known));
  return known;
}

}  // namespace mangohold
