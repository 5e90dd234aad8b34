// Sends requests at a fixed rate and reports throughput and latency quantiles,
// through the system and straight to a stand-in, in turns within one run.
//
//   load_tool --rate R --seconds S --rounds N --direct URL --through URL
//
// The arrivals don't wait for answers, so a slow answer shows as latency and
// not as a lower rate.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/clock.h"
#include "net/event_loop.h"
#include "net/http_client.h"

namespace mangohold {
namespace {

struct Target {
  std::string name;
  std::string url;
  std::vector<double> latencies_ms;
  int failed = 0;
  double seconds = 0;
};

struct Plan {
  int rate = 1'000;  // requests a second
  double seconds = 2;
  int rounds = 3;
};

double Quantile(std::vector<double> sorted, double q) {
  if (sorted.empty()) return 0;
  std::ranges::sort(sorted);
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(q * last)];
}

// One round of arrivals at one target; ends when the last answer is in.
class Round {
 public:
  Round(EventLoop& loop, HttpClient& http, const Plan& plan, Target& target)
      : loop_(loop), http_(http), plan_(plan), target_(target) {}

  void Run() {
    started_ = Clock::now();
    total_ = static_cast<int>(plan_.rate * plan_.seconds);
    Arrive();
    loop_.Run();
    target_.seconds += ToSeconds(Clock::now() - started_);
  }

 private:
  void Arrive() {
    const auto elapsed = ToSeconds(Clock::now() - started_);
    const int due = std::min(total_, static_cast<int>(elapsed * plan_.rate));
    while (sent_ < due) Send();
    if (sent_ < total_) {
      loop_.After(std::chrono::microseconds(500), [this] { Arrive(); });
    }
  }

  void Send() {
    ++sent_;
    const TimePoint at = Clock::now();
    Fetch(
        http_,
        {.method = "POST",
         .url = target_.url,
         .fields = {{"Mangohold-Workspace", "sales"},
                    {"Content-Type", "application/json"}},
         .body = R"({"prompt": "Three bedrooms above the harbour"})"},
        kMaxToolBody, [this, at](const HttpResponse& response) {
          if (response.status == 200) {
            target_.latencies_ms.push_back(ToSeconds(Clock::now() - at) * 1e3);
          } else {
            ++target_.failed;
          }
          if (++done_ == total_) loop_.Stop();
        });
  }

  EventLoop& loop_;
  HttpClient& http_;
  const Plan& plan_;
  Target& target_;
  TimePoint started_;
  int total_ = 0;
  int sent_ = 0;
  int done_ = 0;
};

nlohmann::json Report(const Target& target, const Plan& plan) {
  const double answered = static_cast<double>(target.latencies_ms.size());
  return {{"target", target.name},
          {"rate_asked", plan.rate},
          {"rate_answered", answered / target.seconds},
          {"answered", target.latencies_ms.size()},
          {"failed", target.failed},
          {"p50_ms", Quantile(target.latencies_ms, 0.50)},
          {"p95_ms", Quantile(target.latencies_ms, 0.95)},
          {"p99_ms", Quantile(target.latencies_ms, 0.99)}};
}

int Main(int argc, char** argv) {
  Plan plan;
  Target direct{.name = "direct"};
  Target through{.name = "through"};
  for (int i = 1; i + 1 < argc; i += 2) {
    const std::string name = argv[i];
    const char* value = argv[i + 1];
    if (name == "--rate") plan.rate = std::atoi(value);
    if (name == "--seconds") plan.seconds = std::atof(value);
    if (name == "--rounds") plan.rounds = std::atoi(value);
    if (name == "--direct") direct.url = value;
    if (name == "--through") through.url = value;
  }
  for (int round = 0; round < plan.rounds; ++round) {
    for (Target* target : {&direct, &through}) {
      EventLoop loop;
      HttpClient http(loop.io());
      Round(loop, http, plan, *target).Run();
    }
  }
  std::printf("%s\n%s\n", Report(direct, plan).dump().c_str(),
              Report(through, plan).dump().c_str());
  const double added = Quantile(through.latencies_ms, 0.99) -
                       Quantile(direct.latencies_ms, 0.99);
  std::printf("%s\n", nlohmann::json{{"p99_added_ms", added}}.dump().c_str());
  return direct.failed + through.failed == 0 ? 0 : 1;
}

}  // namespace
}  // namespace mangohold

int main(int argc, char** argv) { return mangohold::Main(argc, argv); }
