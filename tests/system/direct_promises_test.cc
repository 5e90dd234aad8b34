// What callers of the direct way are promised about work that may run once.
#include <gtest/gtest.h>

#include <string>

#include "direct_site.h"

namespace mangohold::testing {
namespace {

// Of an answer's body, to be gathered by an entry.
constexpr std::size_t kTooLarge = 2U << 20U;

// Guards against a status that promises "not run" for work that has run, where
// the answer is too large to be gathered (REFUSED).
TEST(DirectWay, ALargeAnswerPromisesNothingThatItsBackendServerDoesntSay) {
  DirectSite site({});
  site.Start();
  for (const int status : {408, 429}) {
    site.backend(0).SetStatus(status, kTooLarge);
    EXPECT_EQ(site.Call("POST", "/once/x", "id", "b").status, 502) << status;
  }
  EXPECT_EQ(site.backend(0).runs_in_all(), 2);
  EXPECT_NE(site.Metrics(0).find("\nmangohold_statuses_withheld_total 2"),
            std::string::npos);
}

// The same answers are true for requests that may be repeated.
TEST(DirectWay, ALargeAnswerOfAnyStatusGoesOnWhereTheRequestMayBeRepeated) {
  DirectSite site({});
  site.Start();
  site.backend(0).SetStatus(408, kTooLarge);
  const HttpResponse response = site.Call("POST", "/again/x", "id", "b");
  EXPECT_EQ(response.status, 408);
  EXPECT_EQ(response.body.size(), kTooLarge);
}

}  // namespace
}  // namespace mangohold::testing
