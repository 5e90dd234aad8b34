// The time of one routing decision over a fleet's worth of servers.
#include <benchmark/benchmark.h>

#include "routing/router.h"

namespace mangohold {
namespace {

constexpr int kZones = 7;

std::vector<Instance> Servers(int count) {
  std::vector<Instance> out;
  out.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    out.push_back({.id = InstanceId("backend-" + std::to_string(i)),
                   .zone = ZoneName("zone-" + std::to_string(i % kZones)),
                   .service = ServiceName("drafts"),
                   .peer = Endpoint("127.0.0.1:" + std::to_string(i + 1))});
  }
  return out;
}

// `state.range(1)` is the percentage of servers that are closed.
void BenchChoose(benchmark::State& state) {
  const auto servers = Servers(static_cast<int>(state.range(0)));
  Router router({.zone = ZoneName("zone-0")});
  router.SetInstances(servers);
  const TimePoint now{};
  for (std::size_t i = 0; i < servers.size(); ++i) {
    const bool is_closed =
        static_cast<std::int64_t>(i * 37 % 100) < state.range(1);
    router.OnStatus(servers[i].id, {.limit = 16,
                                    .in_flight = static_cast<int>(i * 7 % 20),
                                    .mean_service_us = 50'000,
                                    .is_closed = is_closed});
  }
  const ServiceName service("drafts");
  for ([[maybe_unused]] auto _ : state) {
    benchmark::DoNotOptimize(
        router.Choose({.service = service, .tried = {}}, now));
  }
}
BENCHMARK(BenchChoose)->Args({600, 0})->Args({600, 50})->Args({600, 95});

}  // namespace
}  // namespace mangohold

BENCHMARK_MAIN();
