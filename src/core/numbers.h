// Numbers from text.
#pragma once

#include <charconv>
#include <cmath>
#include <cstdint>
#include <optional>
#include <string_view>

namespace mangohold {

// The number that `text` is from its first to its last character, or nothing.
inline std::optional<std::int64_t> ParseInteger(std::string_view text) {
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  const bool is_whole = result.ec == std::errc() && result.ptr == end;
  if (text.empty() || !is_whole) return std::nullopt;
  return value;
}

// The finite decimal number that `text` is from its first to its last
// character, or nothing.
inline std::optional<double> ParseDecimal(std::string_view text) {
  double value = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  const bool is_whole = result.ec == std::errc() && result.ptr == end;
  if (text.empty() || !is_whole || !std::isfinite(value)) return std::nullopt;
  return value;
}

}  // namespace mangohold
