// The datagrams between the agents of a group's ranks.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "group/map_switch.h"
#include "store/member.h"

namespace mangohold {

enum class RankMessageKind { kHeartbeat, kStatus, kCommand, kChoices, kCount };

struct RankMessage {
  RankMessageKind kind = RankMessageKind::kHeartbeat;
  GroupName group;
  LeaderTerm term;
  InstanceId sender;
  int rank = 0;  // the sender's
  Endpoint reply_to;
  ZoneName zone;         // kStatus: the sender's
  Endpoint backend;      // kStatus: the engine beside the sender
  RankStatus status;     // kStatus
  ExpertCounts choices;  // kChoices: since the last ones, of one rank or more
  // kBeat: where the receiver's choices go; empty: to the leader.
  Endpoint collector;
  RankCommand command;  // kCommand
};

// A message of `self`, beside the rank that `own` tells of; null: not known.
RankMessage NewRankMessage(RankMessageKind kind, LeaderTerm term,
                           const Member& self, const RankReport* own_report);

std::string EncodeRankMessage(const RankMessage& message);
// Nothing for bytes that are no such message.
std::optional<RankMessage> DecodeRankMessage(std::string_view bytes);

}  // namespace mangohold
