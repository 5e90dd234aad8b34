#include "caller/connection_reports.h"

#include <array>

#include "core/log.h"

namespace mangohold {
namespace {

constexpr std::array<std::string_view, static_cast<int>(ConnectionEnd::kCount)>
    kNames = {"caller_closed", "evicted", "aborted",
              "overdue",       "leaving", "surplus"};

}  // namespace

std::string_view Name(ConnectionEnd cause) {
  return kNames.at(static_cast<std::size_t>(cause));
}

void ReportUnfinished(const UnfinishedEnd& end, Counters& counters) {
  counters.Count(Event::kConnectionsUnfinished);
  Log(LogLevel::kInfo, "connection_unfinished",
      {{"cause", Name(end.cause)},
       {"request_bytes", end.request_bytes},
       {"handed_out", end.was_handed_out},
       {"answered", end.was_answered},
       {"unwritten_bytes", end.unwritten_bytes},
       {"ahead_bytes", end.ahead_bytes},
       {"reset", end.is_reset}});
}

void ReportRefused(const RefusedRead& refused, Counters& counters) {
  counters.CountRefusal(refused.reason);
  if (refused.reason == Reason::kBadRequest) {
    return Log(LogLevel::kInfo, "malformed_request",
               {{"status", refused.status}});
  }
  Log(LogLevel::kInfo, "body_refused",
      {{"reason", Name(refused.reason)},
       {"status", refused.status},
       {"body_bytes", refused.body_bytes},
       {"held_bytes", refused.held_bytes}});
}

}  // namespace mangohold
