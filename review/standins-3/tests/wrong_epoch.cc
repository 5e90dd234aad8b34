// Case 11: an engine hands out one wrong byte, in one report, while its group
// switches its map. The group stands still from then on.
//
// wrong_epoch --agent PROGRAM --entry PROGRAM --record FILE --trouble 0|1
// Exit: 1 the streams starved, 0 they didn't, 2 it couldn't run.
#include <atomic>
#include <chrono>
#include <cstdio>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "review/standins-3/tests/plain_client.h"
#include "review/standins-3/tests/quiet_group.h"
#include "review/standins-3/tests/rank_agents.h"
#include "review/standins-3/tests/recorder.h"

namespace mangohold::review {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr int kRanks = 12;
constexpr int kExperts = 96;
// The rank whose engine spoils one report.
constexpr int kFaulty = 5;
constexpr milliseconds kLength{45'000};
constexpr int kDeadlineMs = 3'000;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

struct Kind {
  std::string path;
  std::atomic<int> sent = 0;
  std::atomic<int> served = 0;
};

Json Route(const std::string& name, const std::string& kind,
           const std::string& service, bool resumes) {
  return {{"name", name},
          {"host", "h.example"},
          {"prefix", "/" + name + "/"},
          {"route_type", kind},
          {"timeout_ms", 8'000},
          {"target_latency_ms", 400},
          {"target_gap_ms", resumes ? 120 : 0},
          {"priority", 1},
          {"max_attempts", 2},
          {"anonymous", false},
          {"sticky", false},
          {"stream_resume", resumes},
          {"service", service}};
}

class Scenario {
 public:
  Scenario(std::string agent, std::string entry, bool has_trouble,
           const std::string& record)
      : entry_program_(std::move(entry)),
        recorder_(record),
        agents_(
            {.program = std::move(agent), .ranks = kRanks, .experts = kExperts},
            recorder_),
        group_(io_,
               {.addresses = agents_.EngineAddresses(),
                .experts = kExperts,
                .copy = milliseconds(140)},
               recorder_) {
    standin::Serve(
        io_, DeskAddress(),
        [](const HttpRequest& request, standin::Connection& connection) {
          return Book(request, connection);
        });
    if (!has_trouble) return;
    group_.SetReportSpoiler([this](int rank, std::string text) {
      return rank == kFaulty ? Spoil(std::move(text)) : text;
    });
  }

  int Run() {
    thread_ = std::thread([this] { io_.run(); });
    const int result = Play();
    io_.stop();
    thread_.join();
    return result;
  }

 private:
  std::string DeskAddress() const { return agents_.Ip(200) + ":9000"; }

  // No coroutine itself: it hands on the one that answers.
  static asio::awaitable<void> Book(const HttpRequest& request,
                                    standin::Connection& connection) {
    const std::string id(request.Field("X-Mangohold-Request-Id"));
    return connection.Send("HTTP/1.1 200 OK\r\nX-Mangohold-Request-Id: " + id +
                           "\r\nX-Mangohold-Response-Signature: s." + id +
                           "\r\nContent-Length: 6\r\n\r\nbooked");
  }

  // One byte turns wrong, in one report while a pass is held.
  std::string Spoil(std::string text) {
    constexpr std::string_view kEpoch = "\"epoch\":1";
    const std::size_t at = text.find(kEpoch);
    const bool is_now = !is_spoiled_ && group_.holder() >= 0;
    if (!is_now || at == std::string::npos) return text;
    is_spoiled_ = true;
    text[at + kEpoch.size() - 1] = '7';
    recorder_.Note("the engine of rank " + std::to_string(kFaulty) +
                   " answers " + text);
    return text;
  }

  void StartEntry() {
    const std::string ip = agents_.Ip(10);
    const Json settings = {
        {"instance", "edge-0"},
        {"zone", "suva"},
        {"platform_url", "http://" + agents_.Ip(1) + ":7000"},
        {"caller_address", ip + ":8080"},
        {"ready_address", ip + ":8081"},
        {"directory_address", ip + ":8082"},
        {"peer_address", ip + ":7340"},
        {"metrics_address", ip + ":9464"},
        {"memory_mb", 260},
        {"max_descriptors", 4'100},
        {"revocation_ms", 5'000},
        {"grace_s", 8},
        {"retry_ratio", 0.2},
        {"retry_slack", 88},
        {"retry_window_s", 10},
        {"cold_overrun", 1.5},
        {"cold_slack", 5},
        {"regions", {{"suva", "viti-levu"}}}};
    entry_ = std::make_unique<ChildProcess>(
        std::vector<std::string>{
            entry_program_, "--config",
            agents_.folder().Write("edge-0.jsonc", settings.dump())},
        agents_.folder().Path("edge-0.log"));
  }

  void PutDeployment() {
    const Json desk = {{"name", "desk"},
                       {"health_path", "/healthz"},
                       {"max_connections", 96},
                       {"cold_start_s", 0},
                       {"cold_per_s", 0}};
    agents_.PutDeployment(
        Json::array({Route("draft", "streaming", "s", true),
                     Route("book", "non_idempotent", "desk", false)}),
        Json::array({desk}));
    agents_.store().Put("servers/desk-0", Json{{"service", "desk"},
                                               {"address", DeskAddress()},
                                               {"zone", "suva"},
                                               {"version", "v1"},
                                               {"slots", 6},
                                               {"state", "ready"},
                                               {"cold_remaining_ms", 0},
                                               {"sequence", 1}}
                                              .dump());
  }

  // Sends one request after the other until the end.
  void Ask(Kind& kind, int client, std::chrono::steady_clock::time_point end) {
    constexpr milliseconds kPause{300};
    for (int number = 0; std::chrono::steady_clock::now() < end; ++number) {
      const std::string id =
          "c" + std::to_string(client) + "-" + std::to_string(number);
      ++kind.sent;
      try {
        PlainClient caller(agents_.Ip(10) + ":8080");
        caller.Send(
            PlainClient::RequestText("POST", kind.path, id, kDeadlineMs));
        if (caller.ReadAnswer().status == 200) ++kind.served;
      } catch (const std::exception&) {
        // The entry doesn't listen yet.
      }
      std::this_thread::sleep_for(kPause);
    }
  }

  // RULES.md, Starved: a kind of request is served less than a quarter as often
  // as all requests.
  int Play() {
    constexpr int kQuarter = 4;
    constexpr int kStreams = 4;
    constexpr milliseconds kSettling{3'000};
    PutDeployment();
    for (int rank = 0; rank < kRanks; ++rank) agents_.Start(rank);
    StartEntry();
    std::this_thread::sleep_for(kSettling);
    const auto end = std::chrono::steady_clock::now() + kLength;
    Kind streams{.path = "/draft/1"};
    Kind bookings{.path = "/book/1"};
    std::vector<std::thread> clients;
    clients.reserve(kStreams + 1);
    for (int client = 0; client < kStreams; ++client) {
      clients.emplace_back([&, client] { Ask(streams, client, end); });
    }
    clients.emplace_back([&] { Ask(bookings, kStreams, end); });
    while (std::chrono::steady_clock::now() < end) {
      constexpr milliseconds kStep{5'000};
      std::this_thread::sleep_for(kStep);
      Note(streams, bookings);
    }
    for (std::thread& client : clients) client.join();
    Note(streams, bookings);
    const double of_streams = Share(streams.served, streams.sent);
    const double of_all =
        Share(streams.served + bookings.served, streams.sent + bookings.sent);
    if (bookings.served == 0) return kCannotRun;
    return of_streams * kQuarter < of_all ? kBroken : 0;
  }

  static double Share(int part, int whole) {
    return whole == 0 ? 0 : static_cast<double>(part) / whole;
  }

  void Note(const Kind& streams, const Kind& bookings) {
    recorder_.Note("streams " + std::to_string(streams.served) + " of " +
                   std::to_string(streams.sent) + ", bookings " +
                   std::to_string(bookings.served) + " of " +
                   std::to_string(bookings.sent) + ", last pass " +
                   std::to_string(group_.pass()) + ", holding rank " +
                   std::to_string(group_.holder()));
  }

  const std::string entry_program_;
  Recorder recorder_;
  RankAgents agents_;
  asio::io_context io_;
  QuietGroup group_;
  std::unique_ptr<ChildProcess> entry_;
  std::thread thread_;
  bool is_spoiled_ = false;
};

}  // namespace
}  // namespace mangohold::review

int main(int argc, char** argv) {
  using mangohold::standin::Option;
  try {
    mangohold::review::Scenario scenario(
        Option(argc, argv, "--agent", "target/mangohold-rank-agent"),
        Option(argc, argv, "--entry", "target/mangohold-direct-entry"),
        Option(argc, argv, "--trouble", "1") != "0",
        Option(argc, argv, "--record", "record.txt"));
    return scenario.Run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return mangohold::review::kCannotRun;
  }
}
