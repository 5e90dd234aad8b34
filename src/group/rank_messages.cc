#include "group/rank_messages.h"

#include <algorithm>

#include "core/cbor.h"
#include "core/json_types.h"

// Reports are encoded with all fields, commands only with the fields that their
// order needs. Absent numbers are encoded as null.
namespace mangohold {
namespace {

using Json = nlohmann::json;

template <typename Number>
Json FromOptional(const std::optional<Number>& number) {
  return number ? Json(*number) : Json();
}

template <typename Number>
std::optional<Number> ToOptional(const Json& json) {
  if (json.is_null()) return std::nullopt;
  return json.get<Number>();
}

// Numbers that receivers use as indexes, or add up.
void RejectOutOfRange(bool is_in_range) {
  if (is_in_range) return;
  throw Json::other_error::create(501, "number out of range", nullptr);
}

int ToRank(const Json& json) {
  const auto rank = json.get<std::int64_t>();
  RejectOutOfRange(rank >= 0 && rank < kMaxRanks);
  return static_cast<int>(rank);
}

ExpertCounts ToCounts(const Json& json) {
  auto counts = json.get<ExpertCounts>();
  RejectOutOfRange(std::ranges::all_of(counts, [](std::int64_t count) {
    return count >= 0 && count <= kMaxExpertCount;
  }));
  return counts;
}

Json FromReport(const RankReport& report) {
  return {{"group", report.group},
          {"epoch", report.epoch},
          {"rank", report.rank},
          {"size", report.size},
          {"open", report.is_open},
          {"pass", report.pass},
          {"sequence", report.sequence},
          {"busy", report.is_busy},
          {"map", report.map},
          {"prepared", FromOptional(report.prepared)},
          {"armed", FromOptional(report.armed)},
          {"armed_at", FromOptional(report.armed_at)},
          {"held", FromOptional(report.held)},
          {"running", report.running},
          {"waiting", report.waiting},
          {"pace", report.slowdown}};
}

RankReport ToReport(const Json& json) {
  RankReport report;
  report.group = json.at("group").get<GroupName>();
  report.epoch = json.at("epoch").get<GroupEpoch>();
  report.rank = ToRank(json.at("rank"));
  report.size = json.at("size").get<int>();
  RejectOutOfRange(report.size >= 0 && report.size <= kMaxRanks);
  report.is_open = json.at("open").get<bool>();
  report.pass = json.at("pass").get<PassNumber>();
  report.sequence = json.at("sequence").get<OrderSequence>();
  report.is_busy = json.at("busy").get<bool>();
  report.map = json.at("map").get<MapVersion>();
  report.prepared = ToOptional<MapVersion>(json.at("prepared"));
  report.armed = ToOptional<MapVersion>(json.at("armed"));
  // Absent in messages of earlier builds: the pass is unknown.
  if (const auto pass = json.find("armed_at"); pass != json.end()) {
    report.armed_at = ToOptional<PassNumber>(*pass);
  }
  report.held = ToOptional<PassNumber>(json.at("held"));
  report.running = json.at("running").get<int>();
  report.waiting = json.at("waiting").get<int>();
  report.slowdown = json.at("pace").get<double>();
  return report;
}

Json FromDelta(const MapDelta& delta) {
  Json rows = Json::array();
  for (const MapDelta::Row& row : delta.rows) {
    rows.push_back({row.set, row.rank, row.added, row.dropped});
  }
  return {{"base", delta.base},
          {"digest", delta.digest},
          {"rows", std::move(rows)}};
}

std::shared_ptr<const MapDelta> ToDelta(const Json& json) {
  auto delta = std::make_shared<MapDelta>();
  delta->base = json.at("base").get<MapVersion>();
  delta->digest = json.at("digest").get<std::uint64_t>();
  for (const Json& row : json.at("rows")) {
    delta->rows.push_back({.set = row.at(0).get<int>(),
                           .rank = row.at(1).get<int>(),
                           .added = row.at(2).get<std::vector<int>>(),
                           .dropped = row.at(3).get<std::vector<int>>()});
  }
  return delta;
}

Json FromCommand(const RankCommand& command) {
  Json json = {{"rank", command.rank},
               {"epoch", command.epoch},
               {"version", command.version},
               {"pass", command.pass}};
  if (command.is_grant) json["grant"] = true;
  if (command.is_readiness_query) json["question"] = true;
  if (command.order) json["order"] = static_cast<int>(*command.order);
  if (!command.map.empty()) json["map"] = command.map;
  if (command.delta) json["delta"] = FromDelta(*command.delta);
  return json;
}

RankCommand ToCommand(const Json& json) {
  RankCommand command;
  command.rank = ToRank(json.at("rank"));
  command.epoch = json.at("epoch").get<GroupEpoch>();
  command.version = json.at("version").get<MapVersion>();
  command.pass = json.at("pass").get<PassNumber>();
  if (json.contains("order")) {
    const int order = json.at("order").get<int>();
    if (order < 0 || order >= static_cast<int>(OrderKind::kCount)) {
      throw Json::other_error::create(501, "unknown order", nullptr);
    }
    command.order = static_cast<OrderKind>(order);
  }
  command.is_grant = json.value("grant", false);
  command.is_readiness_query = json.value("question", false);
  if (json.contains("map")) command.map = json.at("map").get<GroupMap>();
  if (json.contains("delta")) command.delta = ToDelta(json.at("delta"));
  return command;
}

void ReadStatus(const Json& json, RankMessage& message) {
  message.zone = json.at("zone").get<ZoneName>();
  message.backend = json.at("backend").get<Endpoint>();
  message.status = {
      .agent = message.sender,
      .term = message.term,
      .report = ToReport(json.at("report")),
      .holdings = json.at("holdings").get<ExpertLists>(),
      .accepted = json.at("accepted").get<MapVersion>(),
      .granted = json.at("granted").get<MapVersion>(),
      // Absent in messages of agents older than the readiness question. Their
      // status is accepted, but no switch proceeds until all agents answer.
      .ready_for = json.value("ready", MapVersion()),
      .may_arm_late = json.at("late").get<bool>(),
      .missing = json.at("missing").get<MapVersion>()};
}

void WriteStatus(const RankMessage& message, Json& json) {
  json["zone"] = message.zone;
  json["backend"] = message.backend;
  json["report"] = FromReport(message.status.report);
  json["holdings"] = message.status.holdings;
  json["accepted"] = message.status.accepted;
  json["late"] = message.status.may_arm_late;
  json["granted"] = message.status.granted;
  json["ready"] = message.status.ready_for;
  json["missing"] = message.status.missing;
}

RankMessage ToMessage(const Json& json) {
  RankMessage message;
  const int kind = json.at("kind").get<int>();
  if (kind < 0 || kind >= static_cast<int>(RankMessageKind::kCount)) {
    throw Json::other_error::create(501, "unknown message kind", nullptr);
  }
  message.kind = static_cast<RankMessageKind>(kind);
  message.group = json.at("group").get<GroupName>();
  message.term = json.at("term").get<LeaderTerm>();
  message.sender = json.at("sender").get<InstanceId>();
  message.rank = ToRank(json.at("rank"));
  message.reply_to = json.at("reply_to").get<Endpoint>();
  switch (message.kind) {
    case RankMessageKind::kHeartbeat:
      message.collector = json.at("collector").get<Endpoint>();
      break;
    case RankMessageKind::kStatus:
      ReadStatus(json, message);
      break;
    case RankMessageKind::kCommand:
      message.command = ToCommand(json.at("command"));
      break;
    case RankMessageKind::kChoices:
      message.counts = ToCounts(json.at("choices"));
      break;
    case RankMessageKind::kCount:
      break;
  }
  return message;
}

}  // namespace

RankMessage NewRankMessage(RankMessageKind kind, LeaderTerm term,
                           const Member& self, const RankReport* own_report) {
  return {.kind = kind,
          .group = own_report != nullptr ? own_report->group : GroupName(),
          .term = term,
          .sender = self.id,
          .rank = own_report != nullptr ? own_report->rank : 0,
          .reply_to = self.peer};
}

std::string EncodeRankMessage(const RankMessage& message) {
  Json json = {{"kind", static_cast<int>(message.kind)},
               {"group", message.group},
               {"term", message.term},
               {"sender", message.sender},
               {"rank", message.rank},
               {"reply_to", message.reply_to}};
  switch (message.kind) {
    case RankMessageKind::kHeartbeat:
      json["collector"] = message.collector;
      break;
    case RankMessageKind::kStatus:
      WriteStatus(message, json);
      break;
    case RankMessageKind::kCommand:
      json["command"] = FromCommand(message.command);
      break;
    case RankMessageKind::kChoices:
      json["choices"] = message.counts;
      break;
    case RankMessageKind::kCount:
      break;
  }
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

std::optional<RankMessage> DecodeRankMessage(std::string_view bytes) {
  try {
    return ToMessage(ParseCbor(bytes));
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace mangohold
