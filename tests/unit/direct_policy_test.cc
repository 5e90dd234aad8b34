#include "routing/direct_policy.h"

#include <gtest/gtest.h>

#include "core/random.h"

namespace mangohold {
namespace {

using Next = DirectPolicy::Next;

TEST(DirectPolicy, FailedNonRepeatableRequestIsNotResent) {
  DirectPolicy policy({.is_repeatable = false, .max_attempts = 3});
  policy.OnSent();
  EXPECT_EQ(policy.OnFailed(), Next::kGiveUp);
  EXPECT_EQ(policy.GiveUpOutcome(), Outcome::kUnknown);
}

TEST(DirectPolicy, RejectedRequestIsSentAgain) {
  DirectPolicy policy({.is_repeatable = false, .max_attempts = 1});
  policy.OnSent();
  EXPECT_EQ(policy.OnNotRun(), Next::kSendAgain);
  EXPECT_EQ(policy.GiveUpOutcome(), Outcome::kNotRun);
}

TEST(DirectPolicy, RejectionsAreLimited) {
  DirectPolicy policy({.max_attempts = 9, .max_rejections = 2});
  for (int i = 0; i < 2; ++i) {
    policy.OnSent();
    EXPECT_EQ(policy.OnNotRun(), Next::kSendAgain);
  }
  policy.OnSent();
  EXPECT_EQ(policy.OnNotRun(), Next::kGiveUp);
}

TEST(DirectPolicy, RepeatableRequestIsLimitedByMaxAttempts) {
  DirectPolicy policy({.is_repeatable = true, .max_attempts = 2});
  policy.OnSent();
  EXPECT_EQ(policy.OnFailed(), Next::kSendAgain);
  policy.OnSent();
  EXPECT_EQ(policy.OnFailed(), Next::kGiveUp);
}

TEST(DirectPolicy, AttemptInFlightMayHaveRun) {
  DirectPolicy policy({.is_repeatable = false});
  EXPECT_EQ(policy.GiveUpOutcome(), Outcome::kNotRun);
  policy.OnSent();
  EXPECT_EQ(policy.GiveUpOutcome(), Outcome::kUnknown);
}

// Runs random event sequences and counts how often the request ran. Returns
// true if a request that isn't repeatable ran at most once, a repeatable one at
// most `max_attempts` times, and "not run" was reported only if the request has
// not run and no attempt is in flight.
template <typename Policy>
bool UpholdsGuarantees() {
  for (std::uint64_t seed = 1; seed <= 2'000; ++seed) {
    Random random(seed);
    const bool is_repeatable = random.Below(2) == 0;
    const int max_attempts = 1 + static_cast<int>(random.Below(3));
    Policy policy(DirectPolicy::Options{.is_repeatable = is_repeatable,
                                        .max_attempts = max_attempts});
    int runs = 0;
    bool is_interrupted = false;
    Next next = Next::kSendAgain;
    for (int send = 0; send < 50 && next == Next::kSendAgain; ++send) {
      policy.OnSent();
      const auto event = random.Below(4);
      if (event == 0) {
        next = policy.OnNotRun();
      } else if (event == 1) {
        ++runs;
        next = policy.OnFailed();
      } else if (event == 2) {
        next = policy.OnFailed();  // the request never arrived
      } else {
        runs += static_cast<int>(random.Below(2));
        is_interrupted = true;  // deadline with the attempt in flight
        break;
      }
    }
    if (runs > (is_repeatable ? max_attempts : 1)) return false;
    const bool says_not_run = policy.GiveUpOutcome() == Outcome::kNotRun;
    if (says_not_run && (runs > 0 || is_interrupted)) return false;
  }
  return true;
}

TEST(DirectPolicy, UpholdsGuaranteesOnRandomSequences) {
  EXPECT_TRUE(UpholdsGuarantees<DirectPolicy>());
}

// Faulty policies, which the check above must reject.
struct ResendsAfterFailure : DirectPolicy {
  using DirectPolicy::DirectPolicy;
  Next OnFailed() {
    DirectPolicy::OnFailed();
    return Next::kSendAgain;
  }
};

struct IgnoresAttemptInFlight : DirectPolicy {
  using DirectPolicy::DirectPolicy;
  Outcome GiveUpOutcome() const {
    return runs() > 0 ? Outcome::kUnknown : Outcome::kNotRun;
  }
};

struct TreatsFailureAsNotRun : DirectPolicy {
  using DirectPolicy::DirectPolicy;
  Next OnFailed() { return OnNotRun(); }
};

TEST(DirectPolicy, MutantsAreDetected) {
  EXPECT_FALSE(UpholdsGuarantees<ResendsAfterFailure>());
  EXPECT_FALSE(UpholdsGuarantees<IgnoresAttemptInFlight>());
  EXPECT_FALSE(UpholdsGuarantees<TreatsFailureAsNotRun>());
}

}  // namespace
}  // namespace mangohold
