// Engines behind agents that answer in ways that no sound engine does: a
// refusal that is written once more, answers without end.
#include <gtest/gtest.h>

#include <asio.hpp>
#include <atomic>
#include <iostream>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

#include "harness.h"
#include "standins/raw_http.h"

namespace mangohold::testing {
namespace {

using standin::Connection;

// The machine of a small entry of the second deployment in docs/DEMAND.md.
constexpr int kMemoryMb = 112;
constexpr int kCallers = 40;
constexpr int kRounds = 10;
[[maybe_unused]] constexpr std::size_t kChunkBytes = 64U << 10U;
[[maybe_unused]] constexpr Millis kCopyAhead{30};
// Answered with the rest of the path as the status.
[[maybe_unused]] constexpr std::string_view kStatusPath = "/v1/status-";
// A connection that is open for so long after its answer is kept.
[[maybe_unused]] constexpr Millis kCloseLimit{200};

// Takes the place of an engine process. Answers by the path of the request.
class FaultyEngine {
 public:
  explicit FaultyEngine(const std::string& url) {
    standin::Serve(
        io_, url.substr(std::string("http://").size()),
        [this](HttpRequest request,
               Connection& connection) -> asio::awaitable<void> {
          if (request.path == "/v1/run") {
            CountRun(std::string(request.Field("Mangohold-Request-Id")));
          }
// The analyzer takes the frame of this coroutine for uninitialized.
#ifndef __clang_analyzer__
          if (request.path == "/load") {
            co_await connection.Reply(
                200, "application/json",
                R"({"boot_id": "faulty", "running": 0, "queued": 0,
              "leaving": false})");
          } else if (request.path == "/v1/refuse") {
            co_await connection.Reply(429, "text/plain", "full");
            if (co_await connection.IsClosedWithin(kCloseLimit)) {
              connection.Drop();
            } else {
              refused_on_.insert(&connection);
            }
          } else if (request.path.starts_with(kStatusPath)) {
            co_await connection.Send("HTTP/1.1 " +
                                     request.path.substr(kStatusPath.size()) +
                                     " Odd\r\nContent-Length: 4\r\n\r\nbody");
          } else if (request.path == "/v1/endless") {
            co_await connection.StartChunks(200, "application/json");
            const std::string chunk(kChunkBytes, 'x');
            while (true) co_await connection.Chunk(chunk);
          } else {
            if (refused_on_.erase(&connection) > 0) {
              co_await connection.Reply(429, "text/plain", "full");
              co_await standin::Sleep(kCopyAhead);
            }
            co_await connection.Reply(200, "text/plain", "done");
          }
#endif
          co_return;
        });
    thread_ = std::thread([this] { io_.run(); });
  }
  ~FaultyEngine() {
    io_.stop();
    thread_.join();
  }
  FaultyEngine(const FaultyEngine&) = delete;
  FaultyEngine& operator=(const FaultyEngine&) = delete;

  int RunsOf(const std::string& id) {
    const std::lock_guard lock(mutex_);
    return runs_[id];
  }

 private:
  void CountRun(const std::string& id) {
    const std::lock_guard lock(mutex_);
    ++runs_[id];
  }

  asio::io_context io_;
  std::thread thread_;
  // Connections that carried a refusal, which is written once more there.
  std::set<const Connection*> refused_on_;
  std::mutex mutex_;
  std::map<std::string, int> runs_;
};

SiteOptions OneEngine() {
  return {.engines = 1,
          .drafts_document = R"({"kind": "model",
            "repeatable_calls": [{"method": "POST", "path_prefix": "/v1"}],
            "concurrency_limit": 40,
            "cold_start": {"initial_limit": 40, "successes_per_step": 1}})",
          .memory_mb = kMemoryMb};
}

HttpResponse Ask(const Site& site, const std::string& path,
                 const std::string& id, int deadline_ms = 4'000) {
  return Send(site.CallerAddress(0), "POST", "/v1/services/drafts" + path, "{}",
              {{"Mangohold-Workspace", "sales"},
               {"Mangohold-Request-Id", id},
               {"Mangohold-Deadline-Ms", std::to_string(deadline_ms)}});
}

std::string OutcomeOf(const HttpResponse& response) {
  return std::string(FieldValue(response.fields, "Mangohold-Outcome"));
}

// True once the agent has found the engine and an answer comes through.
bool Opens(const Site& site) {
  return WaitFor([&site] {
    static std::atomic<int> tries = 0;
    return Ask(site, "/v1/run", "open-" + std::to_string(++tries)).status ==
           200;
  });
}

// Guards against "not run" for work that ran, when an engine writes the 429 of
// an earlier request once more on a connection that was kept.
TEST(FaultyEngine, LateCopyOfRefusalIsNoRefusalOfTheNextRequest) {
  Site site(OneEngine());
  site.Start();
  site.backend(0).Kill();
  FaultyEngine engine(site.BackendUrl(0));
  ASSERT_TRUE(Opens(site));
  int answered = 0;
  for (int i = 0; i < kRounds; ++i) {
    const std::string id = "run-" + std::to_string(i);
    Ask(site, "/v1/refuse", "refuse-" + std::to_string(i));
    const HttpResponse response = Ask(site, "/v1/run", id);
    if (OutcomeOf(response) == "answered") ++answered;
    if (OutcomeOf(response) == "not_run") {
      EXPECT_EQ(engine.RunsOf(id), 0) << id << " " << response.body;
    }
  }
  EXPECT_EQ(answered, kRounds);
}

// Guards against an answer whose status is none of the protocol's and that a
// caller gets as one (MIXED).
TEST(FaultyEngine, AnAnswerWithoutAStatusIsNone) {
  constexpr int kBadGateway = 502;
  Site site(OneEngine());
  site.Start();
  site.backend(0).Kill();
  FaultyEngine engine(site.BackendUrl(0));
  ASSERT_TRUE(Opens(site));
  for (const std::string status : {"000", "101", "600", "999", "1000"}) {
    const HttpResponse response =
        Ask(site, std::string(kStatusPath) + status, "status-" + status);
    EXPECT_EQ(response.status, kBadGateway) << status << ' ' << response.body;
    EXPECT_EQ(OutcomeOf(response), "unknown") << status;
  }
  EXPECT_TRUE(Opens(site));
}

// Guards against an entry or agent that runs out of memory because an engine's
// answers have no end.
TEST(FaultyEngine, AnswersWithoutEndStayWithinMemory) {
  Site site(OneEngine());
  site.Start();
  site.backend(0).Kill();
  FaultyEngine engine(site.BackendUrl(0));
  ASSERT_TRUE(Opens(site));
  {
    std::vector<std::jthread> callers;
    callers.reserve(kCallers);
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back([&site, i] {
        const HttpResponse response =
            Ask(site, "/v1/endless", "endless-" + std::to_string(i));
        EXPECT_NE(response.status, 200);
      });
    }
  }
  EXPECT_TRUE(site.entry(0).is_running());
  EXPECT_TRUE(site.agent(0).is_running());
  std::cout << "entry " << site.entry(0).peak_memory_mb() << " MB, agent "
            << site.agent(0).peak_memory_mb() << " MB\n";
  EXPECT_LT(site.entry(0).peak_memory_mb(), kMemoryMb);
  EXPECT_LT(site.agent(0).peak_memory_mb(), kMemoryMb);
  EXPECT_TRUE(Opens(site));
}

}  // namespace
}  // namespace mangohold::testing
