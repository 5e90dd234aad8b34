#include "virtual_fleet.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <unordered_map>

namespace mangohold::bench {
namespace {

const ServiceName kService("drafts");
constexpr Duration kStatusInterval = std::chrono::milliseconds(500);
constexpr Duration kAdvanceInterval = std::chrono::milliseconds(20);
constexpr int kMaxAttempts = 3;
constexpr int kBudgetPercent = 20;

TreeUpdate FleetSettings(const FleetOptions& options) {
  const std::string limit = std::to_string(options.concurrency);
  const std::string initial =
      options.initial_limit > 0 ? std::to_string(options.initial_limit) : limit;
  return {
      .documents = {{.path = "/services/drafts",
                     .revision = Revision(1),
                     .text = R"({"repeatable_calls": [{"method": "POST"}],
                           "queue_limit": 32, "concurrency_limit": )" +
                             limit + R"(, "cold_start": {"initial_limit": )" +
                             initial + "}}"}},
      .complete_through = Revision(1)};
}

}  // namespace

void VirtualTime::After(Duration delay, std::function<void()> task) {
  tasks_.push({now_ + delay, ++order_, std::move(task)});
}

void VirtualTime::RunUntil(TimePoint end) {
  while (!tasks_.empty() && tasks_.top().at <= end) {
    const Task task = tasks_.top();
    tasks_.pop();
    now_ = task.at;
    task.run();
  }
  now_ = end;
}

double Tally::Quantile(double q) const {
  if (latencies_ms.empty()) return 0;
  std::vector<double> sorted = latencies_ms;
  std::ranges::sort(sorted);
  return sorted[static_cast<std::size_t>(
      q * static_cast<double>(sorted.size() - 1))];
}

struct VirtualFleet::Request {
  Tally* tally = nullptr;
  WorkspaceName workspace;
  TimePoint arrived;
  TimePoint deadline;
  int entry = 0;
  AttemptPolicy policy{{.is_repeatable = true, .max_attempts = kMaxAttempts}};
  std::vector<InstanceId> tried;
};

struct VirtualFleet::Server {
  InstanceId id;
  std::unique_ptr<Gate> gate;
  std::unordered_map<std::uint64_t, RequestPtr> waiting;
  std::map<std::uint64_t, RequestPtr> in_service;
  int served = 0;  // since its warmth was last lost
  // The baseline's queue.
  std::deque<RequestPtr> queue;
  int running = 0;
};

struct VirtualFleet::Entry {
  std::unique_ptr<Router> router;
  std::map<WorkspaceName, RetryBudget> budgets;
};

VirtualFleet::VirtualFleet(FleetOptions options)
    : options_(options), random_(options.seed) {
  tree_.Apply(FleetSettings(options_));
  const ConfigurationPtr configuration = tree_.configuration();
  std::vector<Instance> instances;
  for (int i = 0; i < options_.servers; ++i) {
    auto server = std::make_unique<Server>();
    server->id = InstanceId(std::to_string(i));
    const ZoneName zone(std::to_string(i % 3));
    server->gate = std::make_unique<Gate>(Gate::Options{.instance = server->id,
                                                        .service = kService,
                                                        .zone = zone,
                                                        .tickets = {}});
    server->gate->SetConfiguration(configuration, time_.now());
    server->gate->Confirm(time_.now() + std::chrono::hours(10));
    instances.push_back({.id = server->id, .zone = zone, .service = kService});
    servers_.push_back(std::move(server));
  }
  for (int i = 0; i < options_.entries; ++i) {
    auto entry = std::make_unique<Entry>();
    entry->router = std::make_unique<Router>(Router::Options{
        .zone = ZoneName(std::to_string(i % 3)),
        .seed = options_.seed * 100 + static_cast<std::uint64_t>(i)});
    entry->router->SetInstances(instances);
    entry->router->SetConfiguration(configuration);
    entries_.push_back(std::move(entry));
  }
}

VirtualFleet::~VirtualFleet() = default;

double VirtualFleet::Capacity() const {
  return options_.servers * options_.concurrency /
         ToSeconds(options_.mean_service);
}

const Tally& VirtualFleet::AddLoad(const std::string& workspace, double rate,
                                   Duration deadline, Duration lasting) {
  tallies_.push_back(std::make_unique<Tally>());
  Tally& tally = *tallies_.back();
  Arrive(tally, workspace, rate, deadline, time_.now() + lasting);
  return tally;
}

// Poisson arrivals: the gaps are exponential.
void VirtualFleet::Arrive(Tally& tally, const std::string& workspace,
                          double rate, Duration deadline, TimePoint end) {
  const double gap_s = -std::log(1 - random_.Unit()) / rate;
  const auto gap = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(gap_s));
  if (time_.now() + gap > end) return;
  time_.After(gap, [this, &tally, workspace, rate, deadline, end] {
    auto request = std::make_shared<Request>();
    request->tally = &tally;
    request->workspace = WorkspaceName(workspace);
    request->arrived = time_.now();
    request->deadline = time_.now() + deadline;
    request->entry = static_cast<int>(random_.Below(entries_.size()));
    ++tally.sent;
    if (options_.strategy == Strategy::kRandom) {
      SubmitRandom(request);
    } else {
      entries_[request->entry]->budgets[request->workspace].OnRequest(
          kBudgetPercent);
      Attempt(request, request->policy.Begin());
    }
    Arrive(tally, workspace, rate, deadline, end);
  });
}

void VirtualFleet::Attempt(const RequestPtr& request, const Action& action) {
  if (action.step == Step::kFinish) return End(request, action);
  Entry& entry = *entries_[request->entry];
  if (request->policy.is_retry() &&
      !entry.budgets[request->workspace].TryRetry()) {
    return End(request, request->policy.OnBudgetExhausted());
  }
  const auto chosen = entry.router->Choose(
      {.service = kService, .tried = request->tried}, time_.now());
  if (!chosen) {
    return Attempt(request,
                   request->policy.OnNotSent(Reason::kNoBackend, Millis(0)));
  }
  ++request->tally->attempts;
  request->tried.push_back(*chosen);
  entry.router->OnSent(*chosen);
  const int server = std::stoi(chosen->value());
  time_.After(options_.network,
              [this, request, server] { SubmitTo(request, server); });
}

void VirtualFleet::SubmitTo(const RequestPtr& request, int index) {
  Server& server = *servers_[index];
  const WorkId id(++last_work_);
  const auto left =
      std::chrono::duration_cast<Millis>(request->deadline - time_.now());
  const auto decision =
      server.gate->Submit(id,
                          {.service = kService,
                           .workspace = request->workspace,
                           .method = "POST",
                           .target = "/",
                           .deadline = left,
                           .configuration_revision = tree_.complete_through()},
                          "", time_.now());
  if (decision.displaced) {
    Progressed(index, {.start = {}, .shed = {*decision.displaced}});
  }
  switch (decision.verdict) {
    case Gate::Verdict::kRun:
      return Serve(request, index, id);
    case Gate::Verdict::kQueued:
      server.waiting.emplace(id.value(), request);
      return;
    default:
      Retry(request, index, decision.reason, /*may_have_run=*/false,
            decision.retry_after);
  }
}

Duration VirtualFleet::ServiceTime() {
  const double factor = -std::log(1 - random_.Unit());
  return std::chrono::duration_cast<Duration>(options_.mean_service * factor);
}

int VirtualFleet::Bearing(const Server& server) const {
  constexpr int kServedPerStep = 4;
  if (options_.cold_bearing == 0) return options_.concurrency;
  return std::min(options_.concurrency,
                  options_.cold_bearing + server.served / kServedPerStep);
}

// All that was in service is lost; the agent sees its connections break.
void VirtualFleet::FallOver(int index) {
  Server& server = *servers_[index];
  ++falls_;
  server.served = 0;
  const auto lost = std::move(server.in_service);
  server.in_service.clear();
  for (const auto& [id, request] : lost) {
    server.gate->BecomeCold();
    const auto progress = server.gate->Finish(WorkId(id), WorkResult::kFailed,
                                              std::nullopt, time_.now());
    Retry(request, index, Reason::kBackendFailed, /*may_have_run=*/true,
          Millis(0));
    Progressed(index, progress);
  }
}

// Tells the entry that its attempt failed.
void VirtualFleet::Retry(const RequestPtr& request, int index, Reason reason,
                         bool may_have_run, Millis retry_after) {
  const AgentStatus status = servers_[index]->gate->Status(time_.now());
  time_.After(options_.network, [=, this] {
    Router& router = *entries_[request->entry]->router;
    router.OnStatus(servers_[index]->id, status);
    router.OnEnded(
        servers_[index]->id,
        may_have_run ? AttemptResult::kFailed : AttemptResult::kRefused,
        time_.now());
    Attempt(request,
            request->policy.OnRefused(reason, may_have_run, retry_after));
  });
}

void VirtualFleet::Serve(const RequestPtr& request, int index, WorkId id) {
  Server& server = *servers_[index];
  server.in_service.emplace(id.value(), request);
  if (static_cast<int>(server.in_service.size()) > Bearing(server)) {
    return FallOver(index);
  }
  time_.After(ServiceTime(), [this, request, index, id] {
    if (servers_[index]->in_service.erase(id.value()) == 0) return;  // lost
    ++servers_[index]->served;
    Gate& gate = *servers_[index]->gate;
    const auto progress =
        gate.Finish(id, WorkResult::kServed, std::nullopt, time_.now());
    const AgentStatus status = gate.Status(time_.now());
    Progressed(index, progress);
    time_.After(options_.network, [=, this] {
      Router& router = *entries_[request->entry]->router;
      router.OnStatus(servers_[index]->id, status);
      router.OnEnded(servers_[index]->id, AttemptResult::kServed, time_.now());
      request->policy.OnResponseHead();
      End(request, request->policy.OnResponseEnd(true, Reason::kNone));
    });
  });
}

void VirtualFleet::SetZone(const std::string& zone, bool is_in) {
  const Revision revision = tree_.complete_through().Next();
  const std::string state = is_in ? "in" : "out";
  tree_.Apply({.documents = {{.path = "/zones/" + zone,
                              .revision = revision,
                              .text = "{\"state\": \"" + state + "\"}"}},
               .complete_through = revision});
  for (int i = 0; i < options_.servers; ++i) {
    Server& server = *servers_[i];
    const bool is_returning = is_in && std::to_string(i % 3) == zone;
    if (is_returning) server.served = 0;
    Progressed(
        i, server.gate->SetConfiguration(tree_.configuration(), time_.now()));
  }
  for (const auto& entry : entries_) {
    entry->router->SetConfiguration(tree_.configuration());
  }
}

void VirtualFleet::Progressed(int index, const Gate::Progress& progress) {
  Server& server = *servers_[index];
  for (const WorkId id : progress.start) {
    const auto node = server.waiting.extract(id.value());
    if (!node.empty()) Serve(node.mapped(), index, id);
  }
  for (const ShedRequest& shed : progress.shed) {
    const auto node = server.waiting.extract(shed.id.value());
    if (node.empty()) continue;
    Retry(node.mapped(), index, shed.reason, /*may_have_run=*/false,
          shed.retry_after);
  }
}

void VirtualFleet::SubmitRandom(const RequestPtr& request) {
  const int index = static_cast<int>(random_.Below(servers_.size()));
  ++request->tally->attempts;
  time_.After(options_.network, [this, request, index] {
    servers_[index]->queue.push_back(request);
    StartQueued(index);
  });
}

void VirtualFleet::StartQueued(int index) {
  Server& server = *servers_[index];
  while (server.running < options_.concurrency && !server.queue.empty()) {
    const RequestPtr request = server.queue.front();
    server.queue.pop_front();
    ++server.running;
    time_.After(ServiceTime(), [this, request, index] {
      --servers_[index]->running;
      End(request, {.step = Step::kFinish, .outcome = Outcome::kAnswered});
      StartQueued(index);
    });
  }
}

void VirtualFleet::End(const RequestPtr& request, const Action& action) {
  Tally& tally = *request->tally;
  if (action.outcome != Outcome::kAnswered) {
    ++tally.refused;
    return;
  }
  ++tally.answered;
  if (time_.now() <= request->deadline) ++tally.in_time;
  tally.latencies_ms.push_back(ToSeconds(time_.now() - request->arrived) * 1e3);
}

// Entries hear each agent's status at intervals besides what answers tell them.
void VirtualFleet::Run(Duration time) {
  const TimePoint end = time_.now() + time;
  const std::function<void()> tell = [this, &tell] {
    for (const auto& entry : entries_) {
      for (const auto& server : servers_) {
        entry->router->OnStatus(server->id, server->gate->Status(time_.now()));
      }
    }
    time_.After(kStatusInterval, tell);
  };
  const std::function<void()> advance = [this, &advance] {
    for (int i = 0; i < options_.servers; ++i) {
      Progressed(i, servers_[i]->gate->Advance(time_.now()));
    }
    time_.After(kAdvanceInterval, advance);
  };
  if (options_.strategy == Strategy::kTwoChoices) {
    tell();
    advance();
  }
  time_.RunUntil(end);
}

}  // namespace mangohold::bench
