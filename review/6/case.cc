// Agents beside the twelve engines of one group. The engine of the rank that
// holds a pass leaves its orders unanswered for two seconds and carries them
// out two seconds late; meanwhile the leader's process is killed and starts
// again. The rule MAP is broken where a pass begins while two ranks have
// different maps.
#include <cstdlib>
#include <cstring>
#include <fstream>

#include "rank_engines.h"

namespace mangohold::review {
namespace {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr char kAgentProgram[] = "target/mangohold-rank-agent";
constexpr int kRanks = 12;
constexpr int kLeader = 0;
constexpr int kHolder = 1;  // of the passes of the switches that rank 0 leads
// The disruptions: orders to one engine are carried out late, and the leader's
// process is killed once and started again.
constexpr milliseconds kLateness{2'000};
constexpr milliseconds kUnanswered{2'200};
constexpr milliseconds kKillAfter{50};
constexpr milliseconds kRestartAfter{300};

class Trouble {
 public:
  explicit Trouble(bool is_on) : is_on_(is_on) {}

  // Counted are the orders of the switch from its begin to the end of the
  // lateness, which begins with the release of the hold.
  milliseconds LatenessOf(int rank, const std::string& operation) {
    const std::lock_guard lock(mutex_);
    if (!is_on_ || !is_due_) return milliseconds(0);
    const bool is_over = began_ && Clock::now() - *began_ >= kUnanswered;
    if (!is_over) ++orders_;
    if (is_over || rank != kHolder) return milliseconds(0);
    if (!began_ && operation == "go") began_ = Clock::now();
    if (!began_) return milliseconds(0);
    ++late_orders_;
    return kLateness;
  }
  void MakeDue() {
    const std::lock_guard lock(mutex_);
    is_due_ = true;
  }
  std::string Share() {
    const std::lock_guard lock(mutex_);
    return std::to_string(late_orders_) + " of " + std::to_string(orders_);
  }
  bool HasBegun() {
    const std::lock_guard lock(mutex_);
    return began_.has_value();
  }

 private:
  bool is_on_;
  bool is_due_ = false;
  int orders_ = 0;
  int late_orders_ = 0;
  std::mutex mutex_;
  std::optional<Clock::time_point> began_;
};

std::unique_ptr<Program> StartAgent(const SmallSite& site, int rank) {
  const std::string name = "side-" + std::to_string(rank);
  const std::string file = site.directory() + "/" + name + ".jsonc";
  const std::string ip = site.Ip(50 + rank);
  std::ofstream(file) << Json{
      {"instance", name},
      {"zone", "gl-north"},
      {"service", "stitch-model"},
      {"platform_url", "http://" + site.Ip(1) + ":7000"},
      {"backend_address", site.Ip(100 + rank) + ":9000"},
      {"peer_address", ip + ":7355"},
      {"metrics_address", ip + ":9465"},
      {"link_mbps", 20}};
  const char* kept = std::getenv("REVIEW_LOGS");
  const std::string log =
      (kept == nullptr ? site.directory() : std::string(kept)) + "/" + name +
      ".log";
  return std::make_unique<Program>(kAgentProgram, file, log);
}

void PutModel(SmallSite& site) {
  const Json engine = {{"slots", 12},         {"kv_capacity_tokens", 372'000},
                       {"stride", 5},         {"step_ms", 5.85},
                       {"per_seq_ms", 0.355}, {"read_per_s", 61'200.0},
                       {"sets", 3},           {"experts", 96},
                       {"placements", 11},    {"spare", 4},
                       {"expert_mb", 780.0}};
  site.store().Put("op/config", Json{{"version", 1},
                                     {"routes", Json::array()},
                                     {"services",
                                      {{{"name", "stitch-model"},
                                        {"max_connections", 328},
                                        {"engine", engine}}}}}
                                    .dump());
  for (int rank = 0; rank < kRanks; ++rank) {
    site.ListServer("i-" + std::to_string(rank), "stitch-model",
                    site.Ip(100 + rank) + ":9000", "gl-north", 12);
  }
}

bool WaitFor(const std::function<bool()>& condition, milliseconds limit) {
  const auto end = Clock::now() + limit;
  while (Clock::now() < end) {
    if (condition()) return true;
    Pause(milliseconds(20));
  }
  return false;
}

int Run(const std::string& file, bool has_trouble) {
  Record record(file);
  record.Add(has_trouble ? "with the disruption" : "without the disruption");
  SmallSite site(record);
  Trouble trouble(has_trouble);
  RankEngines::Options options;
  for (int rank = 0; rank < kRanks; ++rank) {
    options.ips.push_back(site.Ip(100 + rank));
  }
  RankEngines engines(options, record,
                      [&trouble](int rank, const std::string& operation) {
                        return trouble.LatenessOf(rank, operation);
                      });
  PutModel(site);
  // The agent of rank 0 starts first, so that it leads.
  std::vector<std::unique_ptr<Program>> agents(kRanks);
  agents[kLeader] = StartAgent(site, kLeader);
  if (!WaitFor([&site] { return site.store().Has("leaders/g"); },
               milliseconds(10'000))) {
    return 2;
  }
  for (int rank = 1; rank < kRanks; ++rank) {
    agents[static_cast<std::size_t>(rank)] = StartAgent(site, rank);
  }
  if (!WaitFor([&engines] { return engines.switches() >= 1; },
               milliseconds(30'000))) {
    return 2;
  }
  record.Add("first switch done; other experts are liked now");
  trouble.MakeDue();
  engines.SetLiked(5);
  if (has_trouble) {
    if (!WaitFor([&trouble] { return trouble.HasBegun(); },
                 milliseconds(30'000))) {
      return 2;
    }
    record.Add("engine 1 leaves orders unanswered from now on; all ranks " +
               std::string(engines.AreAllArmed() ? "are" : "aren't") +
               " armed");
    Pause(kKillAfter);
    agents[kLeader]->Kill();
    record.Add("SIGKILL to the leader's process, side-0");
    Pause(kRestartAfter);
    agents[kLeader] = StartAgent(site, kLeader);
    record.Add("side-0 is started again");
  }
  Pause(milliseconds(15'000));
  if (has_trouble) {
    record.Add("orders left unanswered and carried out late: " +
               trouble.Share());
  }
  record.Add("passes " + std::to_string(engines.passes()) + ", switches " +
             std::to_string(engines.switches()) +
             ", passes begun with different maps " +
             std::to_string(engines.split_passes()));
  return engines.split_passes() > 0 ? 1 : 0;
}

}  // namespace
}  // namespace mangohold::review

int main(int argc, char** argv) {
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::strcmp(trouble, "0") != 0;
  return argc < 2 ? 2 : mangohold::review::Run(argv[1], has_trouble);
}
