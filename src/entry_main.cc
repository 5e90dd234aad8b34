// The entry daemon: wires the control thread to the traffic thread.
#include "caller/entry_server.h"
#include "core/daemon.h"
#include "core/log.h"
#include "core/machine_memory.h"
#include "core/process_settings.h"
#include "core/random.h"
#include "net/connection_limit.h"
#include "net/endpoint.h"
#include "net/graceful_stop.h"
#include "operator/operator_server.h"
#include "spread/config_replicator.h"

namespace mangohold {
namespace {

int Run(const EntrySettings& settings) {
  Counters counters;
  const int memory_mb = PutMemoryInForce(settings.memory, counters);
  EventLoop control;
  EventLoop traffic;
  EntryServer server(
      traffic,
      {.instance = settings.instance,
       .zone = settings.zone,
       .listen = settings.caller_address,
       .seed = RandomSeed(),
       .max_requests = settings.max_requests,
       .memory = MemoryBudget::OptionsFor(memory_mb),
       .max_connections = ConnectionLimit(settings.max_descriptors),
       .address_max_age = settings.address_max_age},
      counters);
  HttpClient http(control.io(), &counters);
  PlatformClient platform(
      http, {.url = settings.platform_url, .instance = settings.instance},
      counters);
  ConfigReplicator node(control, platform,
                        {.replica = {.instance = settings.instance,
                                     .role = InstanceRole::kEntry,
                                     .zone = settings.zone,
                                     .incarnation = Incarnation(RandomHex128()),
                                     .started_at = Clock::now()},
                         .listen = settings.control_address,
                         .seeds = ToEndpoints(settings.seeds)},
                        {.on_configuration =
                             [&](const ConfigurationPtr& configuration) {
                               traffic.Post([&server, configuration] {
                                 server.SetConfiguration(configuration);
                               });
                             },
                         .on_confirmed = [](TimePoint) {},
                         .on_instances =
                             [&](const std::vector<Instance>& instances) {
                               traffic.Post([&server, instances] {
                                 server.SetInstances(instances);
                               });
                             }},
                        counters);
  OperatorServer operators(control,
                           {.listen = settings.operator_address,
                            .instance = settings.instance,
                            .operators = settings.operators},
                           node, platform, counters);
  const bool has_started =
      HaveStarted({server.Start(), node.Start(), operators.Start()});
  if (!has_started) return kExitUnavailable;
  OnLeave(control, traffic,
          {.announce = [&node] { node.BeginLeaving(); },
           .begin = [&server](TimePoint /*now*/) { server.BeginLeaving(); },
           .end_requests = [&server] { server.EndRequests(); },
           .owed = [&server] { return server.Owed(); },
           .schedule = MakeLeaveSchedule(settings.leave_limit,
                                         settings.address_max_age)});
  Log(LogLevel::kInfo, "started",
      {{"caller_address", settings.caller_address.value()}});
  RunThreads(control, traffic);
}

}  // namespace
}  // namespace mangohold

int main(int argc, char** argv) {
  return mangohold::RunDaemon(argc, argv, "mangohold-entry",
                              &mangohold::ParseEntrySettings, &mangohold::Run);
}
