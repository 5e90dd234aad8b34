// The data path of an agent: accepts streams from entries, admits their
// requests through the gate, forwards them to the backend server and relays
// the responses.
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
#include "net/graceful_stop.h"
#include "net/http_client.h"
#include "net/memory_budget.h"
#include "peer/http2_endpoints.h"
#include "peer/http2_session.h"

namespace mangohold {

// To be used on the traffic thread only, except for the constructor.
class AgentServer {
 public:
  struct Options {
    Gate::Options gate;
    Endpoint listen;
    std::string backend_url;
    std::size_t max_body_bytes = 4U << 20U;
    // What the bodies of all streams may hold.
    MemoryBudget::Options memory = {};
    int max_connections = 0;  // of entries; 0: no limit
  };

  AgentServer(EventLoop& loop, Options options, Counters& counters);

  absl::Status Start();
  void SetConfiguration(ConfigurationPtr configuration);
  void Confirm(TimePoint as_of);
  // Starts draining, for good: refuses new and queued requests and lets those
  // in progress finish.
  void BeginLeaving();
  // Ends the requests in progress. Entries are told that they may have run.
  void EndRequests();
  OwedAnswers Owed() const;
  // Why new requests are refused now, or kNone if they are accepted.
  Reason ClosedReason() const { return gate_.ClosedReason(Clock::now()); }

 private:
  // The part of a stream's request that has arrived so far.
  struct Incoming {
    std::string path;
    std::string message;
    std::string body;
    std::unique_ptr<MemoryBudget::Holder> held;
    std::size_t progress_bytes = 0;  // of the body at the last progress
    bool is_refused = false;
  };
  using JobPtr = std::shared_ptr<Job>;

  void Accept(const Http2StreamPtr& stream);
  void OnBodyData(const Http2StreamPtr& stream, Incoming& incoming,
                  std::string_view data);
  static std::size_t HeldBytes(const Incoming& incoming);
  // Drops a request that is still being read. This submission has not run; an
  // earlier one under its ticket may have.
  void RefuseBody(const Http2StreamPtr& stream, Incoming& incoming,
                  Reason reason);
  void Dispatch(const Http2StreamPtr& stream, Incoming& incoming);
  void OnTicket(const Http2StreamPtr& stream, const std::string& message);
  void OnVoid(const Http2StreamPtr& stream, const std::string& message);
  void RefuseVoided(const std::string& ticket);
  void OnStatus(const Http2StreamPtr& stream, const std::string& message);
  void OnSubmit(const Http2StreamPtr& stream, Incoming& incoming);

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
  MemoryBudget budget_;  // outlives the streams and jobs
  Gate gate_;
  HttpClient http_;
  BackendMonitor monitor_;
  Http2Server server_;
  WorkId last_work_;
  std::unordered_map<std::uint64_t, JobPtr> jobs_;
};

}  // namespace mangohold
