// Model engines that are the ranks of one group in lock-step, as PROTOCOL.md
// has them: reports, counts, lists and orders, whose `expect` counts. A script
// decides which orders an engine leaves unanswered and carries out later.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "small_site.h"

namespace mangohold::review {

class RankEngines {
 public:
  struct Options {
    std::vector<std::string> ips;  // of the engines, by rank
    int port = 9000;
    int sets = 3;
    int experts = 96;  // of each set
    int places = 11;   // of each rank and set
    int spare = 4;
    milliseconds pass{40};
    milliseconds copy{100};  // of the experts that are new to a rank
  };
  // Called with the rank and the operation of each order as it arrives. How
  // much later it is carried out, without an answer; 0: at once.
  using LatenessOf = std::function<milliseconds(int, const std::string&)>;

  RankEngines(Options options, Record& record, LatenessOf lateness_of);
  ~RankEngines();
  RankEngines(const RankEngines&) = delete;
  RankEngines& operator=(const RankEngines&) = delete;

  // An idle group makes no passes.
  void SetBusy(bool is_busy);
  // From now on the experts that map 0 gives to this rank are liked most.
  void SetLiked(int rank);
  // Passes that began while two ranks had different maps.
  int split_passes() const;
  std::uint64_t passes() const;
  // Switches that all ranks have made.
  int switches() const;
  bool AreAllArmed() const;

 private:
  using Sets = std::vector<std::vector<int>>;              // experts by set
  using Map = std::vector<std::vector<std::vector<int>>>;  // by set and rank
  struct Rank {
    std::uint64_t map = 0;
    Map experts;
    std::uint64_t sequence = 0;
    std::uint64_t highest = 0;  // version it has had
    std::uint64_t prepared = 0;
    std::chrono::steady_clock::time_point prepared_at;
    Map prepared_experts;
    std::uint64_t armed = 0;
    std::uint64_t armed_at = 0;
    std::uint64_t held = 0;
    std::vector<double> counts;
  };

  void Handle(int rank, const Message& request, Stream& stream);
  int CarryOut(int rank, const nlohmann::json& order, const char* when);
  int Apply(Rank& rank, const nlohmann::json& order);
  int Prepare(Rank& rank, const nlohmann::json& order);
  nlohmann::json ReportOf(int rank) const;
  void BeginPass();
  void NoteMaps();

  Options options_;
  Record& record_;
  LatenessOf lateness_of_;
  mutable std::mutex mutex_;
  std::vector<Rank> ranks_;
  std::vector<double> liking_;  // of the experts of each set
  std::uint64_t pass_ = 1;
  bool is_busy_ = true;
  int split_passes_ = 0;
  int switches_ = 0;
  std::atomic<bool> is_ended_ = false;
  std::vector<std::unique_ptr<Server>> servers_;
  std::vector<std::thread> late_;
  std::thread passes_;
};

}  // namespace mangohold::review
