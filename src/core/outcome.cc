#include "core/outcome.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace mangohold {
namespace {

struct ReasonRow {
  Reason reason;
  std::string_view name;
  int http_status;
};

constexpr std::array kReasons = std::to_array<ReasonRow>({
    {Reason::kNone, "none", 200},
    {Reason::kBadRequest, "bad_request", 400},
    {Reason::kUnknownService, "unknown_service", 404},
    {Reason::kUnknownWorkspace, "unknown_workspace", 403},
    {Reason::kTicketRequired, "ticket_required", 428},
    {Reason::kTicketMismatch, "ticket_mismatch", 422},
    {Reason::kTicketVoid, "ticket_void", 409},
    {Reason::kTicketUnknown, "ticket_unknown", 502},
    {Reason::kTicketInProgress, "ticket_in_progress", 409},
    {Reason::kAnswerNotKept, "answer_not_kept", 502},
    {Reason::kAnswerTooLarge, "answer_too_large", 502},
    {Reason::kWorkspaceLimit, "workspace_limit", 429},
    {Reason::kEntryLimit, "entry_limit", 503},
    {Reason::kConfigurationUnknown, "configuration_unknown", 503},
    {Reason::kStaleConfiguration, "stale_configuration", 503},
    {Reason::kZoneOut, "zone_out", 503},
    {Reason::kNoBackend, "no_backend", 503},
    {Reason::kBackendLeaving, "backend_leaving", 503},
    {Reason::kBackendRefused, "backend_refused", 503},
    {Reason::kBackendUnreachable, "backend_unreachable", 503},
    {Reason::kBackendFailed, "backend_failed", 502},
    {Reason::kBackendStuck, "backend_stuck", 502},
    {Reason::kQueueFull, "queue_full", 503},
    {Reason::kDeadlineUnreachable, "deadline_unreachable", 503},
    {Reason::kDeadlineExceeded, "deadline_exceeded", 504},
    {Reason::kRetryBudget, "retry_budget", 503},
    {Reason::kAgentUnreachable, "agent_unreachable", 503},
    {Reason::kLinkBroken, "link_broken", 502},
    {Reason::kCallerGone, "caller_gone", 499},
    {Reason::kUnknownRoute, "unknown_route", 404},
    {Reason::kUnknownKey, "unknown_key", 401},
    {Reason::kEntryLeaving, "entry_leaving", 503},
    {Reason::kPromptCrashesBackends, "prompt_crashes_backends", 503},
    {Reason::kBackendLimit, "backend_limit", 503},
    {Reason::kRequestCrashesBackends, "request_crashes_backends", 503},
    {Reason::kBodyTooLarge, "body_too_large", 413},
    {Reason::kBodyTooSlow, "body_too_slow", 408},
    {Reason::kMemoryLimit, "memory_limit", 503},
    {Reason::kConnectionLimit, "connection_limit", 503},
});
static_assert(kReasons.size() == static_cast<std::size_t>(Reason::kCount));

constexpr bool IsInEnumOrder() {
  for (std::size_t i = 0; i < kReasons.size(); ++i) {
    if (kReasons[i].reason != static_cast<Reason>(i)) return false;
  }
  return true;
}
static_assert(IsInEnumOrder());

constexpr std::array<std::string_view, static_cast<int>(Outcome::kCount)>
    kOutcomes = {"answered", "not_run", "unknown"};

}  // namespace

std::string_view Name(Outcome outcome) {
  return kOutcomes[static_cast<std::size_t>(outcome)];
}

std::string_view Name(Reason reason) {
  return kReasons[static_cast<std::size_t>(reason)].name;
}

Reason ReasonFromName(std::string_view name) {
  const auto* row = std::ranges::find(kReasons, name, &ReasonRow::name);
  return row == kReasons.end() ? Reason::kNone : row->reason;
}

int HttpStatus(Reason reason) {
  return kReasons[static_cast<std::size_t>(reason)].http_status;
}

}  // namespace mangohold
