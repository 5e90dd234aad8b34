// A stand-in of a group of model engines in lock-step, speaking the platform's
// reports and orders, with the faults that tests need.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "core/random.h"
#include "standins/raw_http.h"

namespace mangohold::standin {

class RankGroup {
 public:
  struct Options {
    std::vector<std::string> addresses;  // "ip:port" of each rank
    int experts = 8;
    int places = 4;
    std::chrono::milliseconds pass{20};
    // Of 100 orders, those that get no answer and are carried out `lateness`
    // later.
    int late_percent = 0;
    std::chrono::milliseconds lateness{700};
    std::uint64_t seed = 1;
  };

  explicit RankGroup(Options options);
  ~RankGroup();
  RankGroup(const RankGroup&) = delete;
  RankGroup& operator=(const RankGroup&) = delete;

  // The part of all choices that each expert gets.
  void SetPopularity(std::vector<double> popularity);
  // The rank's engine answers nothing, as if its machine stood still.
  void SetReachable(int rank, bool is_reachable);

  // The rank's engine answers everything by bytes without end.
  void SetEndless(int rank, bool is_endless);

  // What an engine answers to a question of its state.
  enum class Answer { kReport, kCounts, kLists };
  // Sets what becomes of each such answer. Called with the group locked.
  using Spoiler =
      std::function<std::string(Answer answer, const std::string& body)>;
  void SetSpoiler(Spoiler spoiler);

  // From now on, of 100 orders of this kind so many get no answer and are
  // carried out `lateness` later.
  void SetLate(const std::string& operation, int percent,
               std::chrono::milliseconds lateness);
  // Orders of this kind that have arrived.
  int orders(const std::string& operation) const;

  // All engines start again, with the map dealt out at the start.
  void FormAnew();

  std::uint64_t map(int rank) const;
  std::optional<std::uint64_t> holder() const;  // the rank that holds, if any
  std::uint64_t passes() const;
  // Passes that were begun with two maps.
  int split_passes() const;
  // The most loaded rank's choices over the mean, by the maps in use.
  double skew() const;

 private:
  using Map = std::vector<std::vector<int>>;  // experts by rank
  struct Lateness {
    int percent = 0;
    std::chrono::milliseconds by{0};
  };
  struct Rank {
    std::uint64_t map = 0;
    Map experts;
    std::uint64_t highest = 0;  // version it has had
    std::uint64_t prepared = 0;
    Map prepared_experts;
    std::uint64_t armed = 0;
    std::uint64_t armed_at = 0;
    std::uint64_t held = 0;
    std::vector<double> counts;
    bool is_reachable = true;
    bool is_endless = false;
  };

  asio::awaitable<void> Handle(int rank, HttpRequest request,
                               Connection& connection);
  asio::awaitable<void> RunPasses();
  asio::awaitable<void> CarryLate(int rank, nlohmann::json order,
                                  std::chrono::milliseconds lateness);
  Lateness LatenessOf(const std::string& operation) const;
  void DealOut();
  void BeginPass();
  int Carry(Rank& rank, const nlohmann::json& order);
  std::string Spoil(Answer answer, const std::string& body) const;
  std::string ReportOf(int rank) const;
  std::string PickedOf(int rank, bool has_lists) const;

  Options options_;
  mutable std::recursive_mutex mutex_;
  Random random_;
  Spoiler spoiler_;
  std::vector<Rank> ranks_;
  std::vector<double> popularity_;
  std::uint64_t epoch_ = 1;
  std::uint64_t pass_ = 1;
  int split_passes_ = 0;
  std::map<std::string, Lateness> late_;  // by operation
  std::map<std::string, int> orders_;     // by operation
  asio::io_context io_;
  std::thread thread_;
};

}  // namespace mangohold::standin
