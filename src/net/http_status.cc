#include "net/http_status.h"

#include <algorithm>

#include "core/log.h"

namespace mangohold {

int CheckedStatus(int status) {
  constexpr int kBadGateway = 502;
  if (IsFinalStatus(status)) return status;
  Log(LogLevel::kError, "status_not_written", {{"status", status}});
  return kBadGateway;
}

std::optional<int> StatusOfLine(std::string_view line) {
  constexpr std::size_t kDigits = 3;
  constexpr int kBase = 10;
  const std::size_t space = line.find(' ');
  if (space == std::string_view::npos) return std::nullopt;
  const std::string_view rest = line.substr(space + 1);
  const std::string_view digits = rest.substr(0, rest.find_first_of(" \r\n"));
  const auto is_digit = [](char c) { return c >= '0' && c <= '9'; };
  if (digits.size() != kDigits || !std::ranges::all_of(digits, is_digit)) {
    return std::nullopt;
  }
  int status = 0;
  for (const char digit : digits) status = status * kBase + (digit - '0');
  if (!IsFinalStatus(status) && !IsInterimStatus(status)) return std::nullopt;
  return status;
}

}  // namespace mangohold
