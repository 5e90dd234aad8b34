// Stands in for a group of model engines with little traffic: it makes passes
// only while it has work. Orders may be accepted without an answer and carried
// out seconds later.
#pragma once

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "review/standins-3/tests/recorder.h"
#include "standins/raw_http.h"

namespace mangohold::review {

class QuietGroup {
 public:
  // The experts of each rank; the group has one set of layers.
  using Map = std::vector<std::vector<int>>;
  struct Options {
    std::vector<std::string> addresses;  // "ip:port", by rank
    int experts = 24;
    std::chrono::milliseconds pass{20};
    // To copy the weights of one expert.
    std::chrono::milliseconds copy{1'250};
  };
  struct Order {
    int rank = 0;
    std::string operation;
    std::uint64_t version = 0;
    std::uint64_t step = 0;
    nlohmann::json body;
  };
  // Whether an order that got no answer is carried out now, at its age.
  using IsDue = std::function<bool(std::chrono::milliseconds age)>;
  // Null: the order is answered and carried out at once.
  using Policy = std::function<IsDue(const Order& order)>;

  QuietGroup(asio::io_context& io, Options options, Recorder& recorder);

  // Changes what `picked` with `lists`, or a report, says of a rank.
  using Spoiler = std::function<std::string(int rank, std::string text)>;
  void SetSpoiler(Spoiler spoiler) { spoiler_ = std::move(spoiler); }
  void SetReportSpoiler(Spoiler spoiler) {
    report_spoiler_ = std::move(spoiler);
  }
  void SetPolicy(Policy policy) { policy_ = std::move(policy); }
  // A request arrives that takes so many passes.
  void AddWork(int passes);

  bool is_working() const { return work_ > 0 || requests_ > 0; }
  std::uint64_t pass() const { return pass_; }
  // The step that a rank holds; 0: none.
  std::uint64_t held(int rank) const { return ranks_[rank].held; }
  int holder() const;  // -1: none
  int armed() const;   // ranks that are armed
  int size() const { return static_cast<int>(ranks_.size()); }
  // Passes that began while two ranks had different maps.
  int split_passes() const { return split_passes_; }
  int orders() const { return orders_; }
  int unanswered() const { return unanswered_; }

 private:
  struct Rank {
    std::uint64_t sequence = 0;  // orders accepted
    std::uint64_t map = 0;
    Map experts;
    std::uint64_t highest = 0;   // version that it has had
    std::uint64_t prepared = 0;  // 0: none
    std::uint64_t copying = 0;
    Map next_experts;
    std::uint64_t armed = 0;
    std::uint64_t armed_at = 0;
    std::uint64_t held = 0;
    std::vector<std::int64_t> counts;
  };
  enum class Check { kBegins, kHolds, kConflict };

  void After(std::chrono::milliseconds delay, std::function<void()> task);
  void Tick();
  void BeginPass();
  asio::awaitable<void> Handle(int rank, HttpRequest request,
                               standin::Connection& connection);
  // A request of a client: a stream of one event.
  asio::awaitable<void> Generate(HttpRequest request,
                                 standin::Connection& connection);
  asio::awaitable<void> TakeOrder(int rank, HttpRequest request,
                                  standin::Connection& connection);
  // The conditions of an order hold when it is carried out, too.
  void CarryOutLate(const Order& order, const IsDue& is_due, double accepted);
  Check CheckOrder(const Order& order) const;
  Check CheckPrepare(const Order& order) const;
  void CarryOut(const Order& order);
  void Prepare(const Order& order);
  std::string ReportOf(int rank) const;
  std::string PickedOf(int rank, bool has_lists) const;

  asio::io_context& io_;
  Options options_;
  Recorder& recorder_;
  Policy policy_;
  Spoiler spoiler_;
  Spoiler report_spoiler_;
  std::vector<Rank> ranks_;
  std::uint64_t pass_ = 0;
  int work_ = 0;
  int requests_ = 0;  // of clients, in progress
  int split_passes_ = 0;
  int orders_ = 0;
  int unanswered_ = 0;
};

}  // namespace mangohold::review
