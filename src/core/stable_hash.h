// Hashes that are the same in every process and release, unlike std::hash.
#pragma once

#include <cstdint>
#include <string_view>

namespace mangohold {

// FNV-1a, whose last characters reach the high bits too.
constexpr std::uint64_t StableHash(std::string_view text) {
  constexpr std::uint64_t kOffset = 14'695'981'039'346'656'037U;
  constexpr std::uint64_t kPrime = 1'099'511'628'211U;
  std::uint64_t hash = kOffset;
  for (const char c : text) {
    hash = (hash ^ static_cast<unsigned char>(c)) * kPrime;
  }
  hash ^= hash >> 32U;
  return hash * kPrime;
}

// Spreads each bit over all of them: the last steps of SplitMix64.
constexpr std::uint64_t MixedHash(std::uint64_t value) {
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
  return value ^ (value >> 31U);
}

}  // namespace mangohold
