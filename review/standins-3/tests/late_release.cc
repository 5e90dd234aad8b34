// Case 12: an order "go" of a leader that is gone is carried out late, and
// releases the hold that a later leader has placed at the same pass.
//
// late_release --agent PROGRAM --record FILE --trouble 0|1
// Exit: 1 a pass began with different maps, 0 none did, 2 it couldn't run.
#include <cstdio>
#include <string>
#include <utility>

#include "review/standins-3/tests/quiet_group.h"
#include "review/standins-3/tests/rank_agents.h"
#include "review/standins-3/tests/recorder.h"

namespace mangohold::review {
namespace {

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
      : has_trouble_(has_trouble),
        recorder_(record),
        agents_({.program = std::move(program),
                 .ranks = kRanks,
                 .experts = kExperts},
                recorder_),
        group_(io_,
               {.addresses = agents_.EngineAddresses(), .experts = kExperts},
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

  asio::awaitable<void> StartAgents() {
    // All machines start within 0.3 s of each other, in any order.
    constexpr milliseconds kHeadStart{250};
    agents_.Start(kFirst);
    co_await standin::Sleep(kHeadStart);
    for (int rank = 0; rank < kRanks; ++rank) {
      if (rank != kFirst) agents_.Start(rank);
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

  asio::awaitable<bool> WaitForArming() {
    constexpr milliseconds kLimit{15'000};
    return WaitFor([this] { return group_.armed() >= 3; }, kLimit);
  }

  // SIGKILL of the process that leads; returns its rank.
  int KillLeader() {
    const int leader = agents_.Leader();
    recorder_.Note("SIGKILL of side-" + std::to_string(leader) +
                   ", which leads; rank " + std::to_string(group_.holder()) +
                   " holds, " + std::to_string(group_.armed()) +
                   " ranks are armed");
    agents_.agent(leader).Kill();
    return leader;
  }

  asio::awaitable<void> Play() {
    constexpr milliseconds kSettling{2'500};
    constexpr milliseconds kLimit{12'000};
    constexpr milliseconds kRest{1'000};
    constexpr milliseconds kMoment{150};
    agents_.PutDeployment();
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
      agents_.Start(leader);
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

  const bool has_trouble_;
  Recorder recorder_;
  RankAgents agents_;
  asio::io_context io_;
  QuietGroup group_;
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
