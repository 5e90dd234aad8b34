#include "routing/backend_choice.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "core/stable_hash.h"

namespace mangohold {
namespace {

// Least free capacity that is assumed for an eligible backend, in requests. It
// keeps backends with a high cost from being excluded from the random choice.
constexpr double kMinFreeSlots = 0.05;
// Random noise lets entries break ties in different ways, in requests.
constexpr double kNoise = 0.1;
// Weight of all holders of a prefix together, relative to all other backends,
// if they are idle and the prefix saves as much as one request costs.
constexpr double kHolderPreference = 4;
// Part of the holders' slots up to which they are preferred. The rest is for
// what peers have sent there and this entry does not know yet.
constexpr double kMaxHolderLoad = 0.6;

double MeanCost(const BackendCandidates& candidates) {
  double sum = 0;
  for (const BackendCandidate& candidate : candidates) sum += candidate.cost;
  return sum / static_cast<double>(candidates.size());
}

// True if the cached prefix saves more than the backend's load above the mean
// costs.
bool IsPreferred(const BackendCandidate& candidate, double mean_cost) {
  return candidate.saving > std::max(0.0, candidate.cost - mean_cost);
}

// Factor by which the weight of each preferred backend rises for a saving of
// one request. All of them are preferred alike, in proportion to the room that
// they have together.
double HolderPreference(const BackendCandidates& candidates, double mean_cost) {
  double holders = 0;
  double cost = 0;
  double slots = 0;
  for (const BackendCandidate& candidate : candidates) {
    if (!IsPreferred(candidate, mean_cost)) continue;
    ++holders;
    cost += candidate.cost;
    slots += candidate.slots;
  }
  if (holders == 0 || slots <= 0) return 0;
  const double room = std::clamp(1 - cost / slots / kMaxHolderLoad, 0.0, 1.0);
  const auto others = static_cast<double>(candidates.size()) - holders;
  return kHolderPreference * room * others / holders;
}

// Returns the factors by which a cached prefix raises the weights of the draw;
// none if it raises none.
std::vector<double> HolderFactors(const BackendCandidates& candidates) {
  const bool has_saving = std::ranges::any_of(
      candidates, [](const BackendCandidate& c) { return c.saving > 0; });
  if (!has_saving) return {};
  const double mean_cost = MeanCost(candidates);
  const double preference = HolderPreference(candidates, mean_cost);
  if (preference <= 0) return {};
  std::vector<double> factors;
  factors.reserve(candidates.size());
  for (const BackendCandidate& candidate : candidates) {
    const double saving =
        IsPreferred(candidate, mean_cost) ? candidate.saving : 0;
    factors.push_back(1 + preference * saving);
  }
  return factors;
}

}  // namespace

std::optional<std::size_t> ChooseLeastLoaded(
    const BackendCandidates& candidates, Random& random) {
  std::optional<std::size_t> best;
  double best_cost = std::numeric_limits<double>::max();
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const double cost =
        candidates[i].cost - candidates[i].saving + random.Unit() * kNoise;
    if (cost >= best_cost) continue;
    best = i;
    best_cost = cost;
  }
  return best;
}

std::optional<std::size_t> DrawByFreeCapacity(
    const BackendCandidates& candidates, Random& random) {
  const std::vector<double> factors = HolderFactors(candidates);
  std::vector<double> weights;
  double sum = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const double free =
        std::max(kMinFreeSlots, candidates[i].slots - candidates[i].cost);
    sum += factors.empty() ? free : free * factors[i];
    weights.push_back(sum);
  }
  const auto drawn = std::ranges::upper_bound(weights, random.Unit() * sum);
  if (drawn == weights.end()) return std::nullopt;
  return static_cast<std::size_t>(drawn - weights.begin());
}

std::optional<std::size_t> ChooseForSuspect(const BackendCandidates& candidates,
                                            RequestDigest suspect) {
  const auto order = [suspect](const BackendCandidate& candidate) {
    return std::pair(candidate.suspects,
                     MixedHash(suspect.value() ^ StableHash(candidate.id)));
  };
  const auto first = std::ranges::min_element(candidates, {}, order);
  if (first == candidates.end()) return std::nullopt;
  return static_cast<std::size_t>(first - candidates.begin());
}

}  // namespace mangohold
