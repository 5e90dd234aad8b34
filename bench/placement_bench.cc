// A group of 64 ranks in lock-step, 64 experts a layer, under drifting
// popularity and one straggler: skew, moves and planning time by strategy. The
// planners see reports of the period before, some of which are lost. Prints
// JSON lines; with an argument also writes a plot of the skew, as SVG, to that
// file.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <numeric>

#include "core/clock.h"
#include "core/random.h"
#include "group/placement.h"
#include "popularity.h"

namespace mangohold {
namespace {

constexpr GroupShape kShape = {.ranks = 64, .experts = 64, .slots_per_rank = 3};
constexpr int kLayers = 4;
// A period is a second, in which a report arrives and a plan is made.
constexpr int kPeriods = 1'200;
constexpr int kStepsPerPeriod = 25;
// A saving counts over this many steps.
constexpr double kHorizonSteps = 200;
constexpr int kSeeds = 3;
constexpr int kStraggler = 7;
constexpr double kStragglerSpeed = 0.6;
constexpr double kLostReports = 0.1;
constexpr double kTokens = 64.0 * 64;
// One expert takes as long to move as this many mean steps.
constexpr double kMoveSteps = 2;

// The popularity of a layer's experts: Zipf, drifting, with sudden changes.
class Popularity {
 public:
  explicit Popularity(std::uint64_t seed) : random_(seed) {
    weights_ = ShuffledPowerLaw(kShape.experts, 0.9, random_);
  }
  void Drift() {
    for (double& weight : weights_) {
      weight *= std::exp(0.02 * (random_.Unit() + random_.Unit() - 1));
    }
    if (random_.Below(80) == 0) {
      std::swap(weights_[random_.Below(kShape.experts)],
                weights_[random_.Below(kShape.experts)]);
    }
  }
  std::vector<double> Load() const {
    const double sum = std::accumulate(weights_.begin(), weights_.end(), 0.0);
    std::vector<double> load = weights_;
    for (double& value : load) value *= kTokens / sum;
    return load;
  }

 private:
  Random random_;
  std::vector<double> weights_;
};

std::vector<double> Speeds(int period) {
  std::vector<double> speeds(kShape.ranks, 1.0);
  if (period >= kPeriods / 3) speeds[kStraggler] = kStragglerSpeed;
  return speeds;
}

struct Result {
  double skew = 0;  // slowest rank over mean, by steps
  double worst_skew = 0;
  int moves = 0;
  double worst_plan_ms = 0;
  double mean_plan_ms = 0;
  std::vector<double> skews;  // by period
};

Result Run(const PlacementStrategy& strategy, std::uint64_t seed) {
  Result result;
  result.skews.resize(kPeriods);
  for (int layer = 0; layer < kLayers; ++layer) {
    Popularity popularity(seed * 100 + static_cast<std::uint64_t>(layer));
    Random losses(seed * 1000 + static_cast<std::uint64_t>(layer));
    ExpertMap map = InitialMap(kShape);
    LayerLoad reported{.expert_load = popularity.Load(),
                       .rank_speed = Speeds(0)};
    for (int period = 0; period < kPeriods; ++period) {
      const TimePoint before = Clock::now();
      const double mean_step = kTokens / kShape.ranks;
      const ExpertMap next = strategy.plan(map, reported,
                                           {.move_cost = kMoveSteps * mean_step,
                                            .horizon_steps = kHorizonSteps,
                                            .max_moves = 4});
      result.worst_plan_ms = std::max(result.worst_plan_ms,
                                      ToSeconds(Clock::now() - before) * 1e3);
      result.mean_plan_ms +=
          ToSeconds(Clock::now() - before) * 1e3 / (kPeriods * kLayers);
      result.moves += CountMoves(map, next);
      map = next;
      popularity.Drift();
      const LayerLoad truth{.expert_load = popularity.Load(),
                            .rank_speed = Speeds(period)};
      const double skew = TimeOf(map, truth).skew();
      result.skew += skew / (kPeriods * kLayers);
      result.worst_skew = std::max(result.worst_skew, skew);
      result.skews[period] += skew / kLayers;
      // The report of this period is seen in the next one, or lost.
      if (losses.Unit() >= kLostReports) reported = truth;
    }
  }
  return result;
}

void WritePlot(const std::string& file, const std::vector<Result>& results) {
  constexpr double kWidth = 720;
  constexpr double kHeight = 320;
  constexpr double kTop = 5;  // skew at the upper edge
  constexpr std::array kColours = {"#888888", "#cc6633", "#226699"};
  std::ofstream out(file);
  out << "<svg xmlns='http://www.w3.org/2000/svg' width='" << kWidth
      << "' height='" << kHeight << "' font-family='sans-serif'>\n"
      << "<rect width='100%' height='100%' fill='white'/>\n"
      << "<text x='8' y='16' font-size='12'>skew (slowest rank over mean) by "
         "period, 1 at the lower edge, 5 at the upper</text>\n";
  for (std::size_t i = 0; i < results.size(); ++i) {
    out << "<polyline fill='none' stroke='" << kColours[i] << "' points='";
    for (int period = 0; period < kPeriods; ++period) {
      const double skew = std::min(results[i].skews[period], kTop);
      out << period * kWidth / kPeriods << ','
          << kHeight - (skew - 1) / (kTop - 1) * (kHeight - 24) << ' ';
    }
    out << "'/>\n<text x='" << kWidth - 110 << "' y='" << 36 + 16 * i
        << "' font-size='12' fill='" << kColours[i] << "'>"
        << PlacementStrategies()[i].name << "</text>\n";
  }
  out << "</svg>\n";
}

}  // namespace
}  // namespace mangohold

int main(int argc, char** argv) {
  using mangohold::PlacementStrategies;
  std::vector<mangohold::Result> plotted;
  constexpr int kSteps =
      mangohold::kPeriods * mangohold::kStepsPerPeriod * mangohold::kSeeds;
  for (const auto& strategy : PlacementStrategies()) {
    mangohold::Result sum;
    for (std::uint64_t seed = 1; seed <= mangohold::kSeeds; ++seed) {
      const auto result = mangohold::Run(strategy, seed);
      sum.skew += result.skew / mangohold::kSeeds;
      sum.worst_skew = std::max(sum.worst_skew, result.worst_skew);
      sum.moves += result.moves;
      sum.mean_plan_ms += result.mean_plan_ms / mangohold::kSeeds;
      sum.worst_plan_ms = std::max(sum.worst_plan_ms, result.worst_plan_ms);
      if (seed == 1) plotted.push_back(result);
    }
    std::printf("%s\n", nlohmann::json{{"strategy", strategy.name},
                                       {"mean_skew", sum.skew},
                                       {"worst_skew", sum.worst_skew},
                                       {"experts_moved", sum.moves},
                                       {"steps", kSteps},
                                       {"mean_plan_ms", sum.mean_plan_ms},
                                       {"worst_plan_ms", sum.worst_plan_ms}}
                            .dump()
                            .c_str());
  }
  if (argc > 1) mangohold::WritePlot(argv[1], plotted);
}
