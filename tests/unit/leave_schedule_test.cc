// The times of a graceful leave, for all grace periods.
#include <gtest/gtest.h>

#include "net/graceful_stop.h"

namespace mangohold {
namespace {

using std::chrono::milliseconds;

constexpr Millis kMaxTake{2'800};

// An answer may be missing only if its backend server was at work in the last
// sixth of the grace period. Guards against a short grace that ends before.
TEST(LeaveSchedule, RequestsInProgressHaveFiveSixthsOfTheGrace) {
  for (Millis grace{200}; grace <= Millis(60'000); grace += Millis(200)) {
    const LeaveSchedule schedule = MakeLeaveSchedule(grace, kMaxTake);
    EXPECT_GE(schedule.answer_until, grace * 5 / 6) << grace.count();
    EXPECT_LT(schedule.answer_until, schedule.end);
    EXPECT_LT(schedule.end, grace);
  }
}

// Requests are taken before waiting ends, and that leaves time to serve them.
TEST(LeaveSchedule, TakesNothingThatCannotBeServed) {
  for (Millis grace{200}; grace <= Millis(60'000); grace += Millis(200)) {
    const LeaveSchedule schedule = MakeLeaveSchedule(grace, kMaxTake);
    EXPECT_LE(schedule.take_until, kMaxTake);
    EXPECT_LT(schedule.take_until, schedule.wait_until) << grace.count();
    EXPECT_LT(schedule.wait_until, schedule.answer_until);
  }
}

}  // namespace
}  // namespace mangohold
