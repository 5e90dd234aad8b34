// What became of a request, and the reason when it was not answered.
#pragma once

#include <string_view>

namespace mangohold {

// Every request ends with exactly one of these.
enum class Outcome {
  kAnswered,  // the whole answer was delivered
  kNotRun,    // certain: no backend server started the request
  kUnknown,   // the request may have run
  kCount
};

// Why a request was refused, retried or left without an answer. The text of
// each is shown to callers, in logs and as a metric label.
enum class Reason {
  kNone,
  kBadRequest,
  kUnknownService,
  kUnknownWorkspace,
  kTicketRequired,
  kTicketMismatch,
  kTicketVoid,
  kTicketUnknown,
  kTicketInProgress,
  kAnswerNotKept,
  kAnswerTooLarge,
  kWorkspaceLimit,
  kEntryLimit,
  kConfigurationUnknown,
  kStaleConfiguration,
  kZoneOut,
  kNoBackend,
  kBackendLeaving,
  kBackendRefused,
  kBackendUnreachable,
  kBackendFailed,
  kBackendStuck,
  kQueueFull,
  kDeadlineUnreachable,
  kDeadlineExceeded,
  kRetryBudget,
  kAgentUnreachable,
  kLinkBroken,
  kCallerGone,
  kUnknownRoute,
  kUnknownKey,
  kEntryLeaving,
  kPromptCrashesBackends,
  kBackendLimit,
  kRequestCrashesBackends,
  kBodyTooLarge,
  kBodyTooSlow,
  kMemoryLimit,
  kConnectionLimit,
  kCount
};

std::string_view Name(Outcome outcome);
std::string_view Name(Reason reason);
// The reason with the given name, or kNone for a name this version lacks.
Reason ReasonFromName(std::string_view name);
// The HTTP status that callers get with a request that ended for `reason`.
int HttpStatus(Reason reason);

}  // namespace mangohold
