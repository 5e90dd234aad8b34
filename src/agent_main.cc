// The agent daemon: wires the control thread to the traffic thread.
#include <algorithm>

#include "backend/agent_server.h"
#include "core/daemon.h"
#include "core/log.h"
#include "core/machine_memory.h"
#include "core/process_settings.h"
#include "core/random.h"
#include "net/connection_limit.h"
#include "net/endpoint.h"
#include "net/graceful_stop.h"
#include "net/http_server.h"
#include "spread/config_replicator.h"

namespace mangohold {
namespace {

// Health and metrics, on the control thread.
void HandleAdmin(const HttpRequest& request, HttpExchange& exchange,
                 const Counters& counters) {
  if (request.path == "/metrics") {
    exchange.Reply(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                   counters.PrometheusText());
  } else if (request.path == "/healthz") {
    exchange.Reply(200, {}, "ok\n");
  } else {
    exchange.Reply(404, {}, "no such path\n");
  }
}

bool IsListedAsLeaving(const std::vector<Instance>& instances,
                       const InstanceId& self) {
  return std::ranges::any_of(instances, [&self](const Instance& instance) {
    return instance.id == self && instance.state == InstanceState::kLeaving;
  });
}

int Run(const AgentSettings& settings) {
  Counters counters;
  const int memory_mb = PutMemoryInForce(settings.memory, counters);
  EventLoop control;
  EventLoop traffic;
  AgentServer server(
      traffic,
      {.gate = {.instance = settings.instance,
                .service = settings.service,
                .zone = settings.zone,
                .tickets = {.agent = settings.instance,
                            .incarnation = Incarnation(RandomHex128())},
                .confirmation_limit = settings.confirmation_limit},
       .listen = settings.peer_address,
       .backend_url = settings.backend_url,
       .memory = MemoryBudget::OptionsFor(memory_mb),
       .max_connections = SessionLimit(memory_mb, settings.max_descriptors)},
      counters);
  HttpClient http(control.io(), &counters);
  PlatformClient platform(
      http, {.url = settings.platform_url, .instance = settings.instance},
      counters);
  ConfigReplicator node(
      control, platform,
      {.replica = {.instance = settings.instance,
                   .role = InstanceRole::kBackend,
                   .zone = settings.zone,
                   .incarnation = Incarnation(RandomHex128()),
                   .started_at = Clock::now()},
       .listen = Endpoint(),
       .seeds = ToEndpoints(settings.seeds)},
      {.on_configuration =
           [&](const ConfigurationPtr& configuration) {
             traffic.Post([&server, configuration] {
               server.SetConfiguration(configuration);
             });
           },
       .on_confirmed =
           [&](TimePoint as_of) {
             traffic.Post([&server, as_of] { server.Confirm(as_of); });
           },
       .on_instances =
           [&](const std::vector<Instance>& instances) {
             if (!IsListedAsLeaving(instances, settings.instance)) return;
             traffic.Post([&server] { server.BeginLeaving(); });
           }},
      counters);
  HttpServer admin(
      control.io(),
      HttpServer::SmallRequests(settings.admin_address, 64, counters),
      [&counters](const HttpRequest& request,
                  const std::shared_ptr<HttpExchange>& exchange) {
        HandleAdmin(request, *exchange, counters);
      });
  const bool has_started =
      HaveStarted({server.Start(), node.Start(), admin.Listen()});
  if (!has_started) return kExitUnavailable;
  OnLeave(control, traffic,
          {.begin = [&server](TimePoint /*now*/) { server.BeginLeaving(); },
           .end_requests = [&server] { server.EndRequests(); },
           .owed = [&server] { return server.Owed(); },
           .schedule = MakeLeaveSchedule(settings.leave_limit, Duration(0))});
  Log(LogLevel::kInfo, "started",
      {{"peer_address", settings.peer_address.value()}});
  RunThreads(control, traffic);
}

}  // namespace
}  // namespace mangohold

int main(int argc, char** argv) {
  return mangohold::RunDaemon(argc, argv, "mangohold-agent",
                              &mangohold::ParseAgentSettings, &mangohold::Run);
}
