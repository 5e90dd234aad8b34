// A hash on which nobody can make two different inputs agree on purpose. The
// same in every process and release.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace mangohold {

// The first 64 bits of the SHA-256 of `texts`, each with its length before it.
std::uint64_t CryptographicHash(std::initializer_list<std::string_view> texts);

}  // namespace mangohold
