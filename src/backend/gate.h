// The one decision point before a backend server. Whatever must always hold
// about the server (its limit, leaving, its zone, at most once) is decided
// here, by the only process that can reach it; senders with stale knowledge
// cost a refused attempt and nothing else.
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
    // New work is taken only while the configuration was confirmed less than
    // this long ago.
    Duration confirmation_limit = std::chrono::milliseconds(2'500);
  };

  enum class Verdict { kRun, kQueued, kReplay, kRefused };
  struct Decision {
    Verdict verdict = Verdict::kRefused;
    Reason reason = Reason::kNone;  // for kRefused
    bool may_have_run = false;      // for kRefused
    Millis retry_after{0};          // for kRefused
    const StoredResponse* response =
        nullptr;  // for kReplay, until the next call
    std::optional<ShedRequest> displaced;
  };
  using Progress = Admission::Progress;

  explicit Gate(Options options);

  // Takes a newer configuration; work that waits is shed if it closes the gate.
  Progress SetConfiguration(ConfigurationPtr configuration, TimePoint now);
  // The configuration was known to be the newest at `as_of`.
  void Confirm(TimePoint as_of);
  // The backend server or this agent is leaving; there is no way back.
  Progress BeginLeaving(TimePoint now);
  // The backend server lost its warmth: restart, refused connection.
  void BecomeCold() { admission_.BecomeCold(); }
  // Its connection closed, so that it may have restarted.
  void Suspect() { admission_.Suspect(); }
  // Its report shows that it hasn't.
  Progress ClearSuspicion(TimePoint now);

  TicketReply Mint(const TicketRequest& request, TimePoint now);
  Decision Submit(WorkId id, const SubmitRequest& request,
                  std::string_view body, TimePoint now);
  TicketState Void(const Ticket& ticket);
  // The sender's stream broke. Waiting work is dropped for good; returns true
  // if it was waiting.
  bool Abandon(WorkId id);
  // Started work has ended. An answer is kept for its ticket, if it has one.
  Progress Finish(WorkId id, WorkResult result,
                  std::optional<StoredResponse> response, TimePoint now);
  Progress Advance(TimePoint now);

  AgentStatus Status(TimePoint now) const;
  // Why new work is refused now, or kNone.
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
