// The daemon beside an engine that is a rank of a group.
#include <utility>

#include "core/daemon.h"
#include "core/process_settings.h"
#include "group/rank_agent.h"
#include "net/http_server.h"
#include "platform/engine_client.h"
#include "platform/schema.h"
#include "platform/store_client.h"

namespace mangohold {
namespace {

constexpr double kBytesPerMegabit = 1e6 / 8;

int Run(const RankAgentSettings& settings, const std::string& file) {
  Counters counters;
  EventLoop loop;
  HttpClient http(loop.io(), &counters);
  platform::StoreClient store(http, {.url = settings.platform_url}, counters);
  platform::EngineClient engine(http, counters);
  RankAgent agent(loop, store, engine,
                  {.self = {.id = settings.instance,
                            .role = MemberRole::kAgent,
                            .zone = settings.zone,
                            .peer = settings.peer_address,
                            .backend = settings.backend_address},
                   .schema = platform::Schema(),
                   .service = settings.service,
                   .link_bytes_per_s = settings.link_mbps * kBytesPerMegabit},
                  counters);
  HttpServer metrics(
      loop.io(),
      HttpServer::SmallRequests(settings.metrics_address, 16, counters),
      [&counters](const HttpRequest& /*request*/,
                  const std::shared_ptr<HttpExchange>& exchange) {
        exchange->Reply(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                        counters.PrometheusText());
      });
  const bool has_started = HaveStarted({agent.Start(), metrics.Listen()});
  if (!has_started) return kExitUnavailable;
  loop.OnHangUp([&file] { ReloadLogLevel(file, &ParseRankAgentSettings); });
  bool is_leaving = false;
  loop.OnTerminate([&loop, &agent, &is_leaving] {
    if (std::exchange(is_leaving, true)) return loop.Stop();
    agent.Leave([&loop] { loop.Stop(); });
  });
  Log(LogLevel::kInfo, "started",
      {{"backend", settings.backend_address.value()}});
  loop.Run();
  Log(LogLevel::kInfo, "stopped");
  EndProcess();
}

}  // namespace
}  // namespace mangohold

int main(int argc, char** argv) {
  return mangohold::RunDaemon(argc, argv, "mangohold-rank-agent",
                              &mangohold::ParseRankAgentSettings,
                              &mangohold::Run);
}
