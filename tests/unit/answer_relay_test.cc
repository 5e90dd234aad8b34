#include "caller/answer_relay.h"

#include <gtest/gtest.h>

#include <array>

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

}  // namespace
}  // namespace mangohold
