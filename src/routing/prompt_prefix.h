// The beginning of a prompt that other requests may share.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <vector>

#include "core/ids.h"
#include "core/stable_hash.h"

namespace mangohold {

// The leading parts of a prompt, each with all parts before it: a backend
// server can only reuse a part whose predecessors are the same too.
class PromptPrefix {
 public:
  struct Level {
    std::uint64_t key = 0;  // of the model and the parts so far
    int tokens = 0;         // of the parts so far
  };

  PromptPrefix() = default;
  explicit PromptPrefix(std::string_view model) : key_(StableHash(model)) {}

  void Append(PromptPart part, int tokens) {
    key_ = MixedHash(key_ + MixedHash(part.value()));
    const int before = levels_.empty() ? 0 : levels_.back().tokens;
    levels_.push_back(
        {.key = key_,
         .tokens = before + std::clamp(tokens, 0, kMaxTokens - before)});
  }
  const std::vector<Level>& levels() const { return levels_; }
  bool empty() const { return levels_.empty(); }

 private:
  // Bounds what a caller states, so that sums don't overflow.
  static constexpr int kMaxTokens = 100'000'000;

  std::uint64_t key_ = 0;
  std::vector<Level> levels_;
};

}  // namespace mangohold
