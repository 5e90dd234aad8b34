#include "group/demand_text.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <vector>

namespace mangohold {
namespace {

// The most demanded expert of a set has this value.
constexpr double kMostSteps = 250;

}  // namespace

std::string EncodeDemand(const ExpertDemand& demand) {
  nlohmann::json sets = nlohmann::json::array();
  for (const std::vector<double>& set : demand) {
    const double most = set.empty() ? 0 : std::ranges::max(set);
    std::vector<int> steps;
    std::ranges::transform(set, std::back_inserter(steps), [&](double value) {
      return most > 0 ? static_cast<int>(std::lround(value * kMostSteps / most))
                      : 0;
    });
    sets.push_back(std::move(steps));
  }
  return sets.dump();
}

std::optional<ExpertDemand> DecodeDemand(const std::string& text) {
  try {
    const auto sets = nlohmann::json::parse(text).get<ExpertDemand>();
    const bool is_sound = std::ranges::all_of(sets, [&](const auto& set) {
      return set.size() == sets.front().size() &&
             std::ranges::all_of(set, [](double value) { return value >= 0; });
    });
    if (!is_sound) return std::nullopt;
    return sets;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace mangohold
