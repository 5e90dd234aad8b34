// The traffic side of an entry: callers' HTTP, the address list, tickets, and
// the links to agents.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "caller/entry_context.h"
#include "caller/request_run.h"
#include "core/counters.h"
#include "net/event_loop.h"
#include "net/graceful_stop.h"
#include "net/http_server.h"
#include "platform/instance.h"

namespace mangohold {

// Belongs to the traffic thread, but for the constructor.
class EntryServer {
 public:
  struct Options {
    InstanceId instance;
    ZoneName zone;
    Endpoint listen;
    std::uint64_t seed = 1;
    int max_requests = 2'000;  // requests in progress at this entry
    std::size_t max_body_bytes = 4U << 20U;
    // What the bodies of all callers may hold.
    MemoryBudget::Options memory = {};
    int max_connections = 4096;
    // How long callers may use the address list.
    Millis address_max_age{5'000};
  };

  EntryServer(EventLoop& loop, Options options, Counters& counters);

  absl::Status Start();
  void SetConfiguration(ConfigurationPtr configuration);
  void SetInstances(const std::vector<Instance>& instances);
  // Leaves the address list and asks callers to reconnect elsewhere; requests
  // go on being served.
  void BeginLeaving();
  // Ends the requests in progress, each with the true word.
  void EndRequests();
  OwedAnswers Owed() const;
  Millis address_max_age() const { return options_.address_max_age; }

 private:
  using Exchange = std::shared_ptr<HttpExchange>;

  void Handle(HttpRequest request, const Exchange& exchange);
  void HandleEntries(const Exchange& exchange);
  void HandleReady(const Exchange& exchange);
  void HandleTicket(const HttpRequest& request, const Exchange& exchange);
  void HandleCall(HttpRequest request, const Exchange& exchange);
  absl::StatusOr<CallerRequest> ToCallerRequest(HttpRequest request,
                                                Reason& reason) const;
  // Mints a ticket and answers with it: 200, or 428 for a request that came
  // without one.
  void GrantTicket(const ServiceName& service, const RequestId& id, int status,
                   const Exchange& exchange);
  // What became of a ticket through other entries isn't known here, so that a
  // refusal promises nothing to a caller that presents one.
  void Refuse(const RequestId& id, Outcome outcome, Reason reason,
              std::string_view detail, const Exchange& exchange);
  bool IsOverWorkspaceLimit(const WorkspaceName& workspace) const;
  // Its zone has been out for as long as callers may use an old address list.
  bool IsZoneLongOut() const;
  void SyncLinks();
  void AskStatus(const InstanceId& backend);

  EventLoop& loop_;
  Options options_;
  Counters& counters_;
  std::shared_ptr<EntryContext> shared_context_;
  EntryContext& context_;
  HttpServer http_;
  std::vector<Instance> instances_;
  bool has_configuration_ = false;
  bool is_leaving_ = false;
  // When this entry's own zone went out, while it is out.
  std::optional<TimePoint> zone_out_since_;
};

}  // namespace mangohold
