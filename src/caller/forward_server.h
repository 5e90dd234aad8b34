// The traffic side of an entry on the direct way: callers' connections, the
// choice of route and workspace, and the requests in progress.
#pragma once

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "backend/connect_probe.h"
#include "caller/caller_connection.h"
#include "caller/forward_context.h"
#include "caller/forward_run.h"
#include "net/datagram_socket.h"
#include "net/event_loop.h"
#include "net/graceful_stop.h"
#include "peer/entry_gossip.h"

namespace mangohold {

// Belongs to the traffic thread, but for the constructor.
class ForwardServer {
 public:
  struct Options {
    Endpoint listen;
    int max_connections = 3'000;
    int memory_mb = 0;  // in force; 0: no limit
    // Of the machine; 0: unknown.
    int max_descriptors = 0;
    Dispatcher::Options dispatcher;
    SharedRetryBudget::Options budget;
    Duration confirmation_limit = std::chrono::milliseconds(4'500);
    Member self;
    // Regions of the zones, for routes that allow some only.
    std::map<ZoneName, RegionName> regions;
  };

  // What the control side is told.
  struct Handlers {
    // The entries that are heard and take work have changed.
    std::function<void(std::vector<Member>)> on_alive;
    // A peer confirms this entry's deployment as of then.
    std::function<void(TimePoint as_of)> on_confirmed;
    // A peer has a newer deployment.
    std::function<void(const Member& peer)> on_newer;
  };

  ForwardServer(EventLoop& loop, Options options, Handlers handlers,
                const Dialect& dialect, Counters& counters);

  absl::Status Start();
  void SetView(FleetViewPtr view);
  void Confirm(TimePoint as_of);
  // The view holds every change acknowledged before `as_of`.
  void ConfirmView(TimePoint as_of);
  // Answers ask callers to connect elsewhere from now on, and only what is
  // expected to end in time is sent on.
  void BeginLeaving(const LeaveSchedule& schedule, TimePoint now);
  // New requests are refused; those in progress go on.
  void StopTaking();
  // Ends the requests in progress, each with the true word.
  void EndRequests();
  OwedAnswers Owed() const;

 private:
  using RunPtr = std::shared_ptr<ForwardRun>;

  void Accept();
  void OnAccepted(asio::ip::tcp::socket socket);
  bool MakeRoomForConnection();
  void RefuseConnection(Reason reason);
  void OnAcceptFailed(const std::error_code& error);
  void OnRequest(const CallerConnection::Ptr& caller, CallerMessage message);
  void Refuse(const CallerConnection::Ptr& caller, const RequestId& id,
              Reason reason, Millis retry_after);
  ServiceName ChooseService(const Route& route);
  std::vector<ZoneName> ZonesOf(const Route& route) const;
  void OnDatagram(std::string_view data);
  void Gossip();
  void UpdateEntries(TimePoint now);
  void ReportGoneBackends(const FleetView& before, TimePoint now);
  void TrackBlocked(TimePoint now);
  PoisonReport NextPoisonReport(bool is_full_round, TimePoint now);
  void CheckBackend(const BackendRecord& backend);
  void Probe(const BackendRecord& backend, int probes_left);
  void OnProbed(const BackendRecord& backend, ProbeResult result,
                TimePoint begin, int probes_left);
  void RequestDecisions();
  void CarryOutDecisions();
  void Tick();

  EventLoop& loop_;
  Options options_;
  Handlers handlers_;
  asio::ip::tcp::acceptor acceptor_;
  DatagramSocket socket_;
  EntryGossip gossip_;
  MemoryBudget memory_;
  std::vector<Member> alive_;  // as last told to the control side
  ForwardContext context_;
  CallerConnection::Host host_;
  CallerLimits default_limits_;
  Random random_;
  std::vector<CallerConnection::Ptr> connections_;
  std::vector<RunPtr> runs_;
  bool has_requested_decisions_ = false;
  bool is_leaving_ = false;
  bool is_closed_ = false;
  int ticks_ = 0;
  int gossip_rounds_ = 0;
  std::set<InstanceId> checked_backends_;  // of which the result is due
  std::pair<int, int> blocked_;            // parts and requests, as last logged
};

}  // namespace mangohold
