// An entry of the direct way under rude callers and faulty backend servers.
#include <gtest/gtest.h>
#include <signal.h>

#include <string>
#include <string_view>
#include <thread>

#include "direct_site.h"
#include "raw_caller.h"

namespace mangohold::testing {
namespace {

using std::chrono::seconds;

std::string_view SignatureOf(const HttpResponse& response) {
  return FieldValue(response.fields, "X-Mangohold-Response-Signature");
}

TEST(DirectWay, PassesARequestOnAndItsAnswerBack) {
  DirectSite site({});
  site.Start();
  const HttpResponse response =
      site.Call("POST", "/once/a?b=c", "id1", "payload");
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(response.body, "id1:payload");
  EXPECT_EQ(SignatureOf(response), "s.id1");
  const HttpRequest seen = site.backend(0).last_request();
  EXPECT_EQ(seen.path + "?" + seen.query, "/once/a?b=c");
  EXPECT_EQ(seen.Field("X-Mangohold-Expect-Instance"), "i-0");
  EXPECT_EQ(seen.Field("X-Mangohold-Tenant-Id"), "sales");
  EXPECT_EQ(seen.Field("Authorization"), "");
  const int left =
      std::stoi(std::string(seen.Field("X-Mangohold-Deadline-Ms")));
  EXPECT_GT(left, 0);
  EXPECT_LE(left, 3'000);
}

TEST(DirectWay, RefusesUnknownKeysAndRoutes) {
  DirectSite site({});
  site.Start();
  EXPECT_EQ(site.Call("GET", "/again/x", "id", "", "wrong").status, 401);
  EXPECT_EQ(site.Call("GET", "/again/x", "id", "", "").status, 401);
  EXPECT_EQ(site.Call("GET", "/nowhere/x", "id").status, 404);
  EXPECT_EQ(site.backend(0).runs_in_all(), 0);
}

TEST(DirectWay, WorkThatMayHaveRunIsNotSentAgain) {
  DirectSite site({.backends = 2});
  site.Start();
  for (int i = 0; i < 2; ++i) site.backend(i).SetManner(Manner::kDropLate);
  EXPECT_EQ(site.Call("POST", "/once/x", "id", "b").status, 502);
  EXPECT_EQ(site.backend(0).runs_in_all() + site.backend(1).runs_in_all(), 1);
}

TEST(DirectWay, IdempotentWorkIsSentAgainElsewhere) {
  DirectSite site({.backends = 2});
  site.Start();
  for (const Manner fault :
       {Manner::kDropLate, Manner::kError, Manner::kCutAnswer, Manner::kReject,
        Manner::kMisdirected}) {
    site.backend(0).SetManner(fault);
    for (int i = 0; i < 4; ++i) {
      const HttpResponse response = site.Call("GET", "/again/x", "id");
      EXPECT_EQ(response.status, 200) << static_cast<int>(fault);
      EXPECT_EQ(response.body, "id:");
    }
  }
}

TEST(DirectWay, ARejectionIsTruthfullySaidNotToHaveRun) {
  DirectSite site({});
  site.Start();
  site.backend(0).SetManner(Manner::kReject);
  const HttpResponse response = site.Call("POST", "/once/x", "id", "b");
  EXPECT_EQ(response.status, 503);
  EXPECT_NE(FieldValue(response.fields, "Retry-After"), "");
  EXPECT_EQ(SignatureOf(response), "");
  EXPECT_EQ(site.backend(0).runs_in_all(), 0);
}

TEST(DirectWay, ACutAnswerIsNeverPassedOnAsWhole) {
  DirectSite site({});
  site.Start();
  site.backend(0).SetManner(Manner::kCutAnswer);
  const HttpResponse response = site.Call("POST", "/once/x", "id", "b");
  EXPECT_EQ(response.status, 502);
  EXPECT_EQ(SignatureOf(response), "");
}

TEST(DirectWay, AnAnswerThatEndsWithItsConnectionIsWhole) {
  DirectSite site({});
  site.Start();
  site.backend(0).SetManner(Manner::kEndless);
  EXPECT_EQ(site.Call("POST", "/once/x", "id", "b").body, "id:b");
}

TEST(DirectWay, AnExtraAnswerReachesNobody) {
  DirectSite site({});
  site.Start();
  site.backend(0).SetManner(Manner::kExtraAnswer);
  for (int i = 0; i < 20; ++i) {
    const std::string id = "id" + std::to_string(i);
    const HttpResponse response = site.Call("POST", "/once/x", id, "b");
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.body, id + ":b");
  }
}

// Guards against a second copy of a refusal that is taken for the answer to
// the same request's next attempt: the request runs, while its caller hears
// that it hasn't (REFUSED), or runs elsewhere as well (TWICE).
TEST(DirectWay, ARefusalWrittenOnceMoreIsNoAnswerToTheNextAttempt) {
  constexpr int kRequests = 40;
  DirectSite site({.backends = 2});
  site.Start();
  for (int i = 0; i < 2; ++i) site.backend(i).SetManner(Manner::kRepeatRefusal);
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = "once" + std::to_string(i);
    const int status = site.Call("POST", "/once/x", id, "b").status;
    const auto first = site.backend(0).runs();
    const auto second = site.backend(1).runs();
    const int runs = (first.contains(id) ? first.at(id) : 0) +
                     (second.contains(id) ? second.at(id) : 0);
    EXPECT_LE(runs, 1) << id;
    EXPECT_TRUE(status != 503 || runs == 0) << id;
  }
  for (int i = 0; i < kRequests / 8; ++i) {
    const std::string id = "again" + std::to_string(i);
    EXPECT_EQ(site.Call("GET", "/again/x", id).status, 200) << id;
  }
}

TEST(DirectWay, ACallerThatLeavesCancelsItsWork) {
  DirectSite site({});
  site.Start();
  site.backend(0).SetManner(Manner::kHang);
  RawCaller caller(site.CallerAddress(0));
  caller.Send(
      "GET /again/x HTTP/1.1\r\nHost: h.example\r\n"
      "Authorization: Bearer k\r\nX-Mangohold-Request-Id: gone\r\n\r\n");
  ASSERT_TRUE(WaitFor([&] { return site.backend(0).runs_in_all() == 1; }));
  caller.Close();
  EXPECT_TRUE(WaitFor([&] { return site.backend(0).cancelled() == 1; }));
}

TEST(DirectWay, MalformedAndOversizedRequestsAreRefused) {
  DirectSite site({});
  site.Start();
  const auto answer = [&](const std::string& text) {
    RawCaller caller(site.CallerAddress(0));
    caller.Send(text);
    return caller.ReadUntil("\r\n\r\n").substr(0, 12);
  };
  EXPECT_EQ(answer("POST /once/ HTTP/1.1\r\nContent-Length: 3\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
            "HTTP/1.1 400");
  EXPECT_EQ(
      answer("GET / HTTP/1.1\r\nX: " + std::string(4'000, 'a') + "\r\n\r\n"),
      "HTTP/1.1 431");
  EXPECT_EQ(answer("POST /once/ HTTP/1.1\r\nContent-Length: 9000\r\n\r\n" +
                   std::string(9'000, 'a')),
            "HTTP/1.1 413");
  EXPECT_EQ(answer("GET /slow HTTP/1.1\r\nX: "), "HTTP/1.1 408");
  EXPECT_EQ(site.backend(0).runs_in_all(), 0);
}

TEST(DirectWay, ADrainingBackendServerGetsNothingNew) {
  DirectSite site({.backends = 2});
  site.Start();
  site.ListBackend(0, "draining");
  ASSERT_TRUE(WaitFor(
      [&] { return site.Log(0).find("\"draining\":1") != std::string::npos; }));
  const int before = site.backend(0).runs_in_all();
  for (int i = 0; i < 20; ++i) site.Call("GET", "/again/x", "id");
  EXPECT_EQ(site.backend(0).runs_in_all(), before);
}

// The store still lists it as ready.
TEST(DirectWay, ABackendServerWhoseAnswersSayThatItLeavesGetsNothingNew) {
  DirectSite site({.backends = 2});
  site.Start();
  site.backend(0).SetManner(Manner::kLeave);
  ASSERT_TRUE(WaitFor([&] {
    site.Call("GET", "/again/x", "a-" + std::to_string(std::rand()));
    return site.backend(0).runs_in_all() > 0;
  }));
  const int runs = site.backend(0).runs_in_all();
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(site.Call("GET", "/again/x", "b-" + std::to_string(i)).status,
              200);
  }
  EXPECT_EQ(site.backend(0).runs_in_all(), runs);
}

// Only one backend server is there, and asks for quiet.
TEST(DirectWay, ABackendServerThatAsksForQuietIsLeftAlone) {
  DirectSite site({.backends = 1});
  site.Start();
  site.backend(0).SetManner(Manner::kQuiet);
  const auto first = site.Call("GET", "/again/x", "first");
  EXPECT_EQ(first.status, 503);
  EXPECT_FALSE(FieldValue(first.fields, "Retry-After").empty());
  site.backend(0).SetManner(Manner::kAnswer);
  const auto refused = site.Call("GET", "/again/x", "second");
  EXPECT_EQ(refused.status, 503);
  EXPECT_EQ(site.backend(0).runs_in_all(), 0);
}

TEST(DirectWay, AGracefulEndFinishesWhatIsInProgress) {
  DirectSite site({.entries = 2});
  site.Start();
  ASSERT_TRUE(WaitFor([&] {
    return site.Directory(1).find("8080\",\"") != std::string::npos;
  }));
  site.backend(0).SetManner(Manner::kStream);
  HttpResponse response;
  std::thread caller(
      [&] { response = site.Call("POST", "/stream/x", "id", "b"); });
  ASSERT_TRUE(WaitFor([&] { return site.backend(0).runs_in_all() == 1; }));
  site.entry(0).Signal(SIGTERM);
  EXPECT_TRUE(WaitFor([&] { return !site.IsReady(0); }));
  caller.join();
  EXPECT_EQ(response.body, AllEvents());
  EXPECT_EQ(site.entry(0).WaitForExit(seconds(10)), 0);
  // The other one no longer names it.
  EXPECT_EQ(site.Directory(1).find("8080\",\""), std::string::npos);
}

TEST(DirectWay, AHangUpReadsTheSettingsAgain) {
  DirectSite site({});
  site.Start();
  site.entry(0).Signal(SIGHUP);
  EXPECT_TRUE(WaitFor(
      [&] { return site.Log(0).find("\"reloaded\"") != std::string::npos; }));
  EXPECT_EQ(site.Call("GET", "/again/x", "id").status, 200);
}

TEST(DirectWay, RefusalsAndRetriesAreCounted) {
  DirectSite site({.backends = 2});
  site.Start();
  site.Call("GET", "/nowhere/x", "id");
  site.backend(0).SetManner(Manner::kError);
  // Any of them may go to the other backend server.
  for (int i = 0; i < 100 && site.backend(0).runs_in_all() == 0; ++i) {
    site.Call("GET", "/again/x", "id");
  }
  ASSERT_GT(site.backend(0).runs_in_all(), 0);
  const std::string metrics = site.Metrics(0);
  EXPECT_NE(metrics.find("refusals_total{reason=\"unknown_route\"} 1"),
            std::string::npos);
  EXPECT_NE(metrics.find("retries_total{reason=\"backend_failed\"}"),
            std::string::npos);
}

}  // namespace
}  // namespace mangohold::testing
