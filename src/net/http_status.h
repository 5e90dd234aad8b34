// Which numbers can be the status of a response. What a faulty peer sends in
// place of one is no response: nobody may be told it, and nothing follows from
// it.
#pragma once

#include <optional>
#include <string_view>

namespace mangohold {

inline constexpr int kFirstFinalStatus = 200;
inline constexpr int kLastStatus = 599;

inline bool IsFinalStatus(int status) {
  return status >= kFirstFinalStatus && status <= kLastStatus;
}

// True for the statuses that precede a final one and that a peer may send
// unasked. 101 isn't one: no request of ours asks for another protocol.
inline bool IsInterimStatus(int status) {
  constexpr int kContinue = 100;
  constexpr int kProcessing = 102;
  constexpr int kEarlyHints = 103;
  return status == kContinue || status == kProcessing || status == kEarlyHints;
}

// The status to write in a response: 502, with a log line, in place of a number
// that isn't a final one. Readers of peers' responses reject such numbers.
int CheckedStatus(int status);

// The status of a response, from its first line such as "HTTP/1.1 200 OK".
// Absent unless it is written as three digits and is final or interim.
std::optional<int> StatusOfLine(std::string_view line);

}  // namespace mangohold
