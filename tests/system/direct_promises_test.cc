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

// Guards against refusals that are taken for the answer to the next attempt,
// attempt after attempt, until the caller is promised that work hasn't run
// which has run several times (REFUSED, TWICE).
TEST(DirectWay, ARefusalWrittenBeforeEachRunPromisesNothing) {
  constexpr int kRequests = 20;
  DirectSite site({.backends = 2});
  site.Start();
  for (int i = 0; i < 2; ++i) site.backend(i).SetManner(Manner::kRefuseAndRun);
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = "once" + std::to_string(i);
    const int status = site.Call("POST", "/once/x", id, "b").status;
    auto runs = site.backend(0).runs();
    for (const auto& [run, count] : site.backend(1).runs()) runs[run] += count;
    EXPECT_LE(runs[id], 1) << id;
    EXPECT_TRUE(status != 503 || runs[id] == 0) << id;
  }
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
