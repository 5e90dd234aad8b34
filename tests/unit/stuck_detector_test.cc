#include "routing/stuck_detector.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "core/random.h"

namespace mangohold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const InstanceId kStuck("stuck");
const InstanceId kOther("other");

class StuckDetectorTest : public testing::Test {
 protected:
  // Starts responses at another backend, one per 100 ms, each 200 ms after its
  // request was sent.
  void StartResponsesElsewhere(int responses) {
    for (int i = 0; i < responses; ++i) {
      now_ += milliseconds(100);
      detector_.OnResponseStarted(kOther, now_ - milliseconds(200), now_);
    }
  }
  bool IsStuck(TimePoint sent) const {
    return detector_.IsStuck({.backend = kStuck, .sent = sent}, now_);
  }

  StuckDetector detector_;
  TimePoint now_ = TimePoint() + seconds(100);
};

// The machine of a backend freezes before the response to a request there has
// started.
TEST_F(StuckDetectorTest, RequestIsStuckWhenLaterOnesStartElsewhere) {
  StartResponsesElsewhere(5);
  const TimePoint sent = now_;
  StartResponsesElsewhere(9);
  EXPECT_FALSE(IsStuck(sent)) << "not silent for long enough";
  StartResponsesElsewhere(2);
  EXPECT_TRUE(IsStuck(sent));
}

TEST_F(StuckDetectorTest, SilentGroupIsNotStuck) {
  StartResponsesElsewhere(5);
  const TimePoint sent = now_;
  now_ += seconds(3);
  EXPECT_FALSE(IsStuck(sent));
}

TEST_F(StuckDetectorTest, LongQueueIsNotStuck) {
  StartResponsesElsewhere(5);
  const TimePoint sent = now_;
  for (int i = 0; i < 4; ++i) {
    StartResponsesElsewhere(8);
    EXPECT_FALSE(IsStuck(sent));
    // It starts the response to an earlier request.
    detector_.OnResponseStarted(kStuck, sent - seconds(1), now_);
  }
}

TEST_F(StuckDetectorTest, SlowGroupGetsMoreTime) {
  for (int i = 0; i < 40; ++i) {
    now_ += milliseconds(100);
    detector_.OnResponseStarted(kOther, now_ - milliseconds(900), now_);
  }
  const TimePoint sent = now_;
  for (int i = 0; i < 30; ++i) {
    now_ += milliseconds(100);
    detector_.OnResponseStarted(kOther, now_ - milliseconds(900), now_);
  }
  EXPECT_FALSE(IsStuck(sent)) << "3 s at a mean wait of 0.9 s";
}

TEST_F(StuckDetectorTest, OtherRequestsOfAbandonedBackendAreStuckToo) {
  StartResponsesElsewhere(5);
  const TimePoint sent = now_;
  StartResponsesElsewhere(11);
  detector_.OnAbandoned(kStuck, now_);
  EXPECT_TRUE(detector_.IsSuspect(kStuck));
  EXPECT_TRUE(IsStuck(sent + milliseconds(50)));
  // The machine has recovered.
  detector_.OnEvent(kStuck, now_);
  EXPECT_FALSE(detector_.IsSuspect(kStuck));
  EXPECT_FALSE(IsStuck(sent - milliseconds(50)));
}

// Simulates healthy ranks with response times of 0.1 to 1.1 s; in every second
// run one rank freezes for 3 s. Checks over 400 seeds that every request that
// is stuck is abandoned, and fewer than 1 in 1,000 of the others wrongly.
TEST(StuckDetector, DistinguishesStuckFromSlow) {
  constexpr int kRanks = 8;
  int abandoned_healthy = 0;
  int healthy = 0;
  int abandoned_stuck = 0;
  int stuck = 0;
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    Random random(seed);
    StuckDetector detector;
    const bool one_freezes = seed % 2 == 0;
    struct Request {
      int rank;
      TimePoint sent;
      TimePoint starts;
      bool has_started = false;
      bool is_abandoned = false;
      bool was_abandoned_rightly = false;
    };
    std::vector<Request> requests;
    const TimePoint start = TimePoint() + seconds(100);
    const TimePoint freeze = start + milliseconds(2'000);
    const TimePoint recovery = freeze + milliseconds(3'000);
    for (int step = 0; step < 600; ++step) {
      const TimePoint now = start + milliseconds(10) * step;
      if (random.Below(10) == 0) {
        const int rank = static_cast<int>(random.Below(kRanks));
        // Most wait for 100 to 400 ms, a few for up to 1.1 s.
        auto wait = milliseconds(100 + random.Below(300));
        if (random.Below(20) == 0) wait += milliseconds(random.Below(700));
        requests.push_back({.rank = rank, .sent = now, .starts = now + wait});
      }
      for (Request& request : requests) {
        const InstanceId id("r" + std::to_string(request.rank));
        const bool is_frozen =
            one_freezes && request.rank == 0 && now >= freeze && now < recovery;
        if (!request.has_started && request.starts <= now && !is_frozen) {
          request.has_started = true;
          detector.OnResponseStarted(id, request.sent, now);
        }
        if (request.has_started || request.is_abandoned) continue;
        const bool is_stuck =
            detector.IsStuck({.backend = id, .sent = request.sent}, now);
        if (is_stuck) {
          request.is_abandoned = true;
          request.was_abandoned_rightly = is_frozen;
          detector.OnAbandoned(id, now);
        }
      }
    }
    for (const Request& request : requests) {
      // Requests sent at least 2 s before the recovery can be abandoned in
      // time.
      const bool was_stuck = one_freezes && request.rank == 0 &&
                             request.starts > freeze &&
                             request.sent < recovery - seconds(2);
      if (was_stuck) {
        ++stuck;
        abandoned_stuck += request.is_abandoned ? 1 : 0;
      } else {
        ++healthy;
        abandoned_healthy +=
            request.is_abandoned && !request.was_abandoned_rightly ? 1 : 0;
      }
    }
  }
  EXPECT_GT(stuck, 300);
  EXPECT_EQ(abandoned_stuck, stuck) << "each is abandoned in time";
  EXPECT_LT(abandoned_healthy * 1'000, healthy) << "of " << healthy;
}

}  // namespace
}  // namespace mangohold
