// Leaving, graceful shutdown, and zones that go out and come back.
#include <gtest/gtest.h>
#include <signal.h>

#include <nlohmann/json.hpp>
#include <thread>

#include "harness.h"
#include "raw_caller.h"

namespace mangohold::testing {
namespace {

constexpr char kGenerate[] = "/v1/services/drafts/v1/generate";
const HttpFields kSales = {{"Mangohold-Workspace", "sales"}};

int RunningEngine(const Site& site, int engines) {
  for (int i = 0; i < engines; ++i) {
    if (site.BackendState(i)["running"] == 1) return i;
  }
  return -1;
}

HttpResponse Draft(const Site& site, int entry = 0) {
  return Send(site.CallerAddress(entry), "POST", kGenerate, R"({"tokens": 1})",
              kSales);
}

// A request in progress on the process that leaves is served to its end.
TEST(Leaving, AgentFinishesItsRequestsAndTakesNoMore) {
  Site site({.engines = 2, .engine_options = {"--token-ms", "20"}});
  site.Start();
  RawCaller caller(site.CallerAddress(0));
  caller.Post(kGenerate, R"({"tokens": 50})");
  caller.ReadUntil("\"token\":2");
  const int leaving = RunningEngine(site, 2);
  ASSERT_GE(leaving, 0);
  const int served_before = site.BackendState(leaving)["served"];
  site.agent(leaving).Signal(SIGTERM);
  for (int i = 0; i < 10; ++i) EXPECT_EQ(Draft(site).status, 200);
  const std::string answer = caller.ReadUntil("\r\n0\r\n\r\n");
  EXPECT_NE(answer.find("\"token\":49"), std::string::npos);
  EXPECT_NE(answer.find("[DONE]"), std::string::npos);
  EXPECT_EQ(site.agent(leaving).WaitForExit(std::chrono::seconds(10)), 0);
  // The stream was all that the leaving one served since the signal.
  EXPECT_EQ(site.BackendState(leaving)["served"], served_before + 1);
}

TEST(Leaving, EntryFinishesItsRequests) {
  Site site(
      {.entries = 2, .engines = 1, .engine_options = {"--token-ms", "20"}});
  site.Start();
  RawCaller caller(site.CallerAddress(0));
  caller.Post(kGenerate, R"({"tokens": 50})");
  caller.ReadUntil("\"token\":2");
  site.entry(0).Signal(SIGTERM);
  EXPECT_TRUE(WaitFor([&] {
    return Send(site.CallerAddress(0), "GET", "/readyz", "").status != 200;
  }));
  const std::string answer = caller.ReadUntil("\r\n0\r\n\r\n");
  EXPECT_NE(answer.find("[DONE]"), std::string::npos);
  EXPECT_EQ(site.entry(0).WaitForExit(std::chrono::seconds(10)), 0);
}

// The platform's list, an engine's own word: either closes the gate.
TEST(Leaving, NoNewWorkAfterThePlatformListsABackendAsLeaving) {
  Site site({.engines = 2});
  site.Start();
  site.PublishInstances({1});
  EXPECT_TRUE(WaitFor(
      [&] { return Metric(site.Metrics(0), "mangohold_backends_open") == 1; }));
  const int served = site.BackendState(1)["served"];
  for (int i = 0; i < 10; ++i) EXPECT_EQ(Draft(site).status, 200);
  EXPECT_EQ(site.BackendState(1)["served"], served);
}

TEST(Leaving, NoNewWorkAfterAnEngineSaysThatItLeaves) {
  Site site({.engines = 2});
  site.Start();
  FetchAndWait({.url = site.BackendUrl(0) + "/standin/leave"});
  EXPECT_TRUE(WaitFor(
      [&] { return Metric(site.Metrics(0), "mangohold_backends_open") == 1; }));
  for (int i = 0; i < 10; ++i) EXPECT_EQ(Draft(site).status, 200);
  EXPECT_EQ(site.BackendState(0)["served"], 0);
}

TEST(Zone, OutTakesNoNewWorkFinishesTheOldAndComesBack) {
  Site site(
      {.entries = 3, .engines = 3, .engine_options = {"--token-ms", "20"}});
  site.Start();
  // A stream in the zone of entry 0, "suva", which is preferred there.
  RawCaller caller(site.CallerAddress(0));
  caller.Post(kGenerate, R"({"tokens": 50})");
  caller.ReadUntil("\"token\":2");
  ASSERT_EQ(RunningEngine(site, 3), 0);
  EXPECT_EQ(site.PutDocument("/zones/suva", R"({"state": "out"})"), 200);
  EXPECT_TRUE(WaitFor([&] {
    for (int i = 0; i < 3; ++i) {
      if (Metric(site.Metrics(i), "mangohold_backends_open") != 2) return false;
    }
    return true;
  }));
  const auto list = nlohmann::json::parse(
      Send(site.CallerAddress(1), "GET", "/v1/entries", "").body);
  EXPECT_EQ(list["entries"].size(), 2U);
  for (int i = 0; i < 10; ++i) EXPECT_EQ(Draft(site, i % 3).status, 200);
  const std::string answer = caller.ReadUntil("\r\n0\r\n\r\n");
  EXPECT_NE(answer.find("[DONE]"), std::string::npos);
  EXPECT_EQ(site.BackendState(0)["served"], 1);
  EXPECT_EQ(site.PutDocument("/zones/suva", R"({"state": "in"})"), 200);
  EXPECT_TRUE(WaitFor([&] {
    return Draft(site).status == 200 && site.BackendState(0)["served"] > 1;
  }));
}

// A frozen agent wakes with old requests in its socket and an old view of the
// settings. It takes no work before it has confirmed its configuration.
TEST(Zone, AnAgentFrozenAcrossTheChangeTakesNoWorkWhenItWakes) {
  Site site({.services = 2});
  site.Start();
  site.agent(0).Signal(SIGSTOP);
  EXPECT_EQ(site.PutDocument("/zones/suva", R"({"state": "out"})"), 200);
  // Requests pile up before the frozen agent until its silence shows.
  std::vector<std::thread> callers(8);
  for (std::thread& thread : callers) {
    thread = std::thread([&site] {
      Send(site.CallerAddress(0), "POST", "/v1/services/bookings/viewings", "",
           kSales);
    });
  }
  std::this_thread::sleep_for(std::chrono::seconds(3));
  site.agent(0).Signal(SIGCONT);
  for (std::thread& thread : callers) thread.join();
  EXPECT_EQ(site.RunsAt(0), 0U);
}

}  // namespace
}  // namespace mangohold::testing
