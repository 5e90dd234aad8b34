#include "standins/rank_group.h"

#include <algorithm>
#include <numeric>

namespace mangohold::standin {
namespace {

using Json = nlohmann::json;

constexpr int kAccepted = 202;
constexpr int kConflict = 409;
constexpr int kNotFound = 404;
constexpr double kChoicesPerPass = 400;

}  // namespace

RankGroup::RankGroup(Options options)
    : options_(std::move(options)), random_(options_.seed) {
  const std::size_t size = options_.addresses.size();
  ranks_.resize(size);
  popularity_.assign(static_cast<std::size_t>(options_.experts),
                     1.0 / options_.experts);
  DealOut();
  for (std::size_t rank = 0; rank < size; ++rank) {
    Serve(io_, options_.addresses[rank],
          [this, rank](HttpRequest request, Connection& connection) {
            return Handle(static_cast<int>(rank), std::move(request),
                          connection);
          });
  }
  asio::co_spawn(io_, RunPasses(), asio::detached);
  thread_ = std::thread([this] { io_.run(); });
}

void RankGroup::DealOut() {
  Map dealt(ranks_.size());
  for (int expert = 0; expert < options_.experts; ++expert) {
    dealt[static_cast<std::size_t>(expert) % dealt.size()].push_back(expert);
  }
  for (Rank& rank : ranks_) {
    rank = Rank();
    rank.experts = dealt;
    rank.counts.resize(static_cast<std::size_t>(options_.experts));
  }
}

void RankGroup::FormAnew() {
  const std::lock_guard lock(mutex_);
  ++epoch_;
  DealOut();
}

RankGroup::~RankGroup() {
  io_.stop();
  thread_.join();
}

void RankGroup::SetPopularity(std::vector<double> popularity) {
  const std::lock_guard lock(mutex_);
  popularity_ = std::move(popularity);
}

void RankGroup::SetReachable(int rank, bool is_reachable) {
  const std::lock_guard lock(mutex_);
  ranks_[rank].is_reachable = is_reachable;
}

void RankGroup::SetEndless(int rank, bool is_endless) {
  const std::lock_guard lock(mutex_);
  ranks_[rank].is_endless = is_endless;
}

void RankGroup::SetLate(const std::string& operation, int percent,
                        std::chrono::milliseconds lateness) {
  const std::lock_guard lock(mutex_);
  late_[operation] = {.percent = percent, .by = lateness};
}

RankGroup::Lateness RankGroup::LatenessOf(const std::string& operation) const {
  const auto it = late_.find(operation);
  if (it != late_.end()) return it->second;
  return {.percent = options_.late_percent, .by = options_.lateness};
}

int RankGroup::orders(const std::string& operation) const {
  const std::lock_guard lock(mutex_);
  const auto it = orders_.find(operation);
  return it == orders_.end() ? 0 : it->second;
}

std::uint64_t RankGroup::map(int rank) const {
  const std::lock_guard lock(mutex_);
  return ranks_[rank].map;
}

std::optional<std::uint64_t> RankGroup::holder() const {
  const std::lock_guard lock(mutex_);
  const auto it = std::ranges::find_if(
      ranks_, [](const Rank& rank) { return rank.held > 0; });
  if (it == ranks_.end()) return std::nullopt;
  return static_cast<std::uint64_t>(it - ranks_.begin());
}

std::uint64_t RankGroup::passes() const {
  const std::lock_guard lock(mutex_);
  return pass_;
}

int RankGroup::split_passes() const {
  const std::lock_guard lock(mutex_);
  return split_passes_;
}

double RankGroup::skew() const {
  const std::lock_guard lock(mutex_);
  std::vector<int> holders(popularity_.size());
  for (std::size_t rank = 0; rank < ranks_.size(); ++rank) {
    for (const int expert : ranks_[rank].experts[rank]) ++holders[expert];
  }
  double most = 0;
  for (std::size_t rank = 0; rank < ranks_.size(); ++rank) {
    double load = 0;
    for (const int expert : ranks_[rank].experts[rank]) {
      load += popularity_[expert] / holders[expert];
    }
    most = std::max(most, load);
  }
  return most * static_cast<double>(ranks_.size());
}

asio::awaitable<void> RankGroup::RunPasses() {
  for (;;) {
    co_await Sleep(options_.pass);
    const std::lock_guard lock(mutex_);
    BeginPass();
  }
}

// A pass that a rank holds doesn't begin. All ranks choose experts in each one.
void RankGroup::BeginPass() {
  const std::uint64_t next = pass_ + 1;
  if (std::ranges::any_of(ranks_, [next](const Rank& rank) {
        return rank.held > 0 && rank.held <= next;
      })) {
    return;
  }
  pass_ = next;
  for (Rank& rank : ranks_) {
    if (rank.armed > 0 && rank.armed_at == pass_) {
      rank.map = std::exchange(rank.armed, 0);
      rank.prepared = 0;
      rank.experts = rank.prepared_experts;
    }
    for (std::size_t expert = 0; expert < popularity_.size(); ++expert) {
      rank.counts[expert] += popularity_[expert] * kChoicesPerPass;
    }
  }
  const bool is_split = std::ranges::any_of(ranks_, [this](const Rank& rank) {
    return rank.map != ranks_.front().map;
  });
  if (is_split) ++split_passes_;
}

int RankGroup::Carry(Rank& rank, const Json& order) {
  const auto operation = order.at("operation").get<std::string>();
  const auto version = order.value("version", std::uint64_t{0});
  const auto pass = order.value("step", std::uint64_t{0});
  if (order.at("epoch").get<std::uint64_t>() != epoch_) return kConflict;
  if (operation == "prepare") {
    if (version <= rank.highest || rank.armed > 0) return kConflict;
    rank.highest = version;
    rank.prepared = version;
    // One set of layers.
    rank.prepared_experts = order.at("map").at(0).get<Map>();
  } else if (operation == "arm") {
    if (rank.prepared != version || pass <= pass_) return kConflict;
    rank.armed = version;
    rank.armed_at = pass;
  } else if (operation == "disarm") {
    if (rank.map == version) return kConflict;
    if (rank.armed == version) rank.armed = 0;
  } else if (operation == "hold") {
    if (pass <= pass_ || (rank.held > 0 && rank.held != pass)) return kConflict;
    rank.held = pass;
  } else if (operation == "go") {
    if (rank.held == pass) rank.held = 0;
  }
  return kAccepted;
}

void RankGroup::SetSpoiler(Spoiler spoiler) {
  const std::lock_guard lock(mutex_);
  spoiler_ = std::move(spoiler);
}

std::string RankGroup::Spoil(Answer answer, const std::string& body) const {
  return spoiler_ ? spoiler_(answer, body) : body;
}

std::string RankGroup::ReportOf(int index) const {
  const Rank& rank = ranks_[index];
  Json json = {
      {"sequence", 0},
      {"running", 1},
      {"size", ranks_.size()},
      {"step", pass_},
      {"map", rank.map},
      {"group",
       {{"name", "g"}, {"epoch", epoch_}, {"rank", index}, {"state", "open"}}}};
  if (rank.prepared > 0) json["prepared"] = rank.prepared;
  if (rank.held > 0) json["held"] = rank.held;
  if (rank.armed > 0) {
    json["armed"] = {{"version", rank.armed}, {"step", rank.armed_at}};
  }
  return json.dump();
}

std::string RankGroup::PickedOf(int index, bool has_lists) const {
  const Rank& rank = ranks_[index];
  if (has_lists) {
    const Json experts = {rank.experts[index]};
    return Json{{"map", {{"version", rank.map}, {"experts", experts}}}}.dump();
  }
  std::vector<std::int64_t> counts(rank.counts.size());
  std::ranges::transform(rank.counts, counts.begin(), [](double count) {
    return static_cast<std::int64_t>(count);
  });
  return Json{{"step", pass_}, {"epoch", epoch_}, {"counts", counts}}.dump();
}

asio::awaitable<void> RankGroup::CarryLate(int rank, Json order,
                                           std::chrono::milliseconds lateness) {
  co_await Sleep(lateness);
  const std::lock_guard lock(mutex_);
  Carry(ranks_[rank], order);
}

asio::awaitable<void> RankGroup::Handle(int rank, HttpRequest request,
                                        Connection& connection) {
  int status = 200;
  std::string body;
  bool has_answer = true;
  bool is_endless = false;
  {
    const std::lock_guard lock(mutex_);
    is_endless = ranks_[rank].is_endless;
    has_answer = ranks_[rank].is_reachable;
    if (!has_answer || is_endless) {
      // Nothing is carried out either.
    } else if (request.path == "/mangohold/report") {
      body = Spoil(Answer::kReport, ReportOf(rank));
    } else if (request.path.starts_with("/mangohold/picked")) {
      const bool has_lists = !request.QueryValue("lists").empty();
      body = Spoil(has_lists ? Answer::kLists : Answer::kCounts,
                   PickedOf(rank, has_lists));
    } else if (request.path == "/mangohold/order") {
      const Json order = Json::parse(request.body);
      const auto operation = order.at("operation").get<std::string>();
      const Lateness lateness = LatenessOf(operation);
      ++orders_[operation];
      if (static_cast<int>(random_.Below(100)) < lateness.percent) {
        asio::co_spawn(io_, CarryLate(rank, order, lateness.by),
                       asio::detached);
        has_answer = false;
      } else {
        status = Carry(ranks_[rank], order);
        body = "{}";
      }
    } else {
      status = kNotFound;
    }
  }
  if (is_endless) {
    co_await connection.Send("HTTP/1.1 200 OK\r\n\r\n");
    // Ends by the error of a write once the peer has closed.
    while (true) co_await connection.Send(std::string(64U << 10U, ' '));
  }
  if (!has_answer) {
    constexpr std::chrono::milliseconds kPatience(2'000);
    co_await connection.IsClosedWithin(kPatience);
    connection.Drop();
    co_return;
  }
  co_await connection.Reply(status, "application/json", body);
}

}  // namespace mangohold::standin
