// Single-use tickets: non-idempotent requests run at most once without relying
// on clocks, shared storage or consensus.
//
// A ticket names the one agent incarnation that accepts it. That agent runs it
// at most once. After the incarnation has ended, its tickets can never run.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "absl/status/statusor.h"
#include "core/ids.h"

namespace mangohold {

struct Ticket {
  InstanceId agent;
  Incarnation incarnation;
  TicketSequence sequence;
  std::string secret;  // 128 random bits in hexadecimal

  bool operator==(const Ticket&) const = default;
};

// Converts a ticket to the text form that callers hold, and back. An invalid
// text gives an invalid-argument status.
std::string ToText(const Ticket& ticket);
absl::StatusOr<Ticket> TicketFromText(std::string_view text);

// The life cycle of a ticket. kVoid and kDone are final. The numbers are sent
// in messages, so the order must stay.
enum class TicketState {
  kOpen,     // minted, not yet submitted
  kQueued,   // submitted and waiting for admission; can be voided
  kStarted,  // the backend server may have seen the request
  kDone,     // the exchange with the backend server has ended
  kVoid,     // will never run
  kUnknown   // not in the table: of another incarnation, or evicted
};

// A complete response that is stored to be replayed to resubmissions.
struct StoredResponse {
  int http_status = 0;
  std::string content_type;
  std::string body;
};

// The tickets of one agent incarnation. Memory is bounded by a limit on the
// number of tickets and one on the total size of stored responses.
class TicketTable {
 public:
  struct Options {
    InstanceId agent;
    Incarnation incarnation;
    std::size_t max_tickets = 65'536;
    std::size_t max_stored_bytes = 16U << 20U;
    std::size_t max_response_bytes = 256U << 10U;
  };

  // What the agent has to do with a submission.
  enum class Verdict {
    kRun,         // first submission: the ticket is now kQueued
    kReplay,      // done: send the stored response
    kNotKept,     // done, but no response is stored
    kInProgress,  // submitted before and not done yet
    kVoid,        // has not run and never will
    kMismatch,    // wrong secret, or a different request
    kUnknown      // unknown to this incarnation
  };
  struct SubmitResult {
    Verdict verdict = Verdict::kUnknown;
    const StoredResponse* response =
        nullptr;  // for kReplay, until the next call
  };

  explicit TicketTable(Options options);

  // Mints an open ticket. Returns nothing while all tickets in a full table
  // belong to requests in progress.
  std::optional<Ticket> Mint();
  // Submits a request under a ticket. `digest` is a hash of the request's
  // content, so that a ticket can't fetch the response to a different request.
  SubmitResult Submit(const Ticket& ticket, std::uint64_t digest);
  // Voids an open or queued ticket, which then never runs. Returns the
  // resulting state: kVoid only if the ticket has not been started.
  TicketState Void(const Ticket& ticket);
  // Marks an admitted submission as started. Returns false if the ticket is not
  // kQueued, in which case the request must not be run.
  bool Start(TicketSequence sequence);
  // Voids the ticket of a started submission that the backend server certainly
  // did not execute.
  void VoidStarted(TicketSequence sequence);
  // Marks a started submission as done and stores its response, if there is one
  // of a storable size.
  void Finish(TicketSequence sequence, std::optional<StoredResponse> response);
  // Whether a response body of this size may be stored.
  bool IsStorable(std::size_t bytes) const {
    return bytes <= options_.max_response_bytes;
  }

  std::size_t size() const { return entries_.size(); }
  std::size_t stored_bytes() const { return stored_bytes_; }

 private:
  struct Entry {
    std::string secret;
    std::uint64_t digest = 0;
    TicketState state = TicketState::kOpen;
    std::optional<StoredResponse> response;
  };

  Entry* Find(const Ticket& ticket);
  bool MakeRoom();
  void DropResponse(Entry& entry);
  void EvictResponses();

  Options options_;
  TicketSequence last_sequence_;
  std::unordered_map<std::uint64_t, Entry> entries_;
  std::deque<TicketSequence> minted_;         // oldest first
  std::deque<TicketSequence> with_response_;  // oldest first
  std::size_t stored_bytes_ = 0;
};

}  // namespace mangohold
