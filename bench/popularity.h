// Popularity of experts, for the benches of their placement.
#pragma once

#include <cmath>
#include <utility>
#include <vector>

#include "core/random.h"

namespace mangohold {

// Weights that fall off as a power of the place, in random order; they don't
// sum to anything in particular.
inline std::vector<double> ShuffledPowerLaw(int experts, double exponent,
                                            Random& random) {
  std::vector<double> weights;
  weights.reserve(static_cast<std::size_t>(experts));
  for (int i = 0; i < experts; ++i) {
    weights.push_back(1.0 / std::pow(i + 1, exponent));
  }
  for (int i = experts - 1; i > 0; --i) {
    std::swap(weights[i], weights[random.Below(i + 1)]);
  }
  return weights;
}

}  // namespace mangohold
