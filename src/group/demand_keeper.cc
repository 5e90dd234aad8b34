#include "group/demand_keeper.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <numeric>
#include <utility>
#include <vector>

#include "core/log.h"
#include "core/status.h"

namespace mangohold {
namespace {

// The most demanded expert of a set has this value.
constexpr double kMostSteps = 250;
// The demand is written at most this often, and only if this part of it is new.
constexpr std::chrono::seconds kInterval(1);
constexpr double kLeastDifference = 0.1;

double SumOf(const std::vector<double>& set) {
  return std::accumulate(set.begin(), set.end(), 0.0);
}

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

double DifferenceOf(const ExpertDemand& one, const ExpertDemand& other) {
  const auto is_alike = [](const auto& a, const auto& b) {
    return a.size() == b.size();
  };
  if (one.empty() || !std::ranges::equal(one, other, is_alike)) return 1;
  double sum = 0;
  for (std::size_t set = 0; set < one.size(); ++set) {
    const double first = std::max(1.0, SumOf(one[set]));
    const double second = std::max(1.0, SumOf(other[set]));
    for (std::size_t expert = 0; expert < one[set].size(); ++expert) {
      sum += std::abs(one[set][expert] / first - other[set][expert] / second);
    }
  }
  return sum / 2 / static_cast<double>(one.size());
}

void DemandKeeper::Keep(const ExpertDemand& demand, TimePoint now) {
  if (demand.empty() || (kept_at_ && now - *kept_at_ < kInterval)) return;
  if (DifferenceOf(demand, *kept_) < kLeastDifference) return;
  kept_at_ = now;
  *kept_ = demand;
  store_.Commit({.writes = {{key_, EncodeDemand(demand), LeaseId()}}},
                [kept = kept_](const TransactionResult& result) {
                  if (result.outcome == TransactionOutcome::kApplied) return;
                  kept->clear();
                  Log(LogLevel::kInfo, "demand_not_kept",
                      {{"fate", static_cast<int>(result.outcome)}});
                });
}

void DemandKeeper::Read(
    std::function<void(const ExpertDemand&)> on_demand) const {
  const auto on_page = [key = key_, on_demand = std::move(on_demand)](
                           const absl::StatusOr<StorePage>& page) {
    if (!page.ok()) {
      return Log(LogLevel::kWarning, "demand_unread",
                 {{"error", MessageOf(page.status())}});
    }
    for (const StoreItem& item : page->items) {
      const auto demand = DecodeDemand(item.value);
      if (item.key != key || !demand || demand->empty()) continue;
      Log(LogLevel::kInfo, "demand_restored",
          {{"sets", demand->size()}, {"revision", item.revision.number()}});
      on_demand(*demand);
    }
  };
  store_.List(key_, "", Freshness::kLinearizable, on_page);
}

}  // namespace mangohold
