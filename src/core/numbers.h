// Whole numbers from text.
#pragma once

#include <charconv>
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

}  // namespace mangohold
