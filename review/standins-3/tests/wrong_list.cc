// Case 14: an engine hands out wrong bytes in its list of experts. The agents
// that lead its group end by a signal, one after the other.
//
// wrong_list --agent PROGRAM --record FILE --trouble 0|1
// Exit: 1 processes ended by themselves, 0 none did, 2 it couldn't run.
#include <cstdio>
#include <map>
#include <string>
#include <utility>

#include "review/standins-3/tests/quiet_group.h"
#include "review/standins-3/tests/rank_agents.h"
#include "review/standins-3/tests/recorder.h"

namespace mangohold::review {
namespace {

using std::chrono::milliseconds;

constexpr int kRanks = 12;
constexpr int kExperts = 96;
// The rank whose engine spoils three of its lists.
constexpr int kFaulty = 5;
constexpr int kSpoiledLists = 3;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;
// The rule: on a tenth of the machines, two at least, three times.
constexpr int kEndsOfMachine = 3;
constexpr int kMachines = 2;

class Scenario {
 public:
  Scenario(std::string program, bool has_trouble, const std::string& record)
      : recorder_(record),
        agents_({.program = std::move(program),
                 .ranks = kRanks,
                 .experts = kExperts},
                recorder_),
        group_(io_,
               {.addresses = agents_.EngineAddresses(),
                .experts = kExperts,
                .copy = milliseconds(140)},
               recorder_) {
    if (!has_trouble) return;
    group_.SetSpoiler([this](int rank, std::string text) {
      return rank == kFaulty ? Spoil(std::move(text)) : text;
    });
  }

  int Run() {
    asio::co_spawn(io_, Play(), [this](const std::exception_ptr& error) {
      if (error) result_ = kCannotRun;
      io_.stop();
    });
    io_.run();
    return result_;
  }

 private:
  // Two bytes turn wrong: "17,29,41" becomes "17929941".
  std::string Spoil(std::string text) {
    if (spoiled_ >= kSpoiledLists) return text;
    std::size_t comma = text.find("[[");
    for (int commas = 0; commas < 3; ++commas) {
      comma = text.find(',', comma + 1);
      if (comma == std::string::npos) return text;
      if (commas > 0) text[comma] = '9';
    }
    ++spoiled_;
    recorder_.Note("the engine of rank " + std::to_string(kFaulty) +
                   " answers " + text);
    return text;
  }

  asio::awaitable<void> Play() {
    constexpr milliseconds kStep{100};
    constexpr milliseconds kLength{60'000};
    constexpr int kPasses = 1'000'000;
    agents_.PutDeployment();
    for (int rank = 0; rank < kRanks; ++rank) agents_.Start(rank);
    group_.AddWork(kPasses);
    for (milliseconds spent{0}; spent < kLength; spent += kStep) {
      co_await standin::Sleep(kStep);
      StartEnded();
    }
    int machines = 0;
    for (const auto& [rank, ends] : ends_) {
      recorder_.Note("agent side-" + std::to_string(rank) + " ended " +
                     std::to_string(ends) + " times by itself");
      if (ends >= kEndsOfMachine) ++machines;
    }
    recorder_.Note("lists spoiled " + std::to_string(spoiled_) +
                   ", machines whose process ended three times " +
                   std::to_string(machines) + ", orders " +
                   std::to_string(group_.orders()));
    result_ = machines >= kMachines ? kBroken : 0;
  }

  // The platform starts again what has ended.
  void StartEnded() {
    for (int rank = 0; rank < kRanks; ++rank) {
      if (!agents_.agent(rank).HasEnded()) continue;
      ++ends_[rank];
      recorder_.Note("Fault: agent side-" + std::to_string(rank) +
                     " has ended by itself, by signal " +
                     std::to_string(agents_.agent(rank).signal_of_end()));
      agents_.Start(rank);
    }
  }

  Recorder recorder_;
  RankAgents agents_;
  asio::io_context io_;
  QuietGroup group_;
  std::map<int, int> ends_;  // by rank
  int spoiled_ = 0;
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
