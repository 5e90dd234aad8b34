// Answers of backend servers on the direct way: what a caller is told, and what
// becomes of the connection that brought them.
#include <gtest/gtest.h>

#include <string>

#include "direct_site.h"
#include "odd_statuses.h"

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

// Guards against an answer whose status is none of the protocol's: a caller got
// it as an answer, or nothing until its deadline (MIXED).
TEST(DirectWay, AnAnswerWithoutAStatusIsNone) {
  constexpr int kBadGateway = 502;
  DirectSite site({});
  site.Start();
  int calls = 0;
  const auto call = [&](const std::string& path) {
    return site.Call("POST", path, "id" + std::to_string(++calls), "b").status;
  };
  for (const char* status : kOddStatuses) {
    for (const bool is_signed : {false, true}) {
      site.backend(0).SetManner(Manner::kAnswer);
      EXPECT_TRUE(WaitFor([&] { return call("/once/x") == 200; }))
          << "before " << status;
      site.backend(0).SetStatusText(status, is_signed);
      EXPECT_EQ(call("/once/x"), kBadGateway)
          << status << (is_signed ? " signed" : "");
    }
  }
  EXPECT_TRUE(site.entry(0).is_running());
}

// Guards against a request that may be repeated and waits for its deadline
// beside a backend server whose answers have no status.
TEST(DirectWay, AnotherServerAnswersWhereOneSendsNoStatus) {
  DirectSite site({.backends = 2});
  site.Start();
  int calls = 0;
  const auto call = [&](const std::string& path) {
    return site.Call("POST", path, "id" + std::to_string(++calls)).status;
  };
  for (const char* status : kOddStatuses) {
    site.backend(0).SetStatusText(status, /*is_signed=*/true);
    site.backend(1).SetManner(Manner::kAnswer);
    EXPECT_EQ(call("/again/x"), 200) << status;
    EXPECT_EQ(call("/again/x"), 200) << status;
    site.backend(1).SetManner(Manner::kStream);
    EXPECT_EQ(call("/stream/x"), 200) << status;
    EXPECT_EQ(call("/stream/x"), 200) << status;
    site.backend(0).SetManner(Manner::kAnswer);
  }
}

// Guards against a stream that is broken off and goes on with the bytes of a
// server whose answer has no status.
TEST(DirectWay, AStreamDoesNotGoOnWithAnAnswerWithoutAStatus) {
  for (const char* status : {"000", "0200", "600", "999"}) {
    DirectSite site({.backends = 2});
    site.Start();
    for (const int first : {0, 1}) {
      site.backend(first).SetManner(Manner::kBreakStream);
      site.backend(1 - first).SetStatusText(status, /*is_signed=*/true);
      const HttpResponse response =
          site.Call("POST", "/stream/x", "id" + std::to_string(first), "b");
      EXPECT_TRUE(
          response.status == 502 ||
          (response.status == 200 && response.result != HttpResult::kComplete))
          << status << ' ' << response.status;
      EXPECT_EQ(response.body.find("body"), std::string::npos) << status;
    }
  }
}

// Guards against a request that may be repeated and gets the bytes of its only
// backend server when it gives up.
TEST(DirectWay, AnAnswerWithoutAStatusIsNoneWhereNoOtherServerIs) {
  for (const std::string path : {"/again/x", "/stream/x"}) {
    DirectSite site({});
    site.Start();
    site.backend(0).SetStatusText("600", /*is_signed=*/true);
    EXPECT_EQ(site.Call("POST", path, "id", "b").status, 502) << path;
  }
}

}  // namespace
}  // namespace mangohold::testing
