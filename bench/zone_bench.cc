// A zone leaves and returns under load, in virtual time: what is lost, refused
// and how slow it gets, with and without the ramp of the cold start. Prints
// JSON lines.
#include <cstdio>
#include <nlohmann/json.hpp>

#include "virtual_fleet.h"

namespace mangohold::bench {
namespace {

constexpr Duration kPhase = std::chrono::seconds(10);
constexpr Duration kDeadline = std::chrono::milliseconds(2'000);
constexpr Duration kDrain = std::chrono::seconds(5);
// Of the full capacity; two thirds of it are there while the zone is out.
constexpr double kLoad = 0.55;

void Measure(const char* name, int initial_limit) {
  VirtualFleet fleet(
      {.seed = 3, .initial_limit = initial_limit, .cold_bearing = 2});
  // Warm up before the first phase counts.
  fleet.AddLoad("sales", kLoad * fleet.Capacity(), kDeadline, kPhase);
  fleet.Run(kPhase);
  const int falls_at_start = fleet.falls();
  nlohmann::json line = {{"case", name}};
  int falls_before = falls_at_start;
  for (const char* phase : {"before", "out", "returned"}) {
    if (phase == std::string_view("out")) fleet.SetZone("1", false);
    if (phase == std::string_view("returned")) fleet.SetZone("1", true);
    const Tally& tally =
        fleet.AddLoad("sales", kLoad * fleet.Capacity(), kDeadline, kPhase);
    fleet.Run(kPhase);
    fleet.Run(std::chrono::seconds(0));
    line[phase] = {{"sent", tally.sent},
                   {"answered", tally.answered},
                   {"refused", tally.refused},
                   {"in_progress", tally.sent - tally.answered - tally.refused},
                   {"falls", fleet.falls() - falls_before},
                   {"p99_ms", tally.Quantile(0.99)}};
    falls_before = fleet.falls();
  }
  fleet.Run(kDrain);
  std::printf("%s\n", line.dump().c_str());
}

}  // namespace
}  // namespace mangohold::bench

int main() {
  mangohold::bench::Measure("ramp", /*initial_limit=*/2);
  mangohold::bench::Measure("no_ramp", /*initial_limit=*/0);
}
