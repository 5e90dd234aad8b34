#include "net/body_guard.h"

#include <gtest/gtest.h>

#include <string>

namespace mangohold {
namespace {

constexpr std::size_t kMostBody = 1U << 20U;
const TimePoint kNow{std::chrono::seconds(100)};

std::string Declared(std::size_t length) {
  return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
         std::to_string(length) + "\r\n\r\n";
}

constexpr std::string_view kChunked =
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

class BodyGuardTest : public ::testing::Test {
 protected:
  MemoryBudget budget_{{.limit = 1U << 20U, .reserve = 1U << 17U}};
  int evicted_ = 0;
  BodyGuard guard_{budget_, kMostBody, [this](Eviction) {
                     ++evicted_;
                     guard_.Drop();
                   }};
};

// Guards against a declared body over the limit that is read before it is
// refused.
TEST_F(BodyGuardTest, RefusesADeclaredLengthWithItsHead) {
  EXPECT_EQ(guard_.OnBytes(Declared(kMostBody + 1), kNow),
            Reason::kBodyTooLarge);
  EXPECT_EQ(budget_.bytes(), 0);
}

// Guards against chunks that together exceed the limit.
TEST_F(BodyGuardTest, RefusesChunksBeyondTheLimit) {
  MemoryBudget unlimited({});
  BodyGuard guard(unlimited, 100, nullptr);
  ASSERT_EQ(guard.OnBytes(kChunked, kNow), Reason::kNone);
  const std::string chunk = "40\r\n" + std::string(64, 'x') + "\r\n";
  EXPECT_EQ(guard.OnBytes(chunk, kNow), Reason::kNone);
  EXPECT_EQ(guard.OnBytes(chunk, kNow), Reason::kBodyTooLarge);
  EXPECT_EQ(unlimited.bytes(), 0);
}

// Guards against bodies that each are legal and together fill the memory.
TEST_F(BodyGuardTest, RefusesABodyWithoutRoomAndFreesIt) {
  ASSERT_EQ(guard_.OnBytes(Declared(kMostBody), kNow), Reason::kNone);
  EXPECT_EQ(guard_.OnBytes(std::string(1U << 18U, 'x'), kNow), Reason::kNone);
  EXPECT_GE(budget_.bytes(), 1U << 19U);
  EXPECT_EQ(guard_.OnBytes(std::string(1U << 18U, 'x'), kNow),
            Reason::kMemoryLimit);
  EXPECT_EQ(budget_.bytes(), 0);
}

// Guards against a body that has stopped and keeps others out.
TEST_F(BodyGuardTest, GivesWayToOthersWhenItStalls) {
  ASSERT_EQ(guard_.OnBytes(Declared(kMostBody), kNow), Reason::kNone);
  ASSERT_EQ(guard_.OnBytes(std::string(400'000, 'x'), kNow), Reason::kNone);
  BodyGuard other(budget_, kMostBody, nullptr);
  const TimePoint later = kNow + std::chrono::seconds(10);
  ASSERT_EQ(other.OnBytes(Declared(kMostBody), later), Reason::kNone);
  EXPECT_EQ(other.OnBytes(std::string(400'000, 'x'), later), Reason::kNone);
  EXPECT_EQ(evicted_, 1);
  EXPECT_EQ(guard_.OnBytes("x", later), Reason::kMemoryLimit);
}

// Guards against a whole request whose memory isn't counted while it is served,
// and against a count that stays after it.
TEST_F(BodyGuardTest, CountsAWholeRequestUntilItIsFreed) {
  ASSERT_EQ(guard_.OnBytes(Declared(1000) + std::string(1000, 'x'), kNow),
            Reason::kNone);
  EXPECT_TRUE(guard_.is_answering());
  BodyGuard::Lease lease = guard_.TakeWhole();
  ASSERT_NE(lease, nullptr);
  EXPECT_GE(budget_.bytes(), 3000);
  EXPECT_TRUE(guard_.is_answering());
  lease.reset();
  EXPECT_EQ(budget_.bytes(), 0);
  EXPECT_FALSE(guard_.is_answering());
}

// Guards against a second request behind one that closes the connection, whose
// bytes nobody counts.
TEST_F(BodyGuardTest, FollowsEachRequestOfAConnection) {
  const std::string first =
      "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
  ASSERT_EQ(guard_.OnBytes(first + Declared(kMostBody), kNow), Reason::kNone);
  EXPECT_EQ(guard_.OnBytes(std::string(1U << 20U, 'x'), kNow),
            Reason::kMemoryLimit);
}

}  // namespace
}  // namespace mangohold
