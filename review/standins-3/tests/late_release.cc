// Case 11: an order "go" of a leader that is gone is carried out late, and
// releases the hold that a later leader has placed at the same pass.
//
// late_release --agent PROGRAM --record FILE --trouble 0|1
// Exit: 1 a pass began with different maps, 0 none did, 2 it couldn't run.
#include <csignal>
#include <cstdio>
#include <memory>
#include <nlohmann/json.hpp>

#include "review/standins-3/tests/child_process.h"
#include "review/standins-3/tests/quiet_group.h"
#include "review/standins-3/tests/recorder.h"
#include "review/standins-3/tests/store_reader.h"
#include "standins/kv_store.h"

namespace mangohold::review {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr int kRanks = 12;
constexpr int kExperts = 24;
// The leader that starts first, and the rank whose agent it has hold a pass.
constexpr int kFirst = 1;
constexpr int kHolder = 0;
// The rank whose orders to arm get no answer.
constexpr int kSlow = 7;
constexpr int kPassesOfRequest = 24;
// The page: an order without an answer may be carried out seconds later. The
// bench: 2 to 12 s.
constexpr milliseconds kLeastLate{2'000};
constexpr milliseconds kMostLate{12'000};
constexpr milliseconds kArmLate{4'000};
constexpr milliseconds kStep{10};
constexpr milliseconds kRestart{500};
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

class Scenario {
 public:
  Scenario(std::string program, bool has_trouble, const std::string& record)
      : program_(std::move(program)),
        has_trouble_(has_trouble),
        recorder_(record),
        store_(net_ + "1:7000"),
        group_(io_, {.addresses = EngineAddresses(), .experts = kExperts},
               recorder_) {
    group_.SetPolicy([this](const QuietGroup::Order& order) {
      return has_trouble_ ? LateOrder(order) : nullptr;
    });
  }

  int Run() {
    asio::co_spawn(io_, Play(), [this](const std::exception_ptr& error) {
      if (error) result_ = kCannotRun;
      io_.stop();
    });
    io_.run();
    recorder_.Note(
        "orders " + std::to_string(group_.orders()) + ", without an answer " +
        std::to_string(group_.unanswered()) + ", passes with different maps " +
        std::to_string(group_.split_passes()) + ", result " +
        std::to_string(result_));
    return result_;
  }

 private:
  std::string Ip(int last) const { return net_ + std::to_string(last); }

  std::vector<std::string> EngineAddresses() const {
    std::vector<std::string> addresses;
    addresses.reserve(kRanks);
    for (int rank = 0; rank < kRanks; ++rank) {
      addresses.push_back(Ip(100 + rank) + ":9000");
    }
    return addresses;
  }

  // Of rank kSlow the orders to arm, and of rank kHolder the first one to go.
  QuietGroup::IsDue LateOrder(const QuietGroup::Order& order) {
    if (group_.split_passes() > 0) return nullptr;
    if (order.operation == "arm" && order.rank == kSlow) {
      return [](milliseconds age) { return age >= kArmLate; };
    }
    const bool is_first_go =
        order.operation == "go" && order.rank == kHolder && !has_late_go_;
    if (!is_first_go) return nullptr;
    has_late_go_ = true;
    return [this, step = order.step](milliseconds age) {
      if (age >= kMostLate) return true;
      const bool is_held_again =
          group_.held(kHolder) == step && group_.armed() > 0;
      return age >= kLeastLate && is_held_again && group_.is_working();
    };
  }

  void PutDeployment() {
    const Json engine = {{"slots", 8},
                         {"kv_capacity_tokens", 100'000},
                         {"link_mbps", 5'000.0},
                         {"stride", 5},
                         {"step_ms", 5.85},
                         {"per_seq_ms", 0.355},
                         {"context_per_k", 0.036},
                         {"read_per_s", 61'200.0},
                         {"pairs_per_m", 0.325},
                         {"chunk", 512},
                         {"usual", {{"prompt", 835}, {"answer", 138}}},
                         {"sets", 1},
                         {"experts", kExperts},
                         {"placements", 4},
                         {"spare", 2},
                         {"expert_mb", 780.0},
                         {"expert_share", 0.85},
                         {"form_ms", 600.0}};
    const Json service = {{"name", "s"},
                          {"health_path", "/healthz"},
                          {"max_connections", 100},
                          {"cold_start_s", 0},
                          {"cold_per_s", 0},
                          {"engine", engine}};
    store_.Put("op/config", Json{{"version", 1},
                                 {"routes", Json::array()},
                                 {"services", {service}},
                                 {"limits", Json::object()},
                                 {"tenants", Json::array()}}
                                .dump());
    for (int rank = 0; rank < kRanks; ++rank) {
      store_.Put("servers/i-" + std::to_string(rank),
                 Json{{"service", "s"},
                      {"address", Ip(100 + rank) + ":9000"},
                      {"zone", "north"},
                      {"version", "v1"},
                      {"slots", 8},
                      {"state", "ready"},
                      {"cold_remaining_ms", 0},
                      {"sequence", 1}}
                     .dump());
    }
  }

  void StartAgent(int rank) {
    const std::string name = "side-" + std::to_string(rank);
    const Json settings = {{"instance", name},
                           {"zone", "north"},
                           {"service", "s"},
                           {"platform_url", "http://" + Ip(1) + ":7000"},
                           {"backend_address", Ip(100 + rank) + ":9000"},
                           {"peer_address", Ip(50 + rank) + ":7355"},
                           {"metrics_address", Ip(50 + rank) + ":9465"},
                           {"link_mbps", 20}};
    const std::string file = folder_.Write(name + ".jsonc", settings.dump());
    agents_[rank] = std::make_unique<ChildProcess>(
        std::vector<std::string>{program_, "--config", file},
        folder_.Path(name + ".log"));
    recorder_.Note("agent " + name + " starts");
  }

  asio::awaitable<void> StartAgents() {
    // All machines start within 0.3 s of each other, in any order.
    constexpr milliseconds kHeadStart{250};
    StartAgent(kFirst);
    co_await standin::Sleep(kHeadStart);
    for (int rank = 0; rank < kRanks; ++rank) {
      if (rank != kFirst) StartAgent(rank);
    }
  }

  // Waits until `condition` holds; false after `limit`.
  asio::awaitable<bool> WaitFor(std::function<bool()> condition,
                                milliseconds limit) {
    for (milliseconds spent{0}; spent < limit; spent += kStep) {
      if (condition()) co_return true;
      co_await standin::Sleep(kStep);
    }
    co_return condition();
  }

  // The agent that last wrote to the store under a condition that it leads.
  int Leader() const {
    const auto leader = ReadItem(Ip(1) + ":7000", "leaders/");
    return leader ? std::stoi(leader->substr(leader->find('-') + 1)) : -1;
  }

  asio::awaitable<bool> WaitForArming() {
    constexpr milliseconds kLimit{15'000};
    return WaitFor([this] { return group_.armed() >= 3; }, kLimit);
  }

  // SIGKILL of the process that leads; returns its rank.
  int KillLeader() {
    const int leader = Leader();
    recorder_.Note("SIGKILL of side-" + std::to_string(leader) +
                   ", which leads; rank " + std::to_string(group_.holder()) +
                   " holds, " + std::to_string(group_.armed()) +
                   " ranks are armed");
    agents_.at(leader)->Kill();
    return leader;
  }

  asio::awaitable<void> Play() {
    constexpr milliseconds kSettling{2'500};
    constexpr milliseconds kLimit{12'000};
    constexpr milliseconds kRest{1'000};
    constexpr milliseconds kMoment{150};
    PutDeployment();
    co_await StartAgents();
    co_await standin::Sleep(kSettling);
    group_.AddWork(kPassesOfRequest);
    result_ = kCannotRun;
    if (!co_await WaitForArming()) co_return;
    for (int kills = 0; has_trouble_ && kills < 2; ++kills) {
      // The leader is killed while it arms the ranks; the platform starts it
      // again.
      co_await standin::Sleep(kMoment);
      const int leader = KillLeader();
      co_await standin::Sleep(kRestart);
      StartAgent(leader);
      const bool is_undone = co_await WaitFor(
          [this] { return group_.armed() == 0 && group_.holder() < 0; },
          kLimit);
      if (!is_undone || !co_await WaitForArming()) co_return;
    }
    // Another request arrives. Nothing else is sent.
    group_.AddWork(kPassesOfRequest);
    co_await WaitFor([this] { return !group_.is_working(); }, kLimit);
    co_await standin::Sleep(kRest);
    result_ = group_.split_passes() > 0 ? kBroken : 0;
  }

  const std::string program_;
  const bool has_trouble_;
  const std::string net_ = OwnLoopbackNet();
  TemporaryFolder folder_;
  Recorder recorder_;
  asio::io_context io_;
  standin::KvStore store_;
  QuietGroup group_;
  std::map<int, std::unique_ptr<ChildProcess>> agents_;
  bool has_late_go_ = false;
  int result_ = kCannotRun;
};

}  // namespace
}  // namespace mangohold::review

int main(int argc, char** argv) {
  using mangohold::standin::Option;
  try {
    mangohold::review::Scenario scenario(
        Option(argc, argv, "--agent", "target/mangohold-rank-agent"),
        Option(argc, argv, "--trouble", "1") != "0",
        Option(argc, argv, "--record", "record.txt"));
    return scenario.Run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return mangohold::review::kCannotRun;
  }
}
