#include "backend/ticket.h"

#include <array>
#include <charconv>

#include "core/random.h"

namespace mangohold {
namespace {

constexpr char kSeparator = ',';
constexpr std::size_t kTicketParts = 4;

bool IsInProgress(TicketState state) {
  return state == TicketState::kQueued || state == TicketState::kStarted;
}

}  // namespace

std::string ToText(const Ticket& ticket) {
  return ticket.agent.value() + kSeparator + ticket.incarnation.value() +
         kSeparator + std::to_string(ticket.sequence.value()) + kSeparator +
         ticket.secret;
}

absl::StatusOr<Ticket> TicketFromText(std::string_view text) {
  std::array<std::string, kTicketParts> parts;
  for (std::size_t i = 0; i < kTicketParts; ++i) {
    const std::size_t end = std::min(text.find(kSeparator), text.size());
    parts[i] = std::string(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  std::uint64_t sequence = 0;
  const char* end = parts[2].data() + parts[2].size();
  const auto number = std::from_chars(parts[2].data(), end, sequence);
  const bool is_whole = number.ec == std::errc() && number.ptr == end;
  if (!is_whole || parts[0].empty() || parts[3].empty() || !text.empty()) {
    return absl::InvalidArgumentError("not a ticket");
  }
  return Ticket{.agent = InstanceId(parts[0]),
                .incarnation = Incarnation(parts[1]),
                .sequence = TicketSequence(sequence),
                .secret = parts[3]};
}

TicketTable::TicketTable(Options options) : options_(std::move(options)) {}

std::optional<Ticket> TicketTable::Mint() {
  if (!MakeRoom()) return std::nullopt;
  last_sequence_ = last_sequence_.Next();
  Ticket ticket{.agent = options_.agent,
                .incarnation = options_.incarnation,
                .sequence = last_sequence_,
                .secret = RandomHex128()};
  entries_.emplace(last_sequence_.value(), Entry{.secret = ticket.secret});
  minted_.push_back(last_sequence_);
  return ticket;
}

// Evicts the oldest ticket that isn't in progress if the table is full.
// Eviction is safe: Submit finds no entry for the ticket, so it can't run any
// more. Only the knowledge whether it has run is lost.
bool TicketTable::MakeRoom() {
  if (entries_.size() < options_.max_tickets) return true;
  for (std::size_t i = 0; i < minted_.size(); ++i) {
    const TicketSequence oldest = minted_.front();
    minted_.pop_front();
    const auto it = entries_.find(oldest.value());
    if (!IsInProgress(it->second.state)) {
      DropResponse(it->second);
      entries_.erase(it);
      return true;
    }
    minted_.push_back(oldest);
  }
  return false;
}

TicketTable::Entry* TicketTable::Find(const Ticket& ticket) {
  if (ticket.incarnation != options_.incarnation) return nullptr;
  const auto it = entries_.find(ticket.sequence.value());
  return it == entries_.end() ? nullptr : &it->second;
}

TicketTable::SubmitResult TicketTable::Submit(const Ticket& ticket,
                                              std::uint64_t digest) {
  Entry* entry = Find(ticket);
  if (entry == nullptr) return {.verdict = Verdict::kUnknown};
  if (entry->secret != ticket.secret) return {.verdict = Verdict::kMismatch};
  const bool is_first = entry->state == TicketState::kOpen;
  if (is_first) {
    entry->state = TicketState::kQueued;
    entry->digest = digest;
    return {.verdict = Verdict::kRun};
  }
  if (entry->state == TicketState::kVoid) return {.verdict = Verdict::kVoid};
  if (entry->digest != digest) return {.verdict = Verdict::kMismatch};
  if (IsInProgress(entry->state)) return {.verdict = Verdict::kInProgress};
  if (!entry->response) return {.verdict = Verdict::kNotKept};
  return {.verdict = Verdict::kReplay, .response = &*entry->response};
}

TicketState TicketTable::Void(const Ticket& ticket) {
  Entry* entry = Find(ticket);
  if (entry == nullptr || entry->secret != ticket.secret) {
    return TicketState::kUnknown;
  }
  if (entry->state == TicketState::kOpen ||
      entry->state == TicketState::kQueued) {
    entry->state = TicketState::kVoid;
  }
  return entry->state;
}

bool TicketTable::Start(TicketSequence sequence) {
  const auto it = entries_.find(sequence.value());
  if (it == entries_.end()) return false;
  if (it->second.state != TicketState::kQueued) return false;
  it->second.state = TicketState::kStarted;
  return true;
}

void TicketTable::VoidStarted(TicketSequence sequence) {
  const auto it = entries_.find(sequence.value());
  if (it == entries_.end()) return;
  if (it->second.state == TicketState::kStarted) {
    it->second.state = TicketState::kVoid;
  }
}

void TicketTable::Finish(TicketSequence sequence,
                         std::optional<StoredResponse> response) {
  const auto it = entries_.find(sequence.value());
  if (it == entries_.end()) return;
  Entry& entry = it->second;
  if (entry.state != TicketState::kStarted) return;
  entry.state = TicketState::kDone;
  if (!response || !IsStorable(response->body.size())) return;
  stored_bytes_ += response->body.size();
  entry.response = std::move(response);
  with_response_.push_back(sequence);
  EvictResponses();
}

void TicketTable::DropResponse(Entry& entry) {
  if (!entry.response) return;
  stored_bytes_ -= entry.response->body.size();
  entry.response.reset();
}

void TicketTable::EvictResponses() {
  while (stored_bytes_ > options_.max_stored_bytes && !with_response_.empty()) {
    const auto it = entries_.find(with_response_.front().value());
    with_response_.pop_front();
    if (it != entries_.end()) DropResponse(it->second);
  }
}

}  // namespace mangohold
