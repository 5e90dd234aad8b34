// Answers of backend servers on the direct way: what a caller is told, and what
// becomes of the connection that brought them.
#include <gtest/gtest.h>

#include <string>

#include "direct_site.h"

namespace mangohold::testing {
namespace {

// Guards against a request that runs and is never answered, since its kept
// connection is not read: the answer before it had ended in the same read that
// made its caller congested.
TEST(DirectWay, TheRequestBehindALargeAnswerOnAKeptConnectionIsAnswered) {
  DirectSite site({});
  site.Start();
  site.backend(0).SetManner(Manner::kSlightlyTooLarge);
  EXPECT_EQ(site.Call("POST", "/once/x", "first", "b").status, 200);
  EXPECT_EQ(site.Call("POST", "/once/x", "second", "b").status, 200);
}

// One of two backend servers sends what is no answer, without end, as `manner`
// says: requests that may be repeated are served by the other one.
void ExpectServiceBesideNoAnswers(Manner manner) {
  constexpr int kCalls = 8;
  DirectSite site({.backends = 2});
  site.Start();
  site.backend(0).SetManner(manner);
  for (int i = 0; i < kCalls; ++i) {
    EXPECT_EQ(site.Call("POST", "/again/x", "id" + std::to_string(i)).status,
              200);
  }
  EXPECT_GT(site.backend(0).runs_in_all(), 0);
}

// Guards against a request that is held until its deadline by a backend server
// which sends interim answers without end.
TEST(DirectWay, InterimAnswersWithoutEndAreAFailure) {
  ExpectServiceBesideNoAnswers(Manner::kEndlessInterim);
}

// The same with answers to another request.
TEST(DirectWay, ForeignAnswersWithoutEndAreAFailure) {
  ExpectServiceBesideNoAnswers(Manner::kEndlessForeign);
}

}  // namespace
}  // namespace mangohold::testing
