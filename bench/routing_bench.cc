// The time of one routing decision over a fleet's worth of servers.
#include <benchmark/benchmark.h>

#include "routing/prompt_cache.h"
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

// A prompt with three shared parts, each of which `state.range(1)` of the
// servers hold, and the saving at all servers.
void BenchPromptCache(benchmark::State& state) {
  const auto count = static_cast<std::uint32_t>(state.range(0));
  const ServiceName service("model");
  std::vector<BackendRecord> servers;
  for (std::uint32_t i = 0; i < count; ++i) {
    servers.push_back(
        {.id = InstanceId("backend-" + std::to_string(i)), .service = service});
  }
  PromptCache cache({.retention = std::chrono::seconds(60)});
  cache.SetServices({{.name = service,
                      .engine = EngineFigures{.memory_tokens = 300'000,
                                              .read_tokens_per_s = 60'000,
                                              .usual_prompt_tokens = 800}}});
  cache.SetServers(servers);
  const TimePoint now{};
  PromptPrefix prefix("large");
  for (std::uint64_t part = 1; part <= 3; ++part) {
    prefix.Append(PromptPart(part), 500);
  }
  AttemptNumber number;
  for (std::int64_t i = 0; i < state.range(1); ++i) {
    number = number.Next();
    cache.OnSent({.number = number,
                  .server = cache.IndexOf(
                      servers[static_cast<std::size_t>(i) * 17 % count].id),
                  .prefix = &prefix,
                  .prompt_tokens = 2'000},
                 now);
    cache.OnResponseStarted(number, now);
  }
  for ([[maybe_unused]] auto _ : state) {
    const auto cached = cache.Find(service, prefix, now);
    double saving = 0;
    for (std::uint32_t i = 0; i < count; ++i) saving += cached.SavingAt(i);
    benchmark::DoNotOptimize(saving);
  }
}
BENCHMARK(BenchPromptCache)->Args({600, 0})->Args({600, 8})->Args({600, 32});

}  // namespace
}  // namespace mangohold

BENCHMARK_MAIN();
