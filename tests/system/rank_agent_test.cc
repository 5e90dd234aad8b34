// Real agents beside a stand-in group of ranks: their wiring, from choices that
// ranks report to a new map in use, with leaders that die and stand still.
#include <gtest/gtest.h>

#include <asio.hpp>
#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "harness.h"
#include "standins/kv_store.h"
#include "standins/rank_group.h"

namespace mangohold::testing {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kRanks = 4;
constexpr std::uint16_t kPeerPort = 8083;
// Two of the popular experts are on rank 0 at the start.
const std::vector<double> kUneven = {0.4, 0.05, 0.05, 0.05,
                                     0.3, 0.05, 0.05, 0.05};
const std::vector<double> kShifted = {0.05, 0.4, 0.05, 0.05,
                                      0.05, 0.3, 0.05, 0.05};
constexpr double kNearlyEven = 1.3;

class RankSite {
 public:
  explicit RankSite(int late_percent) {
    const int pid = getpid();
    net_ = "127." + std::to_string(150 + pid / 250 % 30) + "." +
           std::to_string(pid % 250) + ".";
    directory_ = "/tmp/mangohold-ranks-" + std::to_string(pid);
    std::filesystem::create_directories(directory_);
    store_ = std::make_unique<standin::KvStore>(Ip(1) + ":7000");
    store_->Put("op/config", Json{{"version", 1},
                                  {"routes", Json::array()},
                                  {"services",
                                   {{{"name", "model"},
                                     {"engine",
                                      {{"slots", 8},
                                       {"sets", 1},
                                       {"experts", 8},
                                       {"placements", 4},
                                       {"spare", 2}}}}}}}
                                 .dump());
    standin::RankGroup::Options options{.late_percent = late_percent};
    for (int rank = 0; rank < kRanks; ++rank) {
      options.addresses.push_back(EngineAddress(rank));
      store_->Put("servers/i-" + std::to_string(rank),
                  Json{{"service", "model"},
                       {"address", EngineAddress(rank)},
                       {"zone", "north"},
                       {"slots", 8},
                       {"state", "ready"},
                       {"cold_remaining_ms", 0}}
                      .dump());
    }
    group_ = std::make_unique<standin::RankGroup>(options);
    group_->SetPopularity(kUneven);
    agents_.resize(kRanks);
    for (int rank = 0; rank < kRanks; ++rank) StartAgent(rank);
  }

  ~RankSite() {
    agents_.clear();
    std::filesystem::remove_all(directory_);
  }
  RankSite(const RankSite&) = delete;
  RankSite& operator=(const RankSite&) = delete;

  void StartAgent(int rank) {
    const std::string name = "agent-" + std::to_string(rank);
    const std::string file = directory_ + "/" + name + ".jsonc";
    std::ofstream(file) << Json{
        {"instance", name},
        {"zone", "north"},
        {"service", "model"},
        {"platform_url", "http://" + Ip(1) + ":7000"},
        {"backend_address", EngineAddress(rank)},
        {"peer_address", Ip(50 + rank) + ":" + std::to_string(kPeerPort)},
        {"metrics_address", Ip(50 + rank) + ":8084"}};
    agents_[rank] = std::make_unique<Process>(
        std::vector<std::string>{
            std::string(MANGOHOLD_BINARY_DIR) + "/mangohold-rank-agent",
            "--config", file},
        LogOf(rank));
  }

  standin::RankGroup& group() { return *group_; }
  Process& agent(int rank) { return *agents_[rank]; }

  // Fills the queue of datagrams that the agent hasn't read, so that later ones
  // are lost, as for a machine that stands still.
  void FillInbox(int rank) const {
    constexpr int kDatagrams = 2'000;
    asio::io_context io;
    asio::ip::udp::socket socket(io, asio::ip::udp::v4());
    const asio::ip::udp::endpoint to(asio::ip::make_address(Ip(50 + rank)),
                                     kPeerPort);
    const std::string junk(1'000, 'x');
    for (int i = 0; i < kDatagrams; ++i) socket.send_to(asio::buffer(junk), to);
  }

  // The rank whose agent began to lead last, by the term that it logged; -1:
  // none yet.
  int Leader() const { return NewestLeading().first; }
  std::uint64_t NewestTerm() const { return NewestLeading().second; }

  bool HasStoppedLeading(int rank) const {
    return HasLogged(rank, "leading_ended");
  }
  bool HasLogged(int rank, const std::string& event) const {
    std::ifstream file(LogOf(rank));
    std::stringstream text;
    text << file.rdbuf();
    return text.str().find(event) != std::string::npos;
  }
  bool HasKeptDemand() const { return store_->Has("demand/g"); }
  bool IsEven() const { return group_->skew() < kNearlyEven; }
  standin::KvStore& store() { return *store_; }

 private:
  std::pair<int, std::uint64_t> NewestLeading() const {
    int leader = -1;
    std::uint64_t newest = 0;
    for (int rank = 0; rank < kRanks; ++rank) {
      std::ifstream file(LogOf(rank));
      for (std::string line; std::getline(file, line);) {
        if (line.find("leading_began") == std::string::npos) continue;
        const Json json = Json::parse(line, nullptr, false);
        if (json.is_discarded()) continue;
        const auto term = json.at("term").get<std::uint64_t>();
        if (term <= newest) continue;
        newest = term;
        leader = rank;
      }
    }
    return {leader, newest};
  }

  std::string Ip(int last) const { return net_ + std::to_string(last); }
  std::string EngineAddress(int rank) const { return Ip(100 + rank) + ":9000"; }
  std::string LogOf(int rank) const {
    return directory_ + "/agent-" + std::to_string(rank) + ".log";
  }

  std::string net_;
  std::string directory_;
  std::unique_ptr<standin::KvStore> store_;
  std::unique_ptr<standin::RankGroup> group_;
  std::vector<std::unique_ptr<Process>> agents_;
};

TEST(RankAgent, BringsABetterMapIntoUseAndFollowsAShift) {
  RankSite site(0);
  ASSERT_TRUE(WaitFor([&] { return site.IsEven(); }));
  const std::uint64_t first = site.group().map(0);
  EXPECT_GT(first, 0U);
  site.group().SetPopularity(kShifted);
  EXPECT_FALSE(site.IsEven());
  ASSERT_TRUE(WaitFor([&] { return site.IsEven(); }));
  EXPECT_GT(site.group().map(0), first);
  EXPECT_EQ(site.group().split_passes(), 0);
}

TEST(RankAgent, ASuccessorGoesOnWhenTheLeaderDies) {
  RankSite site(0);
  ASSERT_TRUE(WaitFor([&] { return site.IsEven(); }));
  const int leader = site.Leader();
  ASSERT_GE(leader, 0);
  site.agent(leader).Kill();
  site.group().SetPopularity(kShifted);
  // The dead agent's rank switches maps too once its agent is back.
  ASSERT_TRUE(WaitFor([&] { return site.Leader() != leader; }));
  site.StartAgent(leader);
  ASSERT_TRUE(WaitFor([&] { return site.IsEven(); }));
  EXPECT_EQ(site.group().split_passes(), 0);
}

// All machines lose power. Before any request tells what is in demand, the new
// leader plans with what the one before it has kept.
TEST(RankAgent, AfterALossOfPowerTheDemandIsKnown) {
  RankSite site(0);
  ASSERT_TRUE(WaitFor([&] { return site.IsEven(); }));
  ASSERT_TRUE(WaitFor([&] { return site.HasKeptDemand(); }));
  for (int rank = 0; rank < kRanks; ++rank) site.agent(rank).Kill();
  site.group().SetPopularity(std::vector<double>(kUneven.size(), 0.0));
  site.group().FormAnew();
  EXPECT_EQ(site.group().map(0), 0U);
  for (int rank = 0; rank < kRanks; ++rank) site.StartAgent(rank);
  ASSERT_TRUE(WaitFor([&] { return site.group().map(0) > 0; }));
  site.group().SetPopularity(kUneven);
  EXPECT_TRUE(site.IsEven());
}

// The store comes back from a copy that is older than the leader's term: it
// takes a new one, and maps go on.
TEST(RankAgent, ALeaderTakesANewTermWhenTheStoreComesBackFromAnOlderCopy) {
  RankSite site(0);
  site.store().Snapshot();
  ASSERT_TRUE(WaitFor([&] { return site.IsEven(); }));
  const std::uint64_t first = site.group().map(0);
  const std::uint64_t term = site.NewestTerm();
  site.store().Restore();
  site.group().SetPopularity(kShifted);
  ASSERT_TRUE(WaitFor([&] { return site.IsEven(); }));
  EXPECT_GT(site.group().map(0), first);
  ASSERT_TRUE(WaitFor([&] { return site.NewestTerm() > term; }));
  // One that starts now, and a successor, go on in the new era.
  const int leader = site.Leader();
  site.agent(leader).Kill();
  ASSERT_TRUE(WaitFor([&] { return site.Leader() != leader; }));
  site.StartAgent(leader);
  site.group().SetPopularity(kUneven);
  ASSERT_TRUE(WaitFor([&] { return site.IsEven(); }));
  EXPECT_EQ(site.group().split_passes(), 0);
}

// Guards against a group that stands still until a successor leads, because the
// leader got SIGTERM under its own hold.
TEST(RankAgent, ALeaderThatLeavesEndsItsHoldItself) {
  RankSite site(0);
  ASSERT_TRUE(WaitFor([&] { return site.group().map(0) > 0; }));
  ASSERT_TRUE(WaitFor([&] { return !site.group().holder().has_value(); }));
  const int leader = site.Leader();
  const std::uint64_t term = site.NewestTerm();
  const std::uint64_t map = site.group().map(0);
  const int holds = site.group().orders("hold");
  site.group().SetPopularity(kShifted);
  while (site.group().orders("hold") == holds) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  site.agent(leader).Signal(SIGTERM);
  ASSERT_TRUE(WaitFor([&] { return !site.group().holder().has_value(); }));
  EXPECT_EQ(site.NewestTerm(), term) << "a successor released the hold";
  EXPECT_EQ(site.agent(leader).WaitForExit(seconds(5)), 0);
  ASSERT_TRUE(WaitFor([&] { return site.group().map(0) > map; }));
  EXPECT_EQ(site.group().split_passes(), 0);
}

// Guards against an agent that keeps what its faulty engine sends without end,
// until its machine has no memory left.
TEST(RankAgent, AnEngineThatAnswersWithoutEndDoesntFillItsAgent) {
  constexpr double kMachineMb = 112;
  constexpr int kFaulty = 1;
  RankSite site(0);
  ASSERT_TRUE(WaitFor([&] { return site.IsEven(); }));
  site.group().SetEndless(kFaulty, true);
  std::this_thread::sleep_for(seconds(2));
  EXPECT_TRUE(site.agent(kFaulty).is_running());
  EXPECT_LT(site.agent(kFaulty).peak_memory_mb(), kMachineMb);
  EXPECT_TRUE(site.HasLogged(kFaulty, "answer_too_large"));
  site.group().SetEndless(kFaulty, false);
  site.group().SetPopularity(kShifted);
  ASSERT_TRUE(WaitFor([&] { return site.IsEven(); }));
  EXPECT_EQ(site.group().split_passes(), 0);
}

// A number of an engine's answer that is wrong once: the first one after `key`.
struct WrongNumber {
  standin::RankGroup::Answer answer;
  std::string key;
  std::string value;
};

// Puts `wrong` into the first answer that has its key; into a report only while
// a pass is held.
class SpoilOnce {
 public:
  SpoilOnce(standin::RankGroup& group, WrongNumber wrong)
      : group_(group), wrong_(std::move(wrong)) {
    group_.SetSpoiler([this](auto answer, const std::string& body) {
      return Spoil(answer, body);
    });
  }
  ~SpoilOnce() { group_.SetSpoiler(nullptr); }
  SpoilOnce(const SpoilOnce&) = delete;
  SpoilOnce& operator=(const SpoilOnce&) = delete;

  bool was_told() const { return was_told_; }

 private:
  std::string Spoil(standin::RankGroup::Answer answer, std::string body) {
    constexpr std::string_view kDigits = "0123456789";
    const bool is_now = answer != standin::RankGroup::Answer::kReport ||
                        group_.holder().has_value();
    const std::size_t key = body.find(wrong_.key);
    if (was_told_ || answer != wrong_.answer || !is_now) return body;
    if (key == std::string::npos) return body;
    const std::size_t begin =
        body.find_first_of(kDigits, key + wrong_.key.size());
    if (begin == std::string::npos) return body;
    const std::size_t end = body.find_first_not_of(kDigits, begin);
    was_told_ = true;
    return body.replace(begin, end - begin, wrong_.value);
  }

  standin::RankGroup& group_;
  WrongNumber wrong_;
  std::atomic<bool> was_told_ = false;
};

// Guards against a number that an engine says wrongly once and that stops its
// group or ends an agent (issue 71, review/11 and review/14).
TEST(RankAgent, AWrongNumberEndsNoAgentAndStopsNoGroup) {
  using Answer = standin::RankGroup::Answer;
  constexpr const char* kLargest = "18446744073709551615";
  std::vector<WrongNumber> all;
  for (const char* key : {"\"epoch\":", "\"rank\":", "\"size\":", "\"step\":",
                          "\"sequence\":", "\"map\":", "\"prepared\":",
                          "\"version\":", "\"held\":", "\"running\":"}) {
    for (const char* value : {"0", "3", kLargest}) {
      all.push_back({Answer::kReport, key, value});
    }
  }
  for (const char* value : {"7", "9", "17929941", kLargest}) {
    all.push_back({Answer::kLists, "\"experts\":", value});
    all.push_back({Answer::kCounts, "\"counts\":", value});
  }
  RankSite site(0);
  ASSERT_TRUE(WaitFor([&] { return site.IsEven(); }));
  for (const WrongNumber& wrong : all) {
    const SpoilOnce spoil(site.group(), wrong);
    // So that a map is planned and switched to again.
    site.group().FormAnew();
    EXPECT_TRUE(WaitFor([&] { return spoil.was_told(); }))
        << wrong.key << wrong.value;
    EXPECT_TRUE(WaitFor([&] { return site.IsEven(); }))
        << wrong.key << wrong.value;
    EXPECT_TRUE(WaitFor([&] { return !site.group().holder().has_value(); }));
    for (int rank = 0; rank < kRanks; ++rank) {
      EXPECT_TRUE(site.agent(rank).is_running()) << wrong.key << wrong.value;
    }
  }
  EXPECT_EQ(site.group().split_passes(), 0);
}

// The machine of the leader stands still right after its hold, with the engine
// beside it, while orders come late.
TEST(RankAgent, AHoldIsReleasedWhenItsLeaderStandsStill) {
  RankSite site(40);
  ASSERT_TRUE(WaitFor([&] { return site.group().map(0) > 0; }));
  site.group().SetPopularity(kShifted);
  ASSERT_TRUE(WaitFor([&] { return site.group().holder().has_value(); }));
  const int leader = site.Leader();
  ASSERT_GE(leader, 0);
  site.agent(leader).Signal(SIGSTOP);
  site.group().SetReachable(leader, false);
  ASSERT_TRUE(WaitFor([&] { return !site.group().holder().has_value(); }));
  const std::uint64_t passes = site.group().passes();
  ASSERT_TRUE(WaitFor([&] { return site.group().passes() > passes + 20; }));
  site.group().SetReachable(leader, true);
  site.agent(leader).Signal(SIGCONT);
  ASSERT_TRUE(WaitFor([&] { return site.IsEven(); }));
  EXPECT_EQ(site.group().split_passes(), 0);
}

// Guards against a pass with two maps: a leader whose machine had stood still
// took all agents for silent when it woke, and armed their ranks over their
// heads, though a successor had undone the switch and was releasing the hold.
TEST(RankAgent, ALeaderThatWakesUpDeposedArmsNobody) {
  RankSite site(0);
  ASSERT_TRUE(WaitFor([&] { return site.group().map(0) > 0; }));
  ASSERT_TRUE(WaitFor([&] { return !site.group().holder().has_value(); }));
  // The hold is in force at once, but the leader isn't told; its release comes
  // seconds later.
  site.group().SetLate("hold", 100, milliseconds(0));
  site.group().SetLate("go", 100, seconds(5));
  const int holds = site.group().orders("hold");
  const int leader = site.Leader();
  ASSERT_GE(leader, 0);
  site.group().SetPopularity(kShifted);
  while (site.group().orders("hold") == holds) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  site.agent(leader).Signal(SIGSTOP);
  site.FillInbox(leader);
  site.group().SetReachable(leader, false);
  const int releases = site.group().orders("go");
  ASSERT_TRUE(WaitFor([&] { return site.group().orders("go") > releases; }));
  EXPECT_NE(site.Leader(), leader) << "the successor releases the hold";
  // Longer than a leader takes an agent for alive.
  std::this_thread::sleep_for(seconds(2));
  const int arms = site.group().orders("arm");
  site.group().SetReachable(leader, true);
  site.agent(leader).Signal(SIGCONT);
  ASSERT_TRUE(WaitFor([&] { return site.HasStoppedLeading(leader); }));
  EXPECT_EQ(site.group().orders("arm"), arms);
  const std::uint64_t passes = site.group().passes();
  ASSERT_TRUE(WaitFor([&] { return site.group().passes() > passes + 20; }));
  EXPECT_EQ(site.group().split_passes(), 0);
}

}  // namespace
}  // namespace mangohold::testing
