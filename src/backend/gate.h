// The single point of admission for a backend server. It enforces every
// invariant (concurrency limit, draining, zone, at-most-once execution) in the
// only process that can reach the server, so an entry with stale information
// causes a refused attempt and nothing worse.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "backend/admission.h"
#include "backend/ticket.h"
#include "config/tree.h"
#include "core/clock.h"
#include "core/ids.h"
#include "core/outcome.h"
#include "peer/messages.h"

namespace mangohold {

class Gate {
 public:
  struct Options {
    InstanceId instance;
    ServiceName service;
    ZoneName zone;
    TicketTable::Options tickets;
    // New requests are refused if the configuration was last confirmed longer
    // ago than this, unless the service is set to be served when cut off.
    Duration confirmation_limit = std::chrono::milliseconds(2'500);
  };

  enum class Verdict { kRun, kQueued, kReplay, kRefused };
  struct Decision {
    Verdict verdict = Verdict::kRefused;
    Reason reason = Reason::kNone;  // for kRefused
    bool may_have_run = false;      // for kRefused
    Millis retry_after{0};          // for kRefused
    // For kReplay; valid until the next call to the gate.
    const StoredResponse* response = nullptr;
    std::optional<ShedRequest> displaced;
  };
  using Progress = Admission::Progress;

  explicit Gate(Options options);

  // Applies a newer configuration. Sheds all queued requests if it closes the
  // gate.
  Progress SetConfiguration(ConfigurationPtr configuration, TimePoint now);
  // Records that the configuration was confirmed to be the newest at `as_of`.
  void Confirm(TimePoint as_of);
  // Closes the gate for good, because the backend server or this agent is
  // draining. Sheds all queued requests.
  Progress BeginLeaving(TimePoint now);
  // The backend server is cold: it restarted or refused a connection.
  void BecomeCold() { admission_.BecomeCold(); }
  // The watched connection closed, so the backend server may have restarted.
  void Suspect() { admission_.Suspect(); }
  // A load report shows that the backend server has not restarted.
  Progress ClearSuspicion(TimePoint now);

  TicketReply Mint(const TicketRequest& request, TimePoint now);
  Decision Submit(WorkId id, const SubmitRequest& request,
                  std::string_view body, TimePoint now);
  TicketState Void(const Ticket& ticket);
  // Drops a queued request whose stream broke and voids its ticket. Returns
  // false if the request was not queued.
  bool Abandon(WorkId id);
  // Records the end of a started request. The response is stored under its
  // ticket, if it has one.
  Progress Finish(WorkId id, WorkResult result,
                  std::optional<StoredResponse> response, TimePoint now);
  Progress Advance(TimePoint now);

  AgentStatus Status(TimePoint now) const;
  // Why new requests are refused now, or kNone if the gate is open.
  Reason ClosedReason(TimePoint now) const;
  const Admission& admission() const { return admission_; }
  const TicketTable& tickets() const { return tickets_; }
  std::optional<TimePoint> next_deadline() const {
    return admission_.next_deadline();
  }

 private:
  struct Work {
    std::optional<Ticket> ticket;
    TimePoint started_at;
  };

  Reason CheckRevision(const SubmitRequest& request) const;
  std::optional<Decision> DecideByTicket(WorkId id,
                                         const SubmitRequest& request,
                                         std::string_view body);
  Decision Refuse(Reason reason, Millis retry_after, bool may_have_run = false);
  Progress UpdateTickets(Progress progress, TimePoint now);
  void DropWork(WorkId id);

  Options options_;
  Admission admission_;
  TicketTable tickets_;
  ConfigurationPtr configuration_;
  const ServiceDocument* service_ = nullptr;
  std::optional<TimePoint> confirmed_at_;
  bool is_leaving_ = false;
  std::unordered_map<std::uint64_t, Work> work_;
};

}  // namespace mangohold
