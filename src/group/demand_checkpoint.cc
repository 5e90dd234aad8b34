#include "group/demand_checkpoint.h"

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

// The encoded value of the most demanded expert of a set.
constexpr double kMaxEncodedValue = 250;
// The demand is written at most once per interval, and only if it differs from
// the saved demand by at least this distance.
constexpr std::chrono::seconds kSaveInterval(1);
constexpr double kMinSaveDistance = 0.1;

double SumOf(const std::vector<double>& set) {
  return std::accumulate(set.begin(), set.end(), 0.0);
}

}  // namespace

std::string EncodeDemand(const ExpertDemand& demand) {
  nlohmann::json sets = nlohmann::json::array();
  for (const std::vector<double>& set : demand) {
    const double max = set.empty() ? 0 : std::ranges::max(set);
    std::vector<int> encoded;
    std::ranges::transform(set, std::back_inserter(encoded), [&](double value) {
      return max > 0
                 ? static_cast<int>(std::lround(value * kMaxEncodedValue / max))
                 : 0;
    });
    sets.push_back(std::move(encoded));
  }
  return sets.dump();
}

std::optional<ExpertDemand> DecodeDemand(const std::string& text) {
  try {
    const auto sets = nlohmann::json::parse(text).get<ExpertDemand>();
    const bool is_valid = std::ranges::all_of(sets, [&](const auto& set) {
      return set.size() == sets.front().size() &&
             std::ranges::all_of(set, [](double value) { return value >= 0; });
    });
    if (!is_valid) return std::nullopt;
    return sets;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

double DemandDistance(const ExpertDemand& first, const ExpertDemand& second) {
  const auto same_size = [](const auto& a, const auto& b) {
    return a.size() == b.size();
  };
  if (first.empty() || !std::ranges::equal(first, second, same_size)) return 1;
  double sum = 0;
  for (std::size_t set = 0; set < first.size(); ++set) {
    const double first_sum = std::max(1.0, SumOf(first[set]));
    const double second_sum = std::max(1.0, SumOf(second[set]));
    for (std::size_t expert = 0; expert < first[set].size(); ++expert) {
      sum += std::abs(first[set][expert] / first_sum -
                      second[set][expert] / second_sum);
    }
  }
  return sum / 2 / static_cast<double>(first.size());
}

void DemandCheckpoint::Save(const ExpertDemand& demand, TimePoint now) {
  if (demand.empty() || (saved_at_ && now - *saved_at_ < kSaveInterval)) return;
  if (DemandDistance(demand, *saved_) < kMinSaveDistance) return;
  saved_at_ = now;
  *saved_ = demand;
  store_.Commit({.writes = {{key_, EncodeDemand(demand), LeaseId()}}},
                [saved = saved_](const TransactionResult& result) {
                  if (result.outcome == TransactionOutcome::kApplied) return;
                  saved->clear();
                  Log(LogLevel::kInfo, "demand_write_failed",
                      {{"fate", static_cast<int>(result.outcome)}});
                });
}

void DemandCheckpoint::Load(
    std::function<void(const ExpertDemand&)> on_demand) const {
  const auto on_page = [key = key_, on_demand = std::move(on_demand)](
                           const absl::StatusOr<StorePage>& page) {
    if (!page.ok()) {
      return Log(LogLevel::kWarning, "demand_read_failed",
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
