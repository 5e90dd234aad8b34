#include "peer/entry_gossip.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

#include "core/cbor.h"
#include "core/json_types.h"
#include "core/stable_hash.h"
#include "peer/delegates.h"

namespace mangohold {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kDelegatesPerZone = 2;

std::int64_t ToMicros(Duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration)
      .count();
}

// A time of a peer's clock, or a time span, in microseconds. Others than a
// clock can tell are bounded.
std::int64_t ReadMicros(const Json& json) {
  constexpr std::int64_t kMaxMicros = 1'000'000'000'000'000;  // 31 years
  return std::clamp<std::int64_t>(json.get<std::int64_t>(), 0, kMaxMicros);
}

Json FromShares(const std::vector<BackendShare>& shares) {
  Json json = Json::array();
  for (const BackendShare& share : shares) {
    json.push_back({share.backend, share.requests, share.prefill_tokens});
  }
  return json;
}

std::vector<BackendShare> ToShares(const Json& json) {
  std::vector<BackendShare> shares;
  for (const Json& share : json) {
    shares.push_back({.backend = share.at(0).get<InstanceId>(),
                      .requests = share.at(1).get<int>(),
                      .prefill_tokens = share.at(2).get<int>()});
  }
  return shares;
}

Json ValuesOf(const Suspects& suspects, Suspect::Kind kind) {
  Json json = Json::array();
  for (const Suspect& suspect : suspects) {
    if (suspect.kind() == kind) json.push_back(suspect.value());
  }
  return json;
}

template <typename Id>
void AddSuspects(const Json& json, Suspects& suspects) {
  for (const Json& value : json) {
    suspects.emplace_back(Id(value.get<std::uint64_t>()));
  }
}

// Whole requests stand in places that earlier releases don't read.
Json FromPoisonReport(const PoisonReport& report) {
  Json crashes = Json::array();
  for (const PoisonReport::Crash& crash : report.crashes) {
    crashes.push_back({crash.backend, crash.age_us,
                       ValuesOf(crash.candidates, Suspect::Kind::kPart),
                       ValuesOf(crash.candidates, Suspect::Kind::kRequest)});
  }
  Json parts = Json::array();
  Json requests = Json::array();
  for (const PoisonReport::Cleared& cleared : report.cleared) {
    Json& list = cleared.suspect.is_request() ? requests : parts;
    list.push_back({cleared.suspect.value(), cleared.age_us});
  }
  return {{"crashes", std::move(crashes)},
          {"cleared", std::move(parts)},
          {"cleared_requests", std::move(requests)}};
}

template <typename Id>
void AddCleared(const Json& json, PoisonReport& report) {
  for (const Json& row : json) {
    report.cleared.push_back(
        {.suspect = Suspect(Id(row.at(0).get<std::uint64_t>())),
         .age_us = ReadMicros(row.at(1))});
  }
}

PoisonReport ToPoisonReport(const Json& json) {
  constexpr std::size_t kRequestsAt = 3;
  PoisonReport report;
  for (const Json& row : json.at("crashes")) {
    PoisonReport::Crash crash{.backend = row.at(0).get<InstanceId>(),
                              .age_us = ReadMicros(row.at(1))};
    AddSuspects<PromptPart>(row.at(2), crash.candidates);
    if (row.size() > kRequestsAt) {
      AddSuspects<RequestDigest>(row.at(kRequestsAt), crash.candidates);
    }
    report.crashes.push_back(std::move(crash));
  }
  AddCleared<PromptPart>(json.at("cleared"), report);
  if (const auto requests = json.find("cleared_requests");
      requests != json.end()) {
    AddCleared<RequestDigest>(*requests, report);
  }
  return report;
}

Json FromLimits(const std::vector<RateLimitReport>& limits) {
  Json json = Json::array();
  for (const RateLimitReport& limit : limits) {
    Json row = {limit.backend, limit.age_us, nullptr, nullptr};
    if (limit.requests_per_s) row[2] = *limit.requests_per_s;
    if (limit.started_ms) row[3] = *limit.started_ms;
    json.push_back(std::move(row));
  }
  return json;
}

std::vector<RateLimitReport> ToLimits(const Json& json) {
  std::vector<RateLimitReport> limits;
  for (const Json& row : json) {
    RateLimitReport limit{.backend = row.at(0).get<InstanceId>(),
                          .age_us = ReadMicros(row.at(1))};
    if (!row.at(2).is_null()) limit.requests_per_s = row.at(2).get<double>();
    if (!row.at(3).is_null()) {
      limit.started_ms = row.at(3).get<std::int64_t>();
    }
    limits.push_back(std::move(limit));
  }
  return limits;
}

}  // namespace

std::string EncodeGossip(const GossipMessage& message) {
  Json zones = Json::array();
  for (const ZoneDigest& zone : message.zones) {
    zones.push_back(
        {zone.zone, zone.age_us, zone.alive, FromShares(zone.shares)});
  }
  Json json = {{"from", EncodeMember(message.sender)},
               {"leaving", message.is_leaving},
               {"mark", message.timestamp_us},
               {"returned", message.echoed_timestamp_us},
               {"held", message.echo_delay_us},
               {"deployment", message.deployment},
               {"age", message.confirmed_age_us},
               {"shares", FromShares(message.shares)},
               {"zones", std::move(zones)}};
  if (!message.poison.empty()) {
    json["poison"] = FromPoisonReport(message.poison);
  }
  if (!message.limits.empty()) json["limits"] = FromLimits(message.limits);
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

std::optional<GossipMessage> DecodeGossip(std::string_view bytes) {
  try {
    const Json json = ParseCbor(bytes);
    const auto sender = DecodeMember(json.at("from").get<std::string>());
    if (!sender) return std::nullopt;
    GossipMessage message{
        .sender = *sender,
        .is_leaving = json.at("leaving").get<bool>(),
        .timestamp_us = ReadMicros(json.at("mark")),
        .echoed_timestamp_us = ReadMicros(json.at("returned")),
        .echo_delay_us = ReadMicros(json.at("held")),
        .deployment = json.at("deployment").get<DeploymentVersion>(),
        .confirmed_age_us = ReadMicros(json.at("age"))};
    message.shares = ToShares(json.at("shares"));
    if (const auto poison = json.find("poison"); poison != json.end()) {
      message.poison = ToPoisonReport(*poison);
    }
    if (const auto limits = json.find("limits"); limits != json.end()) {
      message.limits = ToLimits(*limits);
    }
    for (const Json& zone : json.at("zones")) {
      message.zones.push_back(
          {.zone = zone.at(0).get<ZoneName>(),
           .age_us = ReadMicros(zone.at(1)),
           .alive = zone.at(2).get<std::vector<InstanceId>>(),
           .shares = ToShares(zone.at(3))});
    }
    return message;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

EntryGossip::EntryGossip(Options options)
    : options_(std::move(options)),
      next_local_(StableHash(options_.self.id.value()) >> 32U),
      next_remote_(next_local_) {}

void EntryGossip::SetListed(const std::vector<Member>& entries) {
  for (auto& [id, peer] : peers_) peer.is_listed = false;
  is_self_listed_ = false;
  for (const Member& entry : entries) {
    if (entry.id == options_.self.id) {
      is_self_listed_ = true;
      continue;
    }
    Peer& peer = peers_[entry.id];
    peer.member = entry;
    peer.is_listed = true;
  }
}

void EntryGossip::ConfirmList(TimePoint as_of) {
  if (!is_self_listed_) return;
  self_listed_as_of_ = std::max(self_listed_as_of_.value_or(as_of), as_of);
}

std::vector<EntryGossip::OutgoingMessage> EntryGossip::NextRound(
    const LocalState& state, TimePoint now) {
  RemoveExpiredPeers(now);
  std::vector<const Peer*> local;
  std::vector<const Peer*> remote;
  for (const auto& [id, peer] : peers_) {
    if (!IsPresent(peer, now)) continue;
    const bool is_local = peer.member.zone == options_.self.zone;
    (is_local ? local : remote).push_back(&peer);
  }
  if (local.size() + remote.size() <= options_.fan_out) {
    local.insert(local.end(), remote.begin(), remote.end());
    remote.clear();
  }
  std::vector<OutgoingMessage> round;
  const std::size_t count = std::min(
      std::max(options_.fan_out, local.size() / options_.rounds_per_zone),
      local.size());
  for (std::size_t i = 0; i < count; ++i) {
    const Peer& peer = *local[(next_local_ + i) % local.size()];
    round.push_back(
        {.to = peer.member.peer, .message = MessageTo(peer, state, now)});
  }
  next_local_ = local.empty() ? 0 : (next_local_ + count) % local.size();
  if (remote.empty()) return round;
  if (IsDelegate(now)) {
    const auto digests = FreshDigests(now);
    for (OutgoingMessage& outgoing : round) outgoing.message.zones = digests;
    const bool is_due = ++round_count_ % options_.rounds_per_digest == 0;
    if (is_due) AddZoneDigests(remote, state, now, round);
  }
  AddRemoteMessages(remote, state, now, round);
  return round;
}

GossipMessage EntryGossip::MessageTo(const Peer& peer, const LocalState& state,
                                     TimePoint now) const {
  return {.sender = options_.self,
          .is_leaving = state.is_leaving,
          .timestamp_us = ToMicros(now.time_since_epoch()),
          .echoed_timestamp_us = peer.last_timestamp_us,
          .echo_delay_us = peer.last_heard ? ToMicros(now - *peer.last_heard)
                                           : std::int64_t{0},
          .deployment = state.deployment,
          .confirmed_age_us = ToMicros(now - state.confirmed_as_of),
          .shares = state.shares};
}

// Sends this entry's liveness to a few entries of other zones, so that a zone
// is found again when its delegates are unknown.
void EntryGossip::AddRemoteMessages(const std::vector<const Peer*>& remote,
                                    const LocalState& state, TimePoint now,
                                    std::vector<OutgoingMessage>& round) {
  const std::size_t count = std::min(options_.remote_fan_out, remote.size());
  for (std::size_t i = 0; i < count; ++i) {
    const Peer& peer = *remote[(next_remote_ + i) % remote.size()];
    GossipMessage message = MessageTo(peer, state, now);
    message.shares.clear();  // included in the digest of the zone
    round.push_back({.to = peer.member.peer, .message = std::move(message)});
  }
  next_remote_ = (next_remote_ + count) % remote.size();
}

// Sends the digest of this zone to the delegates of the other zones.
void EntryGossip::AddZoneDigests(const std::vector<const Peer*>& remote,
                                 const LocalState& state, TimePoint now,
                                 std::vector<OutgoingMessage>& round) {
  const ZoneDigest own = OwnDigest(state, now);
  std::set<ZoneName> zones;
  for (const Peer* peer : remote) zones.insert(peer->member.zone);
  for (const ZoneName& zone : zones) {
    for (const Peer* peer : DelegatesOf(zone, now)) {
      GossipMessage message = MessageTo(*peer, state, now);
      message.shares.clear();
      message.zones = {own};
      round.push_back({.to = peer->member.peer, .message = std::move(message)});
    }
  }
}

ZoneDigest EntryGossip::OwnDigest(const LocalState& state,
                                  TimePoint now) const {
  ZoneDigest digest{.zone = options_.self.zone};
  std::map<InstanceId, BackendShare> sums;
  const auto add = [&sums](const std::vector<BackendShare>& shares) {
    for (const BackendShare& share : shares) {
      BackendShare& sum = sums[share.backend];
      sum.backend = share.backend;
      sum.requests += share.requests;
      sum.prefill_tokens += share.prefill_tokens;
    }
  };
  if (!state.is_leaving) digest.alive.push_back(options_.self.id);
  add(state.shares);
  for (const auto& [id, peer] : peers_) {
    if (peer.member.zone != options_.self.zone || !IsRecentlyHeard(peer, now)) {
      continue;
    }
    if (!peer.is_leaving) digest.alive.push_back(id);
    add(peer.shares);
  }
  std::ranges::copy(sums | std::views::values,
                    std::back_inserter(digest.shares));
  return digest;
}

std::vector<ZoneDigest> EntryGossip::FreshDigests(TimePoint now) const {
  std::vector<ZoneDigest> fresh;
  for (const auto& [name, zone] : zones_) {
    if (now - zone.as_of > options_.digest_retention) continue;
    fresh.push_back(zone.digest);
    fresh.back().age_us = ToMicros(now - zone.as_of);
  }
  return fresh;
}

bool EntryGossip::IsDelegate(TimePoint now) const {
  std::vector<InstanceId> members = {options_.self.id};
  for (const auto& [id, peer] : peers_) {
    const bool is_near = peer.member.zone == options_.self.zone;
    const bool is_alive = IsRecentlyHeard(peer, now) && !peer.is_leaving;
    if (is_near && is_alive) members.push_back(id);
  }
  const auto delegates = SelectDelegates(std::move(members), kDelegatesPerZone);
  return std::ranges::find(delegates, options_.self.id) != delegates.end();
}

// Selects delegates among the live entries of the zone, or among all listed
// ones if none is known to be alive.
std::vector<const EntryGossip::Peer*> EntryGossip::DelegatesOf(
    const ZoneName& zone, TimePoint now) const {
  std::vector<InstanceId> alive;
  std::vector<InstanceId> present;
  for (const auto& [id, peer] : peers_) {
    if (peer.member.zone != zone || peer.is_leaving) continue;
    if (IsAlive(peer, now)) alive.push_back(id);
    if (IsPresent(peer, now)) present.push_back(id);
  }
  std::vector<const Peer*> delegates;
  for (const InstanceId& id :
       SelectDelegates(alive.empty() ? std::move(present) : std::move(alive),
                       kDelegatesPerZone)) {
    delegates.push_back(&peers_.at(id));
  }
  return delegates;
}

EntryGossip::Update EntryGossip::OnMessage(const GossipMessage& message,
                                           TimePoint now) {
  Peer& peer = peers_[message.sender.id];
  peer.member = message.sender;
  peer.is_leaving = message.is_leaving;
  peer.last_heard = now;
  peer.last_timestamp_us = message.timestamp_us;
  peer.shares = message.shares;
  Update update{.deployment = message.deployment};
  for (const ZoneDigest& digest : message.zones) {
    const TimePoint as_of = now - std::chrono::microseconds(digest.age_us);
    ZoneStatus& zone = zones_[digest.zone];
    if (digest.zone == options_.self.zone || as_of <= zone.as_of) continue;
    zone = {.digest = digest, .as_of = as_of};
    update.zones.push_back(
        {.name = digest.zone, .shares = digest.shares, .as_of = as_of});
  }
  if (message.echoed_timestamp_us == 0) return update;
  // The message was sent no earlier than the echoed timestamp plus the echo
  // delay, so the peer's confirmation is at least as recent as computed here.
  // Drift is accounted for in the safe direction.
  const TimePoint echoed{
      std::chrono::microseconds(message.echoed_timestamp_us)};
  const auto held = std::chrono::duration_cast<Duration>(
      std::chrono::microseconds(message.echo_delay_us) *
      (1 - options_.max_clock_drift));
  const auto age = std::chrono::duration_cast<Duration>(
      std::chrono::microseconds(message.confirmed_age_us) *
      (1 + options_.max_clock_drift));
  if (echoed + held <= now) update.confirmed_as_of = echoed + held - age;
  return update;
}

bool EntryGossip::IsRecentlyHeard(const Peer& peer, TimePoint now) const {
  return peer.last_heard && now - *peer.last_heard <= options_.liveness_timeout;
}

bool EntryGossip::IsAliveInDigest(const Peer& peer, TimePoint now) const {
  const auto zone = zones_.find(peer.member.zone);
  if (zone == zones_.end()) return false;
  const ZoneStatus& known = zone->second;
  return now - known.as_of <= options_.digest_retention &&
         std::ranges::find(known.digest.alive, peer.member.id) !=
             known.digest.alive.end();
}

bool EntryGossip::IsAlive(const Peer& peer, TimePoint now) const {
  return !peer.is_leaving &&
         (IsRecentlyHeard(peer, now) || IsAliveInDigest(peer, now));
}

bool EntryGossip::IsPresent(const Peer& peer, TimePoint now) const {
  return peer.is_listed || IsRecentlyHeard(peer, now);
}

// A peer that announced its shutdown is removed at once. A silent peer may be
// partitioned and still sending, so it is removed only after `peer_retention`.
void EntryGossip::RemoveExpiredPeers(TimePoint now) {
  for (auto& [id, peer] : peers_) {
    if (IsPresent(peer, now)) peer.last_present = now;
  }
  std::erase_if(peers_, [&](const auto& item) {
    const Peer& peer = item.second;
    if (IsPresent(peer, now)) return false;
    return peer.is_leaving || now - peer.last_present > options_.peer_retention;
  });
}

std::vector<Member> EntryGossip::AlivePeers(TimePoint now) const {
  std::vector<Member> alive;
  for (const auto& [id, peer] : peers_) {
    if (IsAlive(peer, now)) alive.push_back(peer.member);
  }
  return alive;
}

std::vector<InstanceId> EntryGossip::PossibleSenders() const {
  std::vector<InstanceId> known = {options_.self.id};
  std::ranges::copy(peers_ | std::views::keys, std::back_inserter(known));
  return known;
}

std::optional<int> EntryGossip::SenderCount(TimePoint now) const {
  const bool is_counted = self_listed_as_of_ &&
                          now - *self_listed_as_of_ <= options_.self_retention;
  if (!is_counted) return std::nullopt;
  return static_cast<int>(peers_.size()) + 1;
}

}  // namespace mangohold
