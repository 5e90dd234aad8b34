// The daemon of an entry that sends to backend servers directly.
#include "caller/entry_control.h"
#include "caller/forward_server.h"
#include "core/allocator.h"
#include "core/daemon.h"
#include "core/machine_memory.h"
#include "core/process_settings.h"
#include "core/random.h"
#include "net/graceful_stop.h"
#include "platform/entry_calls.h"
#include "platform/headers.h"
#include "platform/schema.h"
#include "platform/store_client.h"

namespace mangohold {
namespace {

// What is known must be this much younger than a revocation's bound.
constexpr Millis kRevocationMargin{300};
// After SIGTERM new requests are taken for this long, for callers that still
// use an old list of addresses.
constexpr Millis kTakeAfterTerm{2'800};

std::map<ZoneName, RegionName> ToRegions(
    const std::map<std::string, std::string>& regions) {
  std::map<ZoneName, RegionName> out;
  for (const auto& [zone, region] : regions) {
    out.emplace(ZoneName(zone), RegionName(region));
  }
  return out;
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

int Run(const DirectEntrySettings& settings, const std::string& file) {
  ReturnLargeBlocksAtOnce();
  Counters counters;
  const int memory_mb = PutMemoryInForce(settings.memory, counters);
  EventLoop control;
  EventLoop traffic;
  const platform::Headers dialect;
  const Millis confirmation_limit = settings.revocation - kRevocationMargin;
  const Member self = {.id = settings.instance,
                       .role = MemberRole::kEntry,
                       .zone = settings.zone,
                       .caller = settings.caller_address,
                       .peer = settings.peer_address,
                       .admin = settings.metrics_address,
                       .cpu_share = settings.cpu_share};
  EntryControl* to_control = nullptr;  // set before the threads start
  ForwardServer server(
      traffic,
      {.listen = settings.caller_address,
       .max_connections = settings.max_connections,
       .memory_mb = memory_mb,
       .max_descriptors = settings.max_descriptors,
       .dispatcher =
           {.zone = settings.zone,
            .seed = RandomSeed(),
            .cold_overrun = settings.cold_overrun,
            .cold_slack = settings.cold_slack,
            .pass_limit = {.gap_fraction = settings.pass_gap_fraction},
            .priority_reserve = {.max_fraction = settings.priority_reserve},
            .prompt_cache = {.retention =
                                 FromSeconds(settings.prompt_retention_s)}},
       .budget = {.ratio = settings.retry_ratio,
                  .slack = settings.retry_slack,
                  .window = FromSeconds(settings.retry_window_s)},
       .confirmation_limit = confirmation_limit,
       .self = self,
       .regions = ToRegions(settings.regions)},
      {.on_alive =
           [&](std::vector<Member> alive) {
             control.Post([&to_control, alive = std::move(alive)] {
               to_control->SetAlive(alive);
             });
           },
       .on_confirmed =
           [&](TimePoint as_of) {
             control.Post(
                 [&to_control, as_of] { to_control->OnPeerConfirmed(as_of); });
           },
       .on_newer =
           [&](const Member& peer) {
             control.Post(
                 [&to_control, peer] { to_control->FetchDeployment(peer); });
           }},
      dialect, counters);
  HttpClient http(control.io(), &counters);
  platform::StoreClient store(http, {.url = settings.platform_url}, counters);
  EntryControl entry(
      control, store, http,
      {.self = self,
       .schema = platform::Schema(),
       .calls = platform::Calls(),
       .ready_address = settings.ready_address,
       .directory_address = settings.directory_address,
       .address_max_age = settings.address_max_age,
       .confirmation_limit = confirmation_limit,
       .most_direct_followers = settings.most_direct_followers},
      {.on_view =
           [&](FleetViewPtr view) {
             traffic.Post(
                 [&server, view = std::move(view)] { server.SetView(view); });
           },
       .on_deployment_confirmed =
           [&](TimePoint as_of) {
             traffic.Post([&server, as_of] { server.Confirm(as_of); });
           },
       .on_all_confirmed =
           [&](TimePoint as_of) {
             traffic.Post([&server, as_of] { server.ConfirmView(as_of); });
           }},
      counters);
  to_control = &entry;
  const bool has_started = HaveStarted({server.Start(), entry.Start()});
  if (!has_started) return kExitUnavailable;
  control.OnHangUp(
      [&file] { ReloadLogLevel(file, &ParseDirectEntrySettings); });
  const LeaveSchedule schedule =
      MakeLeaveSchedule(FromSeconds(settings.grace_s), kTakeAfterTerm);
  OnLeave(control, traffic,
          {.announce = [&entry] { entry.BeginLeaving(); },
           .begin = [&server, schedule](
                        TimePoint now) { server.BeginLeaving(schedule, now); },
           .stop_taking = [&server] { server.StopTaking(); },
           .end_requests = [&server] { server.EndRequests(); },
           .owed = [&server] { return server.Owed(); },
           .schedule = schedule});
  Log(LogLevel::kInfo, "started",
      {{"caller_address", settings.caller_address.value()}});
  RunThreads(control, traffic);
}

}  // namespace
}  // namespace mangohold

int main(int argc, char** argv) {
  return mangohold::RunDaemon(argc, argv, "mangohold-direct-entry",
                              &mangohold::ParseDirectEntrySettings,
                              &mangohold::Run);
}
