#include "core/random.h"

#include <array>
#include <cstdio>

namespace mangohold {

std::uint64_t RandomSeed() {
  std::random_device device;
  return (std::uint64_t{device()} << 32) | device();
}

std::string RandomHex128() {
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(RandomSeed()),
                static_cast<unsigned long long>(RandomSeed()));
  return {text.data(), 32};
}

}  // namespace mangohold
