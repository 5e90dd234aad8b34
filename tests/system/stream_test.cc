// Streams under trouble: slow and vanishing callers, dying engines and agents.
#include <gtest/gtest.h>
#include <signal.h>

#include <nlohmann/json.hpp>
#include <thread>

#include "harness.h"
#include "raw_caller.h"

namespace mangohold::testing {
namespace {

constexpr char kGenerate[] = "/v1/services/drafts/v1/generate";

// A caller that reads nothing stops the engine's stream, because the windows
// on the way fill up; when it goes away the engine is told.
TEST(Stream, SlowCallerSlowsTheEngineAndALostOneCancelsIt) {
  Site site({.engines = 1, .engine_options = {"--token-ms", "0"}});
  site.Start();
  constexpr std::int64_t kTokens = 3'000'000;  // about 180 MB
  RawCaller caller(site.CallerAddress(0));
  caller.Post(kGenerate, R"({"tokens": 3000000})");
  caller.ReadUntil("\"token\":0");
  std::int64_t sent = 0;
  EXPECT_TRUE(WaitFor([&] {
    const std::int64_t before = sent;
    sent = site.BackendState(0)["tokens_sent"];
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    return sent > 0 && sent == before;
  }));
  EXPECT_LT(sent, kTokens);
  EXPECT_EQ(site.BackendState(0)["running"], 1);
  caller.Close();
  EXPECT_TRUE(WaitFor([&] { return site.BackendState(0)["cancelled"] == 1; }));
  EXPECT_TRUE(WaitFor([&] {
    return Metric(site.AgentMetrics(0), "mangohold_in_flight") == 0;
  }));
}

TEST(Stream, EndsWithAnErrorEventWhenTheEngineDies) {
  Site site({.engines = 1, .engine_options = {"--token-ms", "20"}});
  site.Start();
  RawCaller caller(site.CallerAddress(0));
  caller.Post(kGenerate, R"({"tokens": 1000})");
  caller.ReadUntil("\"token\":2");
  site.backend(0).Kill();
  const std::string answer = caller.ReadUntil("\r\n0\r\n\r\n");
  EXPECT_NE(answer.find("event: mangohold-error"), std::string::npos);
  EXPECT_NE(answer.find("\"reason\":\"backend_failed\""), std::string::npos);
  EXPECT_EQ(answer.find("[DONE]"), std::string::npos);
}

TEST(Stream, EndsWithAnErrorEventWhenTheAgentDies) {
  Site site({.engines = 2, .engine_options = {"--token-ms", "20"}});
  site.Start();
  RawCaller caller(site.CallerAddress(0));
  caller.Post(kGenerate, R"({"tokens": 1000})");
  caller.ReadUntil("\"token\":2");
  const int serving = site.BackendState(0)["running"] == 1 ? 0 : 1;
  site.agent(serving).Kill();
  const std::string answer = caller.ReadUntil("\r\n0\r\n\r\n");
  EXPECT_NE(answer.find("event: mangohold-error"), std::string::npos);
  EXPECT_NE(answer.find("\"outcome\":\"unknown\""), std::string::npos);
  // Never spliced: the other engine has not taken over in mid-stream.
  EXPECT_EQ(site.BackendState(1 - serving)["served"], 0);
  EXPECT_EQ(site.BackendState(1 - serving)["running"], 0);
}

// A frozen agent closes no connection; its silence ends the stream.
TEST(Stream, EndsWithAnErrorEventWhenTheAgentFreezes) {
  Site site({.engines = 1, .engine_options = {"--token-ms", "20"}});
  site.Start();
  RawCaller caller(site.CallerAddress(0));
  caller.Post(kGenerate, R"({"tokens": 100000})");
  caller.ReadUntil("\"token\":2");
  site.agent(0).Signal(SIGSTOP);
  const std::string answer = caller.ReadUntil("\r\n0\r\n\r\n");
  EXPECT_NE(answer.find("event: mangohold-error"), std::string::npos);
  site.agent(0).Signal(SIGCONT);
  // The agent has lost its sender, so the engine is told to stop.
  EXPECT_TRUE(WaitFor([&] { return site.BackendState(0)["cancelled"] == 1; }));
}

}  // namespace
}  // namespace mangohold::testing
