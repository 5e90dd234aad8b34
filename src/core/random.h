// Random numbers: a seeded source for decisions, and unpredictable identifiers.
#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace mangohold {

// The seeded source that decision classes draw from. Equal seeds give equal
// decisions, which golden sessions and the bench depend on.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  // Uniform in [0, bound). `bound` must be positive.
  std::uint64_t Below(std::uint64_t bound) { return engine_() % bound; }
  // Uniform in [0, 1).
  double Unit() { return std::generate_canonical<double, 53>(engine_); }

 private:
  std::mt19937_64 engine_;
};

// 128 unpredictable bits in hexadecimal, from the operating system's source.
std::string RandomHex128();
// 64 unpredictable bits, used as a seed where no reproducibility is wanted.
std::uint64_t RandomSeed();

}  // namespace mangohold
