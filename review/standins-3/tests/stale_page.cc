// Case 13: an entry starts and reads the store page by page. A page that is
// older than the first one leaves it with an old configuration for good.
//
// stale_page --entry PROGRAM --record FILE --trouble 0|1
// Exit: 1 a request ran with a key that was taken away, 0 none did, 2 it
// couldn't run.
#include <atomic>
#include <cstdio>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>

#include "review/standins-3/tests/paged_store.h"
#include "review/standins-3/tests/plain_client.h"
#include "review/standins-3/tests/recorder.h"
#include "review/standins-3/tests/standin_site.h"
#include "standins/raw_http.h"

namespace mangohold::review {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

// How far the replica is behind: `kinds`, platform_compact: 3 s.
constexpr milliseconds kLag{3'000};
// The configuration has grown by many routes, twice: the sites have up to
// 1,520 at a time.
constexpr int kRoutes = 2'900;
constexpr milliseconds kRevoke{5'000};
constexpr milliseconds kRestart{500};
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

Json Route(const std::string& name) {
  return {{"name", "r-" + name},
          {"host", "h.example"},
          {"prefix", "/" + name + "/"},
          {"route_type", "non_idempotent"},
          {"timeout_ms", 4'000},
          {"target_latency_ms", 300},
          {"target_gap_ms", 0},
          {"priority", 1},
          {"traffic_split", {{{"service", "s"}, {"weight", 100}}}},
          {"max_attempts", 2},
          {"anonymous", false},
          {"sticky", false},
          {"stream_resume", false}};
}

std::string Deployment(int version, const std::vector<std::string>& keys) {
  Json routes = {Route("book")};
  for (int index = 1; index < kRoutes; ++index) {
    routes.push_back(Route("added-" + std::to_string(index)));
  }
  const Json service = {{"name", "s"},
                        {"health_path", "/healthz"},
                        {"max_connections", 96},
                        {"cold_start_s", 0},
                        {"cold_per_s", 0}};
  return Json{{"version", version},
              {"routes", routes},
              {"services", {service}},
              {"limits", DirectEntries::DefaultLimits()},
              {"tenants", {{{"name", "suva"}, {"api_keys", keys}}}}}
      .dump();
}

class Server {
 public:
  explicit Server(const std::string& address) {
    standin::Serve(
        io_, address,
        [this](HttpRequest request,
               standin::Connection& connection) -> asio::awaitable<void> {
          ++runs_;
          const std::string id(request.Field("X-Mangohold-Request-Id"));
          const std::string body = "booked " + id;
          co_await connection.Send(
              "HTTP/1.1 200 OK\r\nX-Mangohold-Request-Id: " + id +
              "\r\nX-Mangohold-Response-Signature: s." + id +
              "\r\nContent-Length: " + std::to_string(body.size()) +
              "\r\n\r\n" + body);
        });
    thread_ = std::thread([this] { io_.run(); });
  }
  ~Server() {
    io_.stop();
    thread_.join();
  }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  int runs() const { return runs_; }

 private:
  std::atomic<int> runs_ = 0;
  asio::io_context io_;
  std::thread thread_;
};

class Scenario {
 public:
  Scenario(const std::string& program, const std::string& record)
      : site_(program),
        recorder_(record),
        store_(site_.Ip(2) + ":7000", kLag),
        server_(site_.Ip(100) + ":9000") {}

  int Run(bool has_trouble) {
    store_.SetStale(true);
    const std::string first = Deployment(1, {"key", "leaver"});
    recorder_.Note("the configuration has " + std::to_string(first.size()) +
                   " bytes");
    store_.Put("op/config", first);
    store_.Put("servers/i-0", Json{{"service", "s"},
                                   {"address", site_.Ip(100) + ":9000"},
                                   {"zone", "suva"},
                                   {"version", "v1"},
                                   {"slots", 8},
                                   {"state", "ready"},
                                   {"cold_remaining_ms", 0},
                                   {"sequence", 1}}
                                  .dump());
    std::this_thread::sleep_for(kLag);
    if (!StartEntry()) return kCannotRun;
    if (Ask("before") != 200) return kCannotRun;
    store_.Put("op/config", Deployment(2, {"key"}));
    const double taken_away = recorder_.Seconds();
    recorder_.Note("version 2 is acknowledged; it takes the key away");
    constexpr milliseconds kMoment{300};
    std::this_thread::sleep_for(kMoment);
    if (has_trouble) {
      recorder_.Note("SIGKILL of the entry");
      site_.entry(0).Kill();
      std::this_thread::sleep_for(kRestart);
      if (!StartEntry()) return kCannotRun;
    }
    int ran = 0;
    for (const milliseconds after :
         {kRevoke + kMoment, 2 * kRevoke, 4 * kRevoke}) {
      const double wanted =
          taken_away + static_cast<double>(after.count()) / 1'000;
      std::this_thread::sleep_for(
          std::chrono::duration<double>(wanted - recorder_.Seconds()));
      const int before = server_.runs();
      Ask(std::to_string(after.count()) + "-ms-after");
      if (server_.runs() == before) continue;
      ++ran;
      recorder_.Note("CONFIG: it ran, though its key was taken away " +
                     std::to_string(recorder_.Seconds() - taken_away) +
                     " s ago");
    }
    recorder_.Note("pages older than the store " +
                   std::to_string(store_.old_pages()) +
                   ", requests that ran without a key " + std::to_string(ran));
    return ran > 0 ? kBroken : 0;
  }

 private:
  bool StartEntry() {
    recorder_.Note("the entry starts");
    site_.StartEntry(0, {{"platform_url", "http://" + site_.Ip(2) + ":7000"}});
    const bool is_ready = site_.WaitUntilReady(0);
    recorder_.Note(is_ready ? "it is ready" : "it isn't ready");
    return is_ready;
  }

  // Sends a request with the key that is taken away; returns the status.
  int Ask(const std::string& id) {
    constexpr std::string_view kKey = "Bearer key";
    constexpr int kDeadlineMs = 3'000;
    std::string text =
        PlainClient::RequestText("POST", "/book/1", id, kDeadlineMs);
    text.replace(text.find(kKey), kKey.size(), "Bearer leaver");
    PlainClient client(site_.CallerAddress(0));
    client.Send(text);
    const int status = client.ReadAnswer().status;
    recorder_.Note("request " + id + ": " + std::to_string(status));
    return status;
  }

  DirectEntries site_;
  Recorder recorder_;
  PagedStore store_;
  Server server_;
};

}  // namespace
}  // namespace mangohold::review

int main(int argc, char** argv) {
  using mangohold::standin::Option;
  try {
    mangohold::review::Scenario scenario(
        Option(argc, argv, "--entry", "target/mangohold-direct-entry"),
        Option(argc, argv, "--record", "record.txt"));
    return scenario.Run(Option(argc, argv, "--trouble", "1") != "0");
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return mangohold::review::kCannotRun;
  }
}
