// The traffic side of an agent: streams from entries go through the gate to
// the backend server, and its answers go back.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "absl/status/status.h"
#include "backend/backend_monitor.h"
#include "backend/gate.h"
#include "backend/job.h"
#include "core/counters.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "peer/http2_session.h"

namespace mangohold {

// Belongs to the traffic thread, but for the constructor.
class AgentServer {
 public:
  struct Options {
    Gate::Options gate;
    Endpoint listen;
    std::string backend_url;
    std::size_t max_body_bytes = 4U << 20U;
  };

  AgentServer(EventLoop& loop, Options options, Counters& counters);

  absl::Status Start();
  void SetConfiguration(ConfigurationPtr configuration);
  void Confirm(TimePoint as_of);
  // Takes no new work from now on; work in progress goes on.
  void BeginLeaving();
  // True when no work is in progress.
  bool is_idle() const { return jobs_.empty(); }
  // Why new work is refused now, or kNone.
  Reason ClosedReason() const { return gate_.ClosedReason(Clock::now()); }

 private:
  // A stream whose request is still arriving.
  struct Incoming {
    std::string path;
    std::string message;
    std::string body;
    bool is_too_large = false;
  };
  using JobPtr = std::shared_ptr<Job>;

  void Accept(const Http2StreamPtr& stream);
  void Dispatch(const Http2StreamPtr& stream, const Incoming& incoming);
  void OnTicket(const Http2StreamPtr& stream, const std::string& message);
  void OnVoid(const Http2StreamPtr& stream, const std::string& message);
  void RefuseVoided(const std::string& ticket);
  void OnStatus(const Http2StreamPtr& stream, const std::string& message);
  void OnSubmit(const Http2StreamPtr& stream, const Incoming& incoming);

  void Run(const JobPtr& job);
  void OnBackendHead(const JobPtr& job, int status, const HttpFields& fields);
  void OnBackendData(const JobPtr& job, std::string_view data);
  void OnBackendDone(const JobPtr& job, HttpResult result);
  void OnStreamBroken(const JobPtr& job);
  void Replay(const JobPtr& job, const StoredResponse& response);
  void Refuse(const JobPtr& job, Reason reason, bool may_have_run,
              Millis retry_after);
  void FinishJob(const JobPtr& job, WorkResult result, bool is_complete,
                 Reason reason);
  void Apply(const Gate::Progress& progress);
  void BecomeCold();
  void Tick();
  void UpdateGauges();

  EventLoop& loop_;
  Options options_;
  Counters& counters_;
  Gate gate_;
  HttpClient http_;
  BackendMonitor monitor_;
  Http2Server server_;
  WorkId last_work_;
  std::unordered_map<std::uint64_t, JobPtr> jobs_;
};

}  // namespace mangohold
