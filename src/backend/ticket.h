// Single-use tickets: the means by which work that may not be repeated runs at
// most once, without a clock, a store or an agreement between processes.
//
// A ticket names the one agent incarnation that will honour it. That agent
// runs it at most once, and when the incarnation ends its tickets can never
// run again.
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

// The text form that callers hold, and back.
std::string ToText(const Ticket& ticket);
absl::StatusOr<Ticket> TicketFromText(std::string_view text);

// The life of a ticket. kVoid and kDone are final.
enum class TicketState {
  kOpen,     // minted, nothing submitted under it
  kQueued,   // submitted, waiting for admission; can still be voided
  kStarted,  // the backend server may have seen the request
  kDone,     // the backend server's answer has ended
  kVoid,     // will never run
  kUnknown   // not in the book: of another incarnation, or long forgotten
};

// A whole answer that is kept so that a resubmission gets it again.
struct StoredResponse {
  int http_status = 0;
  std::string content_type;
  std::string body;
};

// The tickets of one agent incarnation. Memory is bounded by the number of
// tickets and by the bytes of kept answers.
class TicketTable {
 public:
  struct Options {
    InstanceId agent;
    Incarnation incarnation;
    std::size_t max_tickets = 65'536;
    std::size_t max_stored_bytes = 16U << 20U;
    std::size_t max_response_bytes = 256U << 10U;
  };

  // What the agent is to do with a submission.
  enum class Verdict {
    kRun,         // first submission: the ticket is now queued
    kReplay,      // done: give the kept answer
    kNotKept,     // done, but the answer is no longer kept
    kInProgress,  // submitted before and not yet done
    kVoid,        // never ran and never will
    kMismatch,    // the secret or the request differs
    kUnknown      // unknown to this incarnation
  };
  struct SubmitResult {
    Verdict verdict = Verdict::kUnknown;
    const StoredResponse* response =
        nullptr;  // for kReplay, until the next call
  };

  explicit TicketTable(Options options);

  // Mints an open ticket. Returns nothing while all places are taken by work
  // in progress.
  std::optional<Ticket> Mint();
  // Presents a request under a ticket. `digest` stands for the request's
  // content, so that a ticket can't fetch the answer of another request.
  SubmitResult Submit(const Ticket& ticket, std::uint64_t digest);
  // Makes sure that an open or queued ticket never runs. The resulting state
  // tells whether that came in time.
  TicketState Void(const Ticket& ticket);
  // A queued submission was admitted. Returns false if it is not queued, in
  // which case it must not be run.
  bool Start(TicketSequence sequence);
  // A started submission turned out not to have reached the backend server.
  void VoidStarted(TicketSequence sequence);
  // A started submission has ended. Without an answer, none is kept.
  void Finish(TicketSequence sequence, std::optional<StoredResponse> response);
  // Whether an answer of this size would be kept.
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
  std::deque<TicketSequence> with_response_;  // with kept answers, oldest first
  std::size_t stored_bytes_ = 0;
};

}  // namespace mangohold
