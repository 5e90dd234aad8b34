#include "review/standins-3/tests/quiet_group.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <set>
#include <utility>

namespace mangohold::review {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr int kAccepted = 202;
constexpr int kConflict = 409;
constexpr int kNotFound = 404;
constexpr std::uint64_t kEpoch = 1;
// How often each rank's requests choose an expert in a pass.
constexpr int kChoicesOfFirst = 400;
constexpr int kChoicesOfOthers = 40;

std::string Text(const QuietGroup::Order& order) {
  std::string text =
      "rank " + std::to_string(order.rank) + " " + order.operation;
  if (order.version > 0) text += " version " + std::to_string(order.version);
  if (order.step > 0) text += " step " + std::to_string(order.step);
  return text;
}

}  // namespace

QuietGroup::QuietGroup(asio::io_context& io, Options options,
                       Recorder& recorder)
    : io_(io), options_(std::move(options)), recorder_(recorder) {
  const std::size_t size = options_.addresses.size();
  Map first(size);
  for (int expert = 0; expert < options_.experts; ++expert) {
    first[static_cast<std::size_t>(expert) % size].push_back(expert);
  }
  ranks_.resize(size);
  for (std::size_t index = 0; index < size; ++index) {
    ranks_[index].experts = first;
    ranks_[index].counts.resize(static_cast<std::size_t>(options_.experts));
    standin::Serve(
        io_, options_.addresses[index],
        std::bind_front(&QuietGroup::Handle, this, static_cast<int>(index)));
  }
  Tick();
}

void QuietGroup::AddWork(int passes) {
  recorder_.Note("a request arrives that takes " + std::to_string(passes) +
                 " passes; the last pass was " + std::to_string(pass_));
  work_ += passes;
}

int QuietGroup::holder() const {
  for (int rank = 0; rank < size(); ++rank) {
    if (held(rank) > 0) return rank;
  }
  return -1;
}

int QuietGroup::armed() const {
  return static_cast<int>(std::ranges::count_if(
      ranks_, [](const Rank& rank) { return rank.armed > 0; }));
}

void QuietGroup::After(milliseconds delay, std::function<void()> task) {
  auto timer = std::make_shared<asio::steady_timer>(io_, delay);
  timer->async_wait(
      [timer, task = std::move(task)](const std::error_code& error) {
        if (!error) task();
      });
}

void QuietGroup::Tick() {
  if (is_working()) BeginPass();
  After(options_.pass, [this] { Tick(); });
}

// A pass that a rank holds doesn't begin.
void QuietGroup::BeginPass() {
  const std::uint64_t next = pass_ + 1;
  const bool is_held = std::ranges::any_of(ranks_, [next](const Rank& rank) {
    return rank.held > 0 && rank.held <= next;
  });
  if (is_held) return;
  pass_ = next;
  if (work_ > 0 && --work_ == 0) {
    recorder_.Note("the work ends with pass " + std::to_string(pass_));
  }
  for (Rank& rank : ranks_) {
    if (rank.armed > 0 && rank.armed_at == pass_) {
      rank.map = std::exchange(rank.armed, 0);
      rank.prepared = 0;
      rank.experts = rank.next_experts;
    }
    for (std::size_t expert = 0; expert < rank.counts.size(); ++expert) {
      rank.counts[expert] += expert == 0 ? kChoicesOfFirst : kChoicesOfOthers;
    }
  }
  const bool is_split = std::ranges::any_of(ranks_, [this](const Rank& rank) {
    return rank.map != ranks_.front().map ||
           rank.experts != ranks_.front().experts;
  });
  if (!is_split) return;
  constexpr int kMostNoted = 3;
  if (++split_passes_ > kMostNoted) return;
  std::string maps;
  for (const Rank& rank : ranks_) maps += " " + std::to_string(rank.map);
  recorder_.Note("MAP: pass " + std::to_string(pass_) +
                 " begins with the maps" + maps);
}

QuietGroup::Check QuietGroup::CheckPrepare(const Order& order) const {
  const Rank& rank = ranks_[order.rank];
  const bool is_known =
      order.version == rank.prepared || order.version == rank.copying;
  if (is_known) return Check::kHolds;
  const bool is_late = order.version <= rank.highest || rank.armed > 0;
  return is_late ? Check::kConflict : Check::kBegins;
}

QuietGroup::Check QuietGroup::CheckOrder(const Order& order) const {
  const Rank& rank = ranks_[order.rank];
  if (order.operation == "prepare") return CheckPrepare(order);
  if (order.operation == "arm") {
    const bool is_armed =
        rank.armed == order.version && rank.armed_at == order.step;
    if (is_armed) return Check::kHolds;
    const bool fits = rank.prepared == order.version && order.step > pass_;
    return fits ? Check::kBegins : Check::kConflict;
  }
  if (order.operation == "disarm") {
    if (rank.map == order.version) return Check::kConflict;
    return rank.armed == order.version ? Check::kBegins : Check::kHolds;
  }
  if (order.operation == "hold") {
    if (rank.held == order.step) return Check::kHolds;
    const bool fits = rank.held == 0 && order.step > pass_;
    return fits ? Check::kBegins : Check::kConflict;
  }
  return rank.held == order.step ? Check::kBegins : Check::kHolds;
}

void QuietGroup::CarryOut(const Order& order) {
  Rank& rank = ranks_[order.rank];
  if (order.operation == "prepare") return Prepare(order);
  if (order.operation == "arm") {
    rank.armed = order.version;
    rank.armed_at = order.step;
  }
  if (order.operation == "disarm") rank.armed = 0;
  if (order.operation == "hold") rank.held = order.step;
  if (order.operation == "go") rank.held = 0;
}

void QuietGroup::Prepare(const Order& order) {
  Rank& rank = ranks_[order.rank];
  rank.highest = order.version;
  rank.prepared = 0;
  rank.copying = order.version;
  rank.next_experts = order.body.at("map").at(0).get<Map>();
  const std::vector<int>& held = rank.experts[order.rank];
  const std::vector<int>& wanted = rank.next_experts[order.rank];
  const auto copies = std::ranges::count_if(wanted, [&held](int expert) {
    return std::ranges::find(held, expert) == held.end();
  });
  const auto done = [this, index = order.rank, version = order.version] {
    Rank& copying = ranks_[index];
    if (copying.copying != version) return;
    copying.copying = 0;
    copying.prepared = version;
  };
  if (copies == 0) return done();
  After(options_.copy * copies, done);
}

void QuietGroup::CarryOutLate(const Order& order, const IsDue& is_due,
                              double accepted) {
  constexpr milliseconds kStep{10};
  constexpr int kMsPerSecond = 1'000;
  const milliseconds age(static_cast<std::int64_t>(
      (recorder_.Seconds() - accepted) * kMsPerSecond));
  if (!is_due(age)) {
    return After(kStep, [this, order, is_due, accepted] {
      CarryOutLate(order, is_due, accepted);
    });
  }
  const bool fits = CheckOrder(order) == Check::kBegins;
  if (fits) CarryOut(order);
  recorder_.Note(Text(order) + ": carried out " + std::to_string(age.count()) +
                 " ms late, " + (fits ? "with effect" : "without effect"));
}

asio::awaitable<void> QuietGroup::TakeOrder(int rank, HttpRequest request,
                                            standin::Connection& connection) {
  const Json body = Json::parse(request.body);
  const Order order = {.rank = rank,
                       .operation = body.at("operation").get<std::string>(),
                       .version = body.value("version", std::uint64_t{0}),
                       .step = body.value("step", std::uint64_t{0}),
                       .body = body};
  ++orders_;
  const bool is_current =
      body.value("epoch", kEpoch) == kEpoch &&
      body.value("expect", ranks_[rank].sequence) == ranks_[rank].sequence;
  const Check check = is_current ? CheckOrder(order) : Check::kConflict;
  int status = check == Check::kConflict ? kConflict : 200;
  if (check == Check::kBegins) {
    status = kAccepted;
    ++ranks_[rank].sequence;
    if (const IsDue is_due = policy_ ? policy_(order) : nullptr) {
      ++unanswered_;
      recorder_.Note(Text(order) + ": accepted, no answer");
      CarryOutLate(order, is_due, recorder_.Seconds());
      constexpr milliseconds kPatience{2'000};
      co_await connection.IsClosedWithin(kPatience);
      connection.Drop();
      co_return;
    }
    CarryOut(order);
  }
  recorder_.Note(Text(order) + ": " + std::to_string(status));
  co_await connection.Reply(status, "application/json", "{}");
}

std::string QuietGroup::ReportOf(int index) const {
  const Rank& rank = ranks_[index];
  Json json = {
      {"phase", "unified"},
      {"models", Json::array()},
      {"busy", rank.copying > 0},
      {"sequence", rank.sequence},
      {"queued", 0},
      {"running", is_working() ? 1 : 0},
      {"kv_used", 0},
      {"kv_total", 100'000},
      {"handles", 0},
      {"pace", 1.0},
      {"size", ranks_.size()},
      {"step", pass_},
      {"map", rank.map},
      {"group",
       {{"name", "g"}, {"epoch", kEpoch}, {"rank", index}, {"state", "open"}}}};
  if (rank.prepared > 0) json["prepared"] = rank.prepared;
  if (rank.held > 0) json["held"] = rank.held;
  if (rank.armed > 0) {
    json["armed"] = {{"version", rank.armed}, {"step", rank.armed_at}};
  }
  return json.dump();
}

std::string QuietGroup::PickedOf(int index, bool has_lists) const {
  const Rank& rank = ranks_[index];
  if (has_lists) {
    const Json experts = {rank.experts[index]};
    return Json{{"map", {{"version", rank.map}, {"experts", experts}}},
                {"prepared", nullptr}}
        .dump();
  }
  return Json{{"step", pass_}, {"epoch", kEpoch}, {"counts", rank.counts}}
      .dump();
}

asio::awaitable<void> QuietGroup::Generate(HttpRequest request,
                                           standin::Connection& connection) {
  constexpr std::uint64_t kPasses = 24;
  constexpr milliseconds kStep{10};
  const std::string id(request.Field("X-Mangohold-Request-Id"));
  milliseconds left(
      std::stol(std::string(request.Field("X-Mangohold-Deadline-Ms"))));
  const std::uint64_t end = pass_ + kPasses;
  ++requests_;
  bool has_left = false;
  while (pass_ < end && left > milliseconds(0) && !has_left) {
    has_left = co_await connection.IsClosedWithin(kStep);
    left -= kStep;
  }
  --requests_;
  if (has_left) {
    connection.Drop();
    co_return;
  }
  const bool is_done = pass_ >= end;
  const std::string body = is_done ? "id: 1\ndata: " + id + "\n\n" : "";
  co_await connection.Send(
      std::string("HTTP/1.1 ") + (is_done ? "200 OK" : "504 Late") +
      "\r\nX-Mangohold-Request-Id: " + id +
      "\r\nX-Mangohold-Response-Signature: s." + id +
      "\r\nContent-Type: text/event-stream\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body);
}

// No coroutine itself: it hands on the one that answers.
asio::awaitable<void> QuietGroup::Handle(int rank, HttpRequest request,
                                         standin::Connection& connection) {
  if (request.path == "/mangohold/order") {
    return TakeOrder(rank, std::move(request), connection);
  }
  if (request.path == "/mangohold/report") {
    std::string report = ReportOf(rank);
    if (report_spoiler_) report = report_spoiler_(rank, std::move(report));
    return connection.Reply(200, "application/json", std::move(report));
  }
  if (request.path.starts_with("/draft/")) {
    return Generate(std::move(request), connection);
  }
  if (request.path != "/mangohold/picked") {
    return connection.Reply(kNotFound, "application/json", "{}");
  }
  const bool has_lists = !request.QueryValue("lists").empty();
  std::string text = PickedOf(rank, has_lists);
  if (has_lists && spoiler_) text = spoiler_(rank, std::move(text));
  return connection.Reply(200, "application/json", std::move(text));
}

}  // namespace mangohold::review
