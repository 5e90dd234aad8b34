// The datagrams that the agents of a group exchange, encoded as CBOR.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "group/map_switch.h"
#include "store/member.h"

namespace mangohold {

// Sent as a number: the order must not change.
enum class RankMessageKind { kHeartbeat, kStatus, kCommand, kChoices, kCount };

struct RankMessage {
  RankMessageKind kind = RankMessageKind::kHeartbeat;
  GroupName group;
  LeaderTerm term;
  InstanceId sender;
  int rank = 0;  // of the sender
  Endpoint reply_to;
  ZoneName zone;      // kStatus: of the sender
  Endpoint backend;   // kStatus: the sender's engine
  RankStatus status;  // kStatus
  // kChoices: since the previous message, of one rank or several.
  ExpertCounts counts;
  // kHeartbeat: where the receiver sends its counts; empty: to the leader.
  Endpoint collector;
  RankCommand command;  // kCommand
};

// A message from the agent `self`, whose engine's newest report is `own_report`
// (null: unknown).
RankMessage NewRankMessage(RankMessageKind kind, LeaderTerm term,
                           const Member& self, const RankReport* own_report);

std::string EncodeRankMessage(const RankMessage& message);
// Absent if the bytes aren't a valid message.
std::optional<RankMessage> DecodeRankMessage(std::string_view bytes);

}  // namespace mangohold
