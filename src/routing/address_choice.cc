#include "routing/address_choice.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <limits>
#include <numeric>
#include <utility>

#include "core/stable_hash.h"

namespace mangohold {
namespace {

// The least entries of a caller's own zone that are enough for it.
constexpr std::size_t kEnoughOfZone = 2;
// Sums of capacities that should be whole are off by less than this.
constexpr double kRounding = 1e-6;
// Smaller parts of the greatest capacity vanish in sums with it: then which of
// the small entries are named would not depend on their draws.
constexpr double kLeastRelative = 1e-9;

std::vector<std::size_t> OfOwnZone(const AddressCandidates& candidates,
                                   std::string_view zone) {
  std::vector<std::size_t> all(candidates.size());
  std::iota(all.begin(), all.end(), std::size_t{0});
  std::vector<std::size_t> near;
  std::ranges::copy_if(all, std::back_inserter(near), [&](std::size_t place) {
    return candidates[place].zone == zone;
  });
  return near.size() >= kEnoughOfZone ? near : all;
}

bool IsKnown(double capacity) {
  return std::isfinite(capacity) && capacity > 0;
}

// The capacities of the entries at `places`, the greatest of which counts 1.
std::vector<double> RelativeCapacities(const AddressCandidates& candidates,
                                       const std::vector<std::size_t>& places) {
  double greatest = 0;
  for (const std::size_t place : places) {
    const double capacity = candidates[place].capacity;
    if (IsKnown(capacity)) greatest = std::max(greatest, capacity);
  }
  if (greatest == 0) return std::vector<double>(places.size(), 1.0);
  std::vector<double> relative;
  double known_sum = 0;
  int known = 0;
  for (const std::size_t place : places) {
    const double capacity = candidates[place].capacity;
    relative.push_back(
        IsKnown(capacity) ? std::max(capacity / greatest, kLeastRelative) : 0);
    known_sum += relative.back();
    known += IsKnown(capacity) ? 1 : 0;
  }
  for (std::size_t i = 0; i < places.size(); ++i) {
    if (!IsKnown(candidates[places[i]].capacity)) {
      relative[i] = known_sum / known;
    }
  }
  return relative;
}

// The most entries that can be named with each in proportion: more would name
// some with a probability above 1.
std::size_t NumberToName(const std::vector<double>& relative,
                         const AddressLimits& limits) {
  const double sum = std::accumulate(relative.begin(), relative.end(), 0.0);
  const auto proportional = static_cast<std::size_t>(sum + kRounding);
  const std::size_t most = std::min(limits.most, relative.size());
  return std::clamp(proportional, std::min(limits.least, most), most);
}

// The probabilities with which the entries are named. Their sum is `count`, at
// most the number of the entries. Those that would exceed 1 are always named,
// and the others share the rest in proportion.
std::vector<double> Probabilities(std::vector<double> relative,
                                  std::size_t count) {
  std::vector<std::size_t> order(relative.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::ranges::sort(order, std::greater(),
                    [&relative](std::size_t i) { return relative[i]; });
  double rest = std::accumulate(relative.begin(), relative.end(), 0.0);
  auto left = static_cast<double>(count);
  for (const std::size_t i : order) {
    const double capacity = relative[i];
    const bool is_certain = capacity * left >= rest * (1 - kRounding);
    if (!is_certain) {
      for (double& other : relative) {
        if (other <= capacity) other *= left / rest;
      }
      break;
    }
    rest -= capacity;
    left -= 1;
    relative[i] = std::numeric_limits<double>::infinity();
  }
  for (double& probability : relative) {
    probability = std::min(probability, 1.0);
  }
  return relative;
}

// A number in (0, 1) that stays the same for one interval. The intervals of the
// entries begin at different times, so that answers change little by little.
double Draw(std::string_view id, const AddressQuestion& question,
            Duration interval) {
  constexpr int kUnusedBits = 12;  // so that a double holds the rest and a half
  const std::uint64_t hash = MixedHash(StableHash(id) ^ question.seed);
  const auto length = static_cast<std::uint64_t>(interval.count());
  const auto now =
      static_cast<std::uint64_t>(question.now.time_since_epoch().count());
  const std::uint64_t interval_number = (now + hash % length) / length;
  const std::uint64_t drawn =
      MixedHash(hash + MixedHash(interval_number + 1)) >> kUnusedBits;
  return std::ldexp(static_cast<double>(drawn) + 0.5,
                    kUnusedBits - std::numeric_limits<std::uint64_t>::digits);
}

}  // namespace

// Pareto sampling: the entries with the lowest odds of their draw over the odds
// of their probability are named. The number of the named ones is fixed, and an
// entry that leaves is replaced by the next one without changing the others.
std::vector<std::size_t> ChooseAddresses(const AddressCandidates& candidates,
                                         const AddressQuestion& question,
                                         const AddressLimits& limits) {
  std::vector<std::size_t> places = OfOwnZone(candidates, question.zone);
  const std::vector<double> relative = RelativeCapacities(candidates, places);
  const std::size_t count = NumberToName(relative, limits);
  if (count == places.size()) return places;
  const std::vector<double> probabilities = Probabilities(relative, count);
  std::vector<std::pair<double, std::size_t>> ranked;
  for (std::size_t i = 0; i < places.size(); ++i) {
    const double probability = probabilities[i];
    const double draw =
        Draw(candidates[places[i]].id, question, limits.redraw_interval);
    ranked.emplace_back(draw / (1 - draw) * (1 - probability) / probability,
                        places[i]);
  }
  std::ranges::sort(ranked);
  places.clear();
  for (std::size_t i = 0; i < count; ++i) places.push_back(ranked[i].second);
  std::ranges::sort(places);
  return places;
}

}  // namespace mangohold
