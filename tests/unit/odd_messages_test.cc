// Messages of faulty or forged peers.
#include <gtest/gtest.h>

#include <cstdint>
#include <limits>
#include <string>

#include "core/random.h"
#include "group/rank_messages.h"
#include "peer/entry_gossip.h"
#include "spread/sync_message.h"
#include "store/change_relay.h"

namespace mangohold {
namespace {

constexpr int kDepth = 100'000;

// Guards against a message that is nested so deeply that decoding it overflows
// the stack.
TEST(OddMessages, DeeplyNestedOnesAreRejected) {
  const std::string arrays(kDepth, '\x81');
  std::string maps;
  for (int i = 0; i < kDepth; ++i) maps += "\xa1\x61x";
  for (const std::string& bytes : {arrays, maps}) {
    EXPECT_FALSE(DecodeGossip(bytes));
    EXPECT_FALSE(DecodeRelayed(bytes).ok());
    EXPECT_FALSE(DecodeRankMessage(bytes));
    EXPECT_FALSE(DecodeSyncRequest(bytes).ok());
    EXPECT_FALSE(DecodeSyncReply(bytes).ok());
  }
}

// Sound messages with bytes changed at random are read or rejected.
TEST(OddMessages, ChangedBytesEndNothing) {
  const std::string gossip = EncodeGossip(
      {.sender = {.id = InstanceId("e"), .peer = Endpoint("10.0.0.1:1")},
       .timestamp_us = 5,
       .confirmed_age_us = 7,
       .shares = {{.backend = InstanceId("b"), .requests = 3}},
       .poison = {.crashes = {{.backend = InstanceId("b"),
                               .candidates = {Suspect(PromptPart(1)),
                                              Suspect(RequestDigest(2))}}}}});
  for (std::uint64_t seed = 1; seed <= 20'000; ++seed) {
    Random random(seed);
    std::string bytes = gossip;
    for (int i = 0; i < 3; ++i) {
      bytes[random.Below(bytes.size())] = static_cast<char>(random.Below(256));
    }
    EntryGossip receiver({.self = {.id = InstanceId("r")}});
    const TimePoint now = TimePoint() + std::chrono::seconds(100);
    if (const auto message = DecodeGossip(bytes)) {
      receiver.OnMessage(*message, now);
    }
  }
}

// Guards against a rank, a size or a count of another agent that is used as an
// index or added up (issue 72, part 3).
TEST(OddMessages, RanksAndCountsOutOfRangeAreRejected) {
  const auto is_readable = [](const RankMessage& message) {
    return DecodeRankMessage(EncodeRankMessage(message)).has_value();
  };
  const auto with_report = [](int rank, int size) {
    return RankMessage{.kind = RankMessageKind::kStatus,
                       .status = {.report = {.rank = rank, .size = size}}};
  };
  EXPECT_TRUE(is_readable({.kind = RankMessageKind::kHeartbeat, .rank = 11}));
  EXPECT_TRUE(is_readable(with_report(11, 12)));
  EXPECT_TRUE(
      is_readable({.kind = RankMessageKind::kChoices, .counts = {5, 0}}));
  for (const int odd : {-1, kMaxRanks, std::numeric_limits<int>::max()}) {
    EXPECT_FALSE(
        is_readable({.kind = RankMessageKind::kHeartbeat, .rank = odd}));
    EXPECT_FALSE(is_readable(with_report(odd, 12)));
    EXPECT_FALSE(is_readable(
        {.kind = RankMessageKind::kCommand, .command = {.rank = odd}}));
  }
  EXPECT_FALSE(is_readable(with_report(0, -1)));
  EXPECT_FALSE(is_readable(with_report(0, kMaxRanks + 1)));
  for (const std::int64_t odd : {std::int64_t{-1}, kMaxExpertCount + 1}) {
    EXPECT_FALSE(
        is_readable({.kind = RankMessageKind::kChoices, .counts = {odd}}));
  }
}

// Times that no clock tells don't overflow.
TEST(OddMessages, TimesOutOfRangeAreBounded) {
  constexpr auto kMax = std::numeric_limits<std::int64_t>::max();
  constexpr auto kMin = std::numeric_limits<std::int64_t>::min();
  for (const std::int64_t value : {kMax, kMin, std::int64_t{-1}}) {
    const auto message =
        DecodeGossip(EncodeGossip({.sender = {.id = InstanceId("e")},
                                   .timestamp_us = value,
                                   .echoed_timestamp_us = value,
                                   .echo_delay_us = value,
                                   .confirmed_age_us = value,
                                   .zones = {{.age_us = value}}}));
    if (!message) continue;
    EntryGossip receiver({.self = {.id = InstanceId("r")}});
    const TimePoint now = TimePoint() + std::chrono::seconds(100);
    const auto update = receiver.OnMessage(*message, now);
    EXPECT_TRUE(!update.confirmed_as_of || *update.confirmed_as_of <= now);
  }
}

}  // namespace
}  // namespace mangohold
