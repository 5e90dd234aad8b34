#include "caller/answer_relay.h"

#include <gtest/gtest.h>

#include <array>
#include <asio.hpp>
#include <memory>
#include <string>

namespace mangohold {
namespace {

using Way = AnswerRelay::Way;

constexpr std::array kPromises = {408, 421, 429, 503};

// Guards against "not run" for work that has run, whichever way its answer
// would take (REFUSED).
TEST(AnswerRelay, AStatusThatPromisesIsWithheldWithoutTheServersOwnWord) {
  for (const int status : kPromises) {
    EXPECT_EQ(AnswerRelay::WayOf(status, {}, /*is_not_run=*/false, {}),
              Way::kWithheld)
        << status;
    EXPECT_EQ(AnswerRelay::WayOf(status, {}, /*is_not_run=*/false,
                                 {.is_stream = true}),
              Way::kWithheld)
        << status;
  }
}

TEST(AnswerRelay, ARefusalIsNotPassedOnSinceOthersMayBeAsked) {
  EXPECT_EQ(
      AnswerRelay::WayOf(503, {}, /*is_not_run=*/true, {.is_repeatable = true}),
      Way::kWithheld);
}

TEST(AnswerRelay, OtherAnswersGoOnAsTheyAre) {
  EXPECT_EQ(AnswerRelay::WayOf(200, {}, /*is_not_run=*/false, {}), Way::kWhole);
  EXPECT_EQ(AnswerRelay::WayOf(500, {}, /*is_not_run=*/false, {}), Way::kWhole);
  EXPECT_EQ(AnswerRelay::WayOf(408, {}, /*is_not_run=*/false,
                               {.is_repeatable = true}),
            Way::kWhole);
  EXPECT_EQ(AnswerRelay::WayOf(200, {}, /*is_not_run=*/false,
                               {.is_repeatable = true, .is_stream = true}),
            Way::kEvents);
}

// Guards against an entry that ends by itself: the room for a failure's body is
// made by closing the connection of the caller that waits for it, which ends
// the request while its answer is being taken.
TEST(AnswerRelay, AnEvictedCallersAnswerIsTakenNoFurther) {
  constexpr std::size_t kRoom = 1'000;
  asio::io_context io;
  MemoryBudget budget({.limit = kRoom, .small = 0, .patience = Duration(0)});
  Counters counters;
  const CallerConnection::Host host{.memory = budget, .counters = counters};
  const auto caller =
      std::make_shared<CallerConnection>(asio::ip::tcp::socket(io), host);
  MemoryBudget::Holder answer(budget, nullptr, BootNow());
  AnswerRelay relay(caller, {}, answer);
  relay.OnHead(500, {}, {});
  MemoryBudget::Holder callers(
      budget, [&](Eviction) { caller->Close(ConnectionEnd::kEvicted); },
      BootNow());
  callers.Set(kRoom);
  EXPECT_EQ(relay.OnBody(std::string(2 * kRoom, 'b'), BootNow()),
            AnswerRelay::Result::kKept);
  EXPECT_TRUE(caller->is_closed());
  EXPECT_EQ(answer.bytes(), 0U);
}

}  // namespace
}  // namespace mangohold
