// The machine of a group's leader stands still right after its own rank has
// been armed, and the agent beside the holding rank is killed and starts again:
// does a pass begin while two ranks have different maps?
#include <algorithm>
#include <cmath>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <numeric>
#include <set>

#include "../standins/site.h"

namespace review {
namespace {

constexpr int kRanks = 12;
// Its agent starts first.
constexpr int kFirstLeader = 5;
constexpr int kSets = 3;
constexpr int kExperts = 96;
constexpr int kPlaces = 11;
constexpr int kSpare = 4;
constexpr milliseconds kPass{40};
// 780 MB at 44,000 Mbit/s.
constexpr milliseconds kCopyOfExpert{142};
constexpr double kChoicesPerPass = 400;
constexpr milliseconds kPopularityPeriod{4'000};
// The dose of the site: one machine for 4 s, and one process that starts again
// after half a second.
constexpr milliseconds kFreeze{4'000};
constexpr milliseconds kKillDelay{150};
constexpr milliseconds kRestart{500};
constexpr milliseconds kCalm{12'000};  // between two troubles
constexpr milliseconds kDuration{60'000};

using RankMap = std::vector<std::vector<int>>;  // experts by rank
using GroupMap = std::vector<RankMap>;          // by set

// A group of model engines in lock-step, as PROTOCOL.md describes it.
class Group {
 public:
  // Called when an order has armed the last rank under a hold, with its rank
  // and the holding rank, before the order is answered.
  using OnAllArmed = std::function<void(int last, int holder)>;

  Group(Record& record, OnAllArmed on_all_armed)
      : record_(record), on_all_armed_(std::move(on_all_armed)) {
    GroupMap first(kSets, RankMap(kRanks));
    for (RankMap& set : first) {
      for (int expert = 0; expert < kExperts; ++expert) {
        set[expert % kRanks].push_back(expert);
      }
    }
    ranks_.resize(kRanks);
    for (int rank = 0; rank < kRanks; ++rank) {
      ranks_[rank].map = first;
      ranks_[rank].counts.resize(std::size_t{kSets} * kExperts);
      engines_.push_back(std::make_unique<Engine>(
          "i-" + std::to_string(rank),
          [this, rank](const mangohold::HttpRequest& request, Stream& stream) {
            return Handle(rank, request, stream);
          }));
    }
    SetPopularity(0);
    passes_ = std::thread([this] { RunPasses(); });
  }
  ~Group() {
    is_ending_ = true;
    passes_.join();
  }
  Group(const Group&) = delete;
  Group& operator=(const Group&) = delete;

  const Engine& engine(int rank) const { return *engines_[rank]; }

  // The rank's engine answers nothing from now on, or answers again.
  // `stops_passes`: no pass begins meanwhile.
  void SetSilent(std::optional<int> rank, bool stops_passes) {
    const std::lock_guard lock(mutex_);
    silent_ = rank;
    is_standing_ = stops_passes;
  }
  int split_passes() const { return split_passes_; }
  int switches() const { return switches_; }

  // Other experts are liked each time.
  void SetPopularity(int round) {
    const std::lock_guard lock(mutex_);
    popularity_.assign(kExperts, 0);
    double sum = 0;
    for (int expert = 0; expert < kExperts; ++expert) {
      const int place = (expert * 37 + round * 29) % kExperts;
      sum += popularity_[expert] = std::pow(place + 1, -0.9);
    }
    for (double& part : popularity_) part /= sum;
  }

 private:
  struct Rank {
    std::uint64_t version = 0;
    GroupMap map;
    std::uint64_t highest = 0;
    std::uint64_t copied = 0;  // prepared once the copy is complete
    SteadyClock::time_point copied_at;
    GroupMap copied_map;
    std::uint64_t armed = 0;
    std::uint64_t armed_at = 0;
    std::uint64_t held = 0;
    std::vector<double> counts;
  };

  bool IsSilent(int rank) {
    const std::lock_guard lock(mutex_);
    return silent_ == rank;
  }

  static std::uint64_t PreparedOf(const Rank& rank) {
    return rank.copied_at <= SteadyClock::now() ? rank.copied : 0;
  }

  void RunPasses() {
    while (!is_ending_) {
      std::this_thread::sleep_for(kPass);
      const std::lock_guard lock(mutex_);
      const bool is_held = std::ranges::any_of(ranks_, [this](const Rank& r) {
        return r.held > 0 && r.held <= pass_ + 1;
      });
      if (!is_held && !is_standing_) BeginPass();
    }
  }

  void BeginPass() {
    ++pass_;
    bool has_switched = false;
    for (Rank& rank : ranks_) {
      if (rank.armed > 0 && rank.armed_at == pass_) {
        rank.version = std::exchange(rank.armed, 0);
        rank.map = rank.copied_map;
        rank.copied = 0;
        has_switched = true;
      }
      for (int set = 0; set < kSets; ++set) {
        for (int expert = 0; expert < kExperts; ++expert) {
          rank.counts[set * kExperts + expert] +=
              popularity_[expert] * kChoicesPerPass;
        }
      }
    }
    if (has_switched) ++switches_;
    std::map<std::uint64_t, std::vector<int>> by_version;
    for (int rank = 0; rank < kRanks; ++rank) {
      by_version[ranks_[rank].version].push_back(rank);
    }
    if (has_switched) {
      record_.Write("pass " + std::to_string(pass_) + " begins with map " +
                    std::to_string(ranks_.front().version));
    }
    if (by_version.size() == 1) return;
    if (++split_passes_ > 1) return;
    std::string text = "BROKEN: pass " + std::to_string(pass_) + " begins with";
    for (const auto& [version, ranks] : by_version) {
      text += " map " + std::to_string(version) + " at ranks";
      for (const int rank : ranks) text += " " + std::to_string(rank);
      text += ";";
    }
    record_.Write(text);
  }

  bool Handle(int index, const mangohold::HttpRequest& request,
              Stream& stream) {
    const std::string path = request.path.substr(0, request.path.find('?'));
    int status = 200;
    Json body = Json::object();
    std::optional<int> holder;
    {
      const std::lock_guard lock(mutex_);
      if (silent_ == index) return false;
      if (path == "/mangohold/report") {
        body = ReportOf(index);
      } else if (path == "/mangohold/picked") {
        body = PickedOf(index, request.path.find("lists") != std::string::npos);
      } else if (path == "/mangohold/order") {
        status = Carry(index, Json::parse(request.body), holder);
      } else {
        status = 404;
      }
    }
    if (holder) on_all_armed_(index, *holder);
    if (IsSilent(index)) return false;
    const std::string text = body.dump();
    return stream.Send("HTTP/1.1 " + std::to_string(status) +
                       " Standin\r\nContent-Type: application/json\r\n"
                       "Content-Length: " +
                       std::to_string(text.size()) + "\r\n\r\n" + text);
  }

  Json ReportOf(int index) const {
    const Rank& rank = ranks_[index];
    Json json = {
        {"phase", "unified"},
        {"busy", false},
        {"sequence", 0},
        {"queued", 0},
        {"running", 4},
        {"pace", 1.0},
        {"size", kRanks},
        {"step", pass_},
        {"map", rank.version},
        {"group",
         {{"name", "g"}, {"epoch", 1}, {"rank", index}, {"state", "open"}}}};
    if (PreparedOf(rank) > 0) json["prepared"] = rank.copied;
    if (rank.armed > 0) {
      json["armed"] = {{"version", rank.armed}, {"step", rank.armed_at}};
    }
    if (rank.held > 0) json["held"] = rank.held;
    return json;
  }

  Json PickedOf(int index, bool has_lists) const {
    const Rank& rank = ranks_[index];
    if (has_lists) {
      Json experts = Json::array();
      for (const RankMap& set : rank.map) experts.push_back(set[index]);
      return {{"map", {{"version", rank.version}, {"experts", experts}}}};
    }
    std::vector<std::int64_t> counts(rank.counts.begin(), rank.counts.end());
    return {{"step", pass_}, {"epoch", 1}, {"counts", counts}};
  }

  // The status of the answer. `holder` is set if the order has armed the last
  // rank under a hold.
  int Carry(int index, const Json& order, std::optional<int>& holder) {
    constexpr int kAccepted = 202;
    constexpr int kConflict = 409;
    Rank& rank = ranks_[index];
    const auto operation = order.at("operation").get<std::string>();
    const auto version = order.value("version", std::uint64_t{0});
    const auto pass = order.value("step", std::uint64_t{0});
    if (order.value("epoch", std::uint64_t{1}) != 1) return kConflict;
    if (operation == "prepare") {
      auto map = order.at("map").get<GroupMap>();
      const int copies = NewExperts(rank, map, index);
      if (version <= rank.highest || rank.armed > 0 || copies < 0) {
        return kConflict;
      }
      rank.highest = rank.copied = version;
      rank.copied_map = std::move(map);
      rank.copied_at = SteadyClock::now() + copies * kCopyOfExpert;
    } else if (operation == "arm") {
      if (PreparedOf(rank) != version || pass <= pass_) return kConflict;
      const bool is_new = rank.armed != version;
      rank.armed = version;
      rank.armed_at = pass;
      const bool are_all = std::ranges::all_of(
          ranks_, [version](const Rank& r) { return r.armed == version; });
      const auto held = std::ranges::find_if(
          ranks_, [](const Rank& r) { return r.held > 0; });
      if (is_new && are_all && held != ranks_.end()) {
        holder = static_cast<int>(held - ranks_.begin());
      }
    } else if (operation == "disarm") {
      if (rank.version == version) return kConflict;
      if (rank.armed == version) rank.armed = 0;
    } else if (operation == "hold") {
      const bool has_other = rank.held > 0 && rank.held != pass;
      if (pass <= pass_ || has_other) return kConflict;
      rank.held = pass;
    } else if (operation == "go") {
      if (rank.held == pass) rank.held = 0;
    } else {
      return 400;
    }
    if (operation != "prepare") {
      record_.Write("rank " + std::to_string(index) + " carries out " +
                    operation + " version " + std::to_string(version) +
                    " pass " + std::to_string(pass));
    }
    return kAccepted;
  }

  // The experts that the rank has to copy for `map`; -1 if it refuses it.
  static int NewExperts(const Rank& rank, const GroupMap& map, int index) {
    if (map.size() != kSets) return -1;
    int copies = 0;
    for (int set = 0; set < kSets; ++set) {
      const std::vector<int>& before = rank.map[set][index];
      const std::vector<int>& after = map[set].at(index);
      const auto added = std::ranges::count_if(after, [&](int expert) {
        return std::ranges::find(before, expert) == before.end();
      });
      if (added > kSpare || std::ssize(after) > kPlaces) return -1;
      copies += static_cast<int>(added);
    }
    return copies;
  }

  Record& record_;
  OnAllArmed on_all_armed_;
  std::mutex mutex_;
  std::vector<Rank> ranks_;
  std::vector<double> popularity_;
  std::uint64_t pass_ = 1;
  std::optional<int> silent_;
  bool is_standing_ = false;
  std::atomic<int> split_passes_ = 0;
  std::atomic<int> switches_ = 0;
  std::atomic<bool> is_ending_ = false;
  std::vector<std::unique_ptr<Engine>> engines_;
  std::thread passes_;
};

// What the engine of a machine that stands still does meanwhile: the pages
// leave it open. By default it answers as ever; with ENGINE=silent it answers
// nothing, and with ENGINE=still the group begins no pass either.
enum class Manner { kAnswers, kSilent, kStandsStill };

Manner EngineOfFrozen() {
  const char* text = std::getenv("ENGINE");
  const std::string manner = text == nullptr ? "" : text;
  if (manner == "silent") return Manner::kSilent;
  return manner == "still" ? Manner::kStandsStill : Manner::kAnswers;
}

// The agents, and what happens to them.
class Agents {
 public:
  Agents(Site& site, Record& record) : site_(site), record_(record) {}

  static std::string Name(int rank) { return "agent-" + std::to_string(rank); }

  bool Start(int rank, const std::string& engine) {
    engines_[rank] = engine;
    return site_.StartAgent(Name(rank), "stitch-model", engine);
  }

  // On an engine's thread. One trouble at a time.
  void OnAllArmed(Group& group, int leader, int holder) {
    const std::lock_guard lock(mutex_);
    const auto now = SteadyClock::now();
    if (!HasTrouble() || now < next_trouble_) return;
    next_trouble_ = now + kCalm;
    record_.Write("all ranks are armed, rank " + std::to_string(holder) +
                  " holds: " + Name(leader) + " stands still");
    site_.program(Name(leader)).Signal(SIGSTOP);
    if (EngineOfFrozen() != Manner::kAnswers) {
      group.SetSilent(leader, EngineOfFrozen() == Manner::kStandsStill);
    }
    wake_ = {leader, now + kFreeze};
    kill_ = {holder, now + kKillDelay};
  }

  void Tick(Group& group) {
    const std::lock_guard lock(mutex_);
    const auto now = SteadyClock::now();
    if (kill_ && now >= kill_->second) {
      const int rank = kill_->first;
      kill_.reset();
      record_.Write(Name(rank) + " is killed");
      site_.program(Name(rank)).Signal(SIGKILL);
      restart_ = {rank, now + kRestart};
    }
    if (restart_ && now >= restart_->second) {
      const int rank = restart_->first;
      restart_.reset();
      record_.Write(Name(rank) + " starts again");
      site_.RestartAgent(Name(rank));
    }
    if (wake_ && now >= wake_->second) {
      record_.Write(Name(wake_->first) + " wakes again");
      group.SetSilent(std::nullopt, false);
      site_.program(Name(wake_->first)).Signal(SIGCONT);
      wake_.reset();
    }
  }

 private:
  using Due = std::pair<int, SteadyClock::time_point>;

  Site& site_;
  Record& record_;
  std::mutex mutex_;
  std::map<int, std::string> engines_;
  SteadyClock::time_point next_trouble_ = SteadyClock::now() + kCalm / 2;
  std::optional<Due> wake_;
  std::optional<Due> kill_;
  std::optional<Due> restart_;
};

int Run(const std::string& folder, const std::string& record_file) {
  Record record(record_file);
  Site site(folder, record);
  site.PutModelConfig("stitch-model", {{"slots", 12},
                                       {"kv_capacity_tokens", 372'000},
                                       {"stride", 5},
                                       {"step_ms", 5.85},
                                       {"sets", kSets},
                                       {"experts", kExperts},
                                       {"placements", kPlaces},
                                       {"spare", kSpare},
                                       {"expert_mb", 780.0}});
  Agents agents(site, record);
  Group* of_agents = nullptr;
  Group group(record, [&agents, &of_agents](int last, int holder) {
    agents.OnAllArmed(*of_agents, last, holder);
  });
  of_agents = &group;
  for (int rank = 0; rank < kRanks; ++rank) {
    site.PutEngine(group.engine(rank), "stitch-model", 12);
  }
  for (int i = 0; i < kRanks; ++i) {
    const int rank = (i + kFirstLeader) % kRanks;
    if (!agents.Start(rank, group.engine(rank).address())) return kCouldNotRun;
  }
  const auto begin = SteadyClock::now();
  auto next_round = begin;
  int round = 0;
  while (SteadyClock::now() - begin < kDuration && group.split_passes() == 0) {
    if (SteadyClock::now() >= next_round) {
      group.SetPopularity(++round);
      next_round += kPopularityPeriod;
    }
    agents.Tick(group);
    std::this_thread::sleep_for(milliseconds(5));
  }
  std::this_thread::sleep_for(milliseconds(200));
  const std::string summary =
      std::to_string(group.switches()) + " passes with a new map, " +
      std::to_string(group.split_passes()) + " passes with two maps";
  record.Write(summary);
  std::cout << summary << '\n';
  if (group.split_passes() > 0) return kBroken;
  return group.switches() > 0 ? kHeld : kCouldNotRun;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 3) return review::kCouldNotRun;
  return review::Run(argv[1], argv[2]);
}
