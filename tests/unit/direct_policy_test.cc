#include "routing/direct_policy.h"

#include <gtest/gtest.h>

#include "core/random.h"

namespace mangohold {
namespace {

using Next = DirectPolicy::Next;

TEST(DirectPolicy, WorkThatMayHaveRunIsNeverSentAgain) {
  DirectPolicy policy({.is_repeatable = false, .max_attempts = 3});
  policy.OnSent();
  EXPECT_EQ(policy.OnFailed(), Next::kGiveUp);
  EXPECT_EQ(policy.GiveUpOutcome(), Outcome::kUnknown);
}

TEST(DirectPolicy, ARefusedAttemptMayBeMadeElsewhere) {
  DirectPolicy policy({.is_repeatable = false, .max_attempts = 1});
  policy.OnSent();
  EXPECT_EQ(policy.OnNotRun(), Next::kSendAgain);
  EXPECT_EQ(policy.GiveUpOutcome(), Outcome::kNotRun);
}

TEST(DirectPolicy, RefusalsAreBounded) {
  DirectPolicy policy({.max_attempts = 9, .max_rejections = 2});
  for (int i = 0; i < 2; ++i) {
    policy.OnSent();
    EXPECT_EQ(policy.OnNotRun(), Next::kSendAgain);
  }
  policy.OnSent();
  EXPECT_EQ(policy.OnNotRun(), Next::kGiveUp);
}

TEST(DirectPolicy, RepeatableWorkRunsOnNoMoreThanTheRoutesAttempts) {
  DirectPolicy policy({.is_repeatable = true, .max_attempts = 2});
  policy.OnSent();
  EXPECT_EQ(policy.OnFailed(), Next::kSendAgain);
  policy.OnSent();
  EXPECT_EQ(policy.OnFailed(), Next::kGiveUp);
}

TEST(DirectPolicy, AnAttemptInProgressMayRun) {
  DirectPolicy policy({.is_repeatable = false});
  EXPECT_EQ(policy.GiveUpOutcome(), Outcome::kNotRun);
  policy.OnSent();
  EXPECT_EQ(policy.GiveUpOutcome(), Outcome::kUnknown);
}

// Random courses against a backend that counts what it runs: work that isn't
// repeatable runs once at most, and "not run" is said only of what didn't.
TEST(DirectPolicy, NeverLiesOnAnyCourse) {
  for (std::uint64_t seed = 1; seed <= 2'000; ++seed) {
    Random random(seed);
    const bool is_repeatable = random.Below(2) == 0;
    const int max_attempts = 1 + static_cast<int>(random.Below(3));
    DirectPolicy policy(
        {.is_repeatable = is_repeatable, .max_attempts = max_attempts});
    int runs = 0;
    bool is_cut = false;
    for (Next next = Next::kSendAgain; next == Next::kSendAgain;) {
      policy.OnSent();
      const auto fate = random.Below(4);
      if (fate == 0) {
        next = policy.OnNotRun();
      } else if (fate == 1) {
        ++runs;
        next = policy.OnFailed();
      } else if (fate == 2) {
        next = policy.OnFailed();  // lost on the way
      } else {
        runs += static_cast<int>(random.Below(2));
        is_cut = true;  // the deadline passes with the attempt in progress
        break;
      }
    }
    EXPECT_LE(runs, is_repeatable ? max_attempts : 1) << "seed " << seed;
    if (policy.GiveUpOutcome() == Outcome::kNotRun) {
      EXPECT_EQ(runs, 0) << "seed " << seed;
      EXPECT_FALSE(is_cut) << "seed " << seed;
    }
  }
}

}  // namespace
}  // namespace mangohold
