// Goodput under overload and fairness between workspaces, in virtual time.
// Prints JSON lines and, last, a signature of all decisions: a change that
// moves no figure moves no signature.
#include <cstdio>
#include <functional>
#include <nlohmann/json.hpp>

#include "virtual_fleet.h"

namespace mangohold::bench {
namespace {

constexpr Duration kTime = std::chrono::seconds(20);
constexpr Duration kDeadline = std::chrono::milliseconds(1'000);
constexpr double kSmallRate = 20;  // requests a second
constexpr double kAggression = 20;

std::size_t signature = 0;

void Print(const nlohmann::json& line) {
  const std::string text = line.dump();
  std::printf("%s\n", text.c_str());
  signature = signature * 31 + std::hash<std::string>{}(text);
}

// The share of the capacity that is answered in time.
double Goodput(Strategy strategy, double load, std::uint64_t seed) {
  VirtualFleet fleet({.strategy = strategy, .seed = seed});
  const Tally& tally =
      fleet.AddLoad("sales", load * fleet.Capacity(), kDeadline, kTime);
  fleet.Run(kTime);
  return tally.in_time / (fleet.Capacity() * ToSeconds(kTime));
}

void PrintGoodput(double load) {
  constexpr std::uint64_t kSeeds = 3;
  double ours = 0;
  double baseline = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ours += Goodput(Strategy::kTwoChoices, load, seed) / kSeeds;
    baseline += Goodput(Strategy::kRandom, load, seed) / kSeeds;
  }
  Print({{"measure", "goodput"},
         {"load", load},
         {"two_choices", ours},
         {"random_unbounded", baseline}});
}

// The small workspace's p99 when a large one sends `factor` times its load.
void PrintFairness() {
  const auto p99 = [](bool has_aggressor) {
    // One server whose capacity the aggressor alone exceeds.
    VirtualFleet fleet({.seed = 5, .entries = 3, .servers = 2});
    const double small = kSmallRate;
    const Tally& tally =
        fleet.AddLoad("small", small, std::chrono::seconds(5), kTime);
    if (has_aggressor) {
      fleet.AddLoad("large", kAggression * small, std::chrono::seconds(5),
                    kTime);
    }
    fleet.Run(kTime);
    return tally.Quantile(0.99);
  };
  const double alone = p99(false);
  const double beside = p99(true);
  Print({{"measure", "fairness"},
         {"aggression", kAggression},
         {"p99_alone_ms", alone},
         {"p99_beside_ms", beside},
         {"ratio", beside / alone}});
}

// Requests a second in vain when most servers refuse: retries stay within the
// budget.
void PrintRetries() {
  VirtualFleet fleet({.seed = 9});
  const Tally& tally =
      fleet.AddLoad("sales", 5 * fleet.Capacity(), kDeadline, kTime);
  fleet.Run(kTime);
  Print({{"measure", "retries"},
         {"load", 5.0},
         {"attempts_per_request",
          static_cast<double>(tally.attempts) / tally.sent}});
}

}  // namespace
}  // namespace mangohold::bench

int main() {
  using mangohold::bench::signature;
  for (const double load : {0.8, 1.0, 2.0, 5.0}) {
    mangohold::bench::PrintGoodput(load);
  }
  mangohold::bench::PrintFairness();
  mangohold::bench::PrintRetries();
  std::printf("{\"signature\":%zu}\n", signature);
}
