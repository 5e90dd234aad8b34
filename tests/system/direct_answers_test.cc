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

}  // namespace
}  // namespace mangohold::testing
