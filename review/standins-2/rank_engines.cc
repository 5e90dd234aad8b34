#include "rank_engines.h"

#include <algorithm>
#include <utility>

namespace mangohold::review {
namespace {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kBad = 400;
constexpr int kConflict = 409;
constexpr std::uint64_t kEpoch = 1;
constexpr double kChoicesPerPass = 40;

std::string Text(int status, const Json& body) {
  const std::string text = body.dump();
  return "HTTP/1.1 " + std::to_string(status) +
         " Standin\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(text.size()) + "\r\n\r\n" + text;
}

}  // namespace

RankEngines::RankEngines(Options options, Record& record,
                         LatenessOf lateness_of)
    : options_(std::move(options)),
      record_(record),
      lateness_of_(std::move(lateness_of)),
      ranks_(options_.ips.size()) {
  Map dealt(static_cast<std::size_t>(options_.sets), Sets(ranks_.size()));
  for (auto& set : dealt) {
    for (int expert = 0; expert < options_.experts; ++expert) {
      set[static_cast<std::size_t>(expert) % ranks_.size()].push_back(expert);
    }
  }
  for (Rank& rank : ranks_) {
    rank.experts = dealt;
    rank.counts.resize(static_cast<std::size_t>(options_.sets) *
                       static_cast<std::size_t>(options_.experts));
  }
  SetLiked(0);
  for (std::size_t i = 0; i < ranks_.size(); ++i) {
    const int rank = static_cast<int>(i);
    servers_.push_back(std::make_unique<Server>(
        options_.ips[i], options_.port,
        [this, rank](const Message& request, Stream& stream) {
          Handle(rank, request, stream);
        }));
  }
  passes_ = std::thread([this] {
    while (!is_ended_) {
      Pause(options_.pass);
      BeginPass();
    }
  });
}

RankEngines::~RankEngines() {
  is_ended_ = true;
  passes_.join();
  servers_.clear();
  for (std::thread& thread : late_) thread.join();
}

void RankEngines::SetBusy(bool is_busy) {
  const std::lock_guard lock(mutex_);
  is_busy_ = is_busy;
}

void RankEngines::SetLiked(int rank) {
  const std::lock_guard lock(mutex_);
  const int size = static_cast<int>(ranks_.size());
  liking_.assign(static_cast<std::size_t>(options_.experts), 1.0);
  for (int expert = rank; expert < options_.experts; expert += size) {
    liking_[static_cast<std::size_t>(expert)] = 6.0;
  }
}

int RankEngines::split_passes() const {
  const std::lock_guard lock(mutex_);
  return split_passes_;
}

std::uint64_t RankEngines::passes() const {
  const std::lock_guard lock(mutex_);
  return pass_;
}

int RankEngines::switches() const {
  const std::lock_guard lock(mutex_);
  return switches_;
}

bool RankEngines::AreAllArmed() const {
  const std::lock_guard lock(mutex_);
  return std::ranges::all_of(ranks_,
                             [](const Rank& rank) { return rank.armed > 0; });
}

// A pass that some rank holds doesn't begin.
void RankEngines::BeginPass() {
  const std::lock_guard lock(mutex_);
  const std::uint64_t next = pass_ + 1;
  const bool is_held = std::ranges::any_of(ranks_, [next](const Rank& rank) {
    return rank.held > 0 && rank.held <= next;
  });
  if (is_held || !is_busy_) return;
  pass_ = next;
  bool has_switched = false;
  for (Rank& rank : ranks_) {
    if (rank.armed > 0 && rank.armed_at == pass_) {
      rank.map = std::exchange(rank.armed, 0);
      rank.prepared = 0;
      rank.experts = rank.prepared_experts;
      has_switched = true;
    }
    for (std::size_t i = 0; i < rank.counts.size(); ++i) {
      rank.counts[i] +=
          liking_[i % liking_.size()] * kChoicesPerPass / options_.experts;
    }
  }
  const bool is_split = std::ranges::any_of(ranks_, [this](const Rank& rank) {
    return rank.map != ranks_.front().map ||
           rank.experts != ranks_.front().experts;
  });
  if (is_split) ++split_passes_;
  if (has_switched) {
    ++switches_;
    NoteMaps();
  }
}

void RankEngines::NoteMaps() {
  std::string line = "pass " + std::to_string(pass_) + " begins with the maps";
  for (const Rank& rank : ranks_) line += " " + std::to_string(rank.map);
  record_.Add(line);
}

Json RankEngines::ReportOf(int index) const {
  const Rank& rank = ranks_[static_cast<std::size_t>(index)];
  Json json = {
      {"phase", "unified"},
      {"busy", false},
      {"sequence", rank.sequence},
      {"queued", 0},
      {"running", is_busy_ ? 2 : 0},
      {"kv_used", 0},
      {"kv_total", 372'000},
      {"handles", 0},
      {"pace", 1.0},
      {"size", ranks_.size()},
      {"step", pass_},
      {"map", rank.map},
      {"group",
       {{"name", "g"}, {"epoch", kEpoch}, {"rank", index}, {"state", "open"}}}};
  if (rank.prepared > 0 && Clock::now() >= rank.prepared_at) {
    json["prepared"] = rank.prepared;
  }
  if (rank.armed > 0) {
    json["armed"] = {{"version", rank.armed}, {"step", rank.armed_at}};
  }
  if (rank.held > 0) json["held"] = rank.held;
  return json;
}

int RankEngines::Prepare(Rank& rank, const Json& order) {
  const auto version = order.at("version").get<std::uint64_t>();
  if (rank.prepared == version) return kOk;
  if (version <= rank.highest || rank.armed > 0) return kConflict;
  const auto map = order.at("map").get<Map>();
  const auto own = static_cast<std::size_t>(&rank - ranks_.data());
  bool has_new = false;
  for (std::size_t set = 0; set < map.size(); ++set) {
    const auto& before = rank.experts[set][own];
    const auto is_new = [&before](int expert) {
      return std::ranges::find(before, expert) == before.end();
    };
    const auto count = std::ranges::count_if(map[set][own], is_new);
    if (count > options_.spare) return kConflict;
    has_new = has_new || count > 0;
  }
  rank.highest = version;
  rank.prepared = version;
  rank.prepared_experts = map;
  rank.prepared_at = Clock::now() + (has_new ? options_.copy : milliseconds(0));
  return kAccepted;
}

int RankEngines::Apply(Rank& rank, const Json& order) {
  const auto operation = order.at("operation").get<std::string>();
  const auto version = order.value("version", std::uint64_t{0});
  const auto step = order.value("step", std::uint64_t{0});
  if (operation == "prepare") return Prepare(rank, order);
  if (operation == "arm") {
    if (rank.armed == version && rank.armed_at == step) return kOk;
    const bool is_prepared =
        rank.prepared == version && Clock::now() >= rank.prepared_at;
    if (!is_prepared || step <= pass_) return kConflict;
    rank.armed = version;
    rank.armed_at = step;
    return kAccepted;
  }
  if (operation == "disarm") {
    if (rank.map == version) return kConflict;
    if (rank.armed != version) return kOk;
    rank.armed = 0;
    return kAccepted;
  }
  if (operation == "hold") {
    if (rank.held == step) return kOk;
    if (rank.held > 0 || step <= pass_) return kConflict;
    rank.held = step;
    return kAccepted;
  }
  if (operation != "go") return kBad;
  if (rank.held != step) return kOk;
  rank.held = 0;
  return kAccepted;
}

int RankEngines::CarryOut(int index, const Json& order, const char* when) {
  const std::lock_guard lock(mutex_);
  Rank& rank = ranks_[static_cast<std::size_t>(index)];
  const bool is_other_epoch = order.value("epoch", kEpoch) != kEpoch;
  const bool is_unexpected =
      order.value("expect", rank.sequence) != rank.sequence;
  const int status =
      is_other_epoch || is_unexpected ? kConflict : Apply(rank, order);
  if (status == kAccepted) ++rank.sequence;
  Json shown = order;
  shown.erase("map");
  record_.Add("engine " + std::to_string(index) + " " + when + ": " +
              shown.dump() + " -> " + std::to_string(status));
  return status;
}

void RankEngines::Handle(int rank, const Message& request, Stream& stream) {
  const std::string& line = request.first_line;
  if (line.starts_with("GET /mangohold/report")) {
    std::unique_lock lock(mutex_);
    const Json report = ReportOf(rank);
    lock.unlock();
    stream.Write(Text(kOk, report));
  } else if (line.starts_with("GET /mangohold/picked")) {
    std::unique_lock lock(mutex_);
    const Rank& own = ranks_[static_cast<std::size_t>(rank)];
    Json body;
    if (line.find("lists") != std::string::npos) {
      Sets lists;
      for (const auto& set : own.experts) {
        lists.push_back(set[static_cast<std::size_t>(rank)]);
      }
      body["map"] = {{"version", own.map}, {"experts", lists}};
    } else {
      std::vector<std::int64_t> counts;
      std::ranges::transform(
          own.counts, std::back_inserter(counts),
          [](double count) { return static_cast<std::int64_t>(count); });
      body = {{"step", pass_}, {"epoch", kEpoch}, {"counts", counts}};
    }
    lock.unlock();
    stream.Write(Text(kOk, body));
  } else if (line.starts_with("POST /mangohold/order")) {
    const Json order = Json::parse(request.body, nullptr, false);
    if (!order.is_object() || !order.contains("operation")) {
      stream.Write(Text(kBad, Json::object()));
      return;
    }
    const milliseconds late =
        lateness_of_(rank, order.at("operation").get<std::string>());
    if (late <= milliseconds(0)) {
      stream.Write(Text(CarryOut(rank, order, "at once"), Json::object()));
      return;
    }
    Json shown = order;
    shown.erase("map");
    record_.Add("engine " + std::to_string(rank) +
                " leaves unanswered: " + shown.dump());
    {
      const std::lock_guard lock(mutex_);
      late_.emplace_back([this, rank, order, late] {
        Pause(late);
        if (!is_ended_) CarryOut(rank, order, "late");
      });
    }
    stream.IsClosedWithin(milliseconds(3'000));
    stream.Close();
  } else {
    stream.Write("HTTP/1.1 404 Standin\r\nContent-Length: 0\r\n\r\n");
  }
}

}  // namespace mangohold::review
