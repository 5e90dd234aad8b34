// Checks of text that other processes have written.
#pragma once

#include <algorithm>
#include <string_view>

namespace mangohold {

// True if the text has no control characters, so that it fits into a header
// field and into a URL's host.
inline bool IsPlainText(std::string_view text) {
  constexpr char kDelete = 0x7f;
  return std::ranges::none_of(
      text, [](char c) { return (c >= 0 && c < ' ') || c == kDelete; });
}

}  // namespace mangohold
