// Maps of experts whose tokens are shared evenly by their holders, under
// popularity that shifts now and then: skew, copies and planning time of the
// map dealt out at the start, of the planner's maps, and the bound that full
// knowledge and free copies would give. Prints JSON lines. All figures but the
// planning times repeat exactly.
#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <numeric>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/random.h"
#include "group/even_placement.h"
#include "popularity.h"

namespace mangohold {
namespace {

struct Shape {
  std::string_view name;
  int ranks = 0;
  int experts = 0;
  int sets = 0;
  EvenPlacementOptions options;
};

const std::vector<Shape> kShapes = {
    {.name = "12 ranks, 3 sets of 96",
     .ranks = 12,
     .experts = 96,
     .sets = 3,
     .options = {.slots_per_rank = 11,
                 .spare_slots = 4,
                 .min_saving_per_copy = 0.03}},
    {.name = "24 ranks, 16 sets of 96",
     .ranks = 24,
     .experts = 96,
     .sets = 16,
     .options = {.slots_per_rank = 5,
                 .spare_slots = 4,
                 .min_saving_per_copy = 0.03}},
    {.name = "64 ranks, 4 sets of 64",
     .ranks = 64,
     .experts = 64,
     .sets = 4,
     .options = {.slots_per_rank = 3,
                 .spare_slots = 2,
                 .min_saving_per_copy = 0.03}},
    {.name = "63 ranks, 8 sets of 252",
     .ranks = 63,
     .experts = 252,
     .sets = 8,
     .options = {.slots_per_rank = 5,
                 .spare_slots = 2,
                 .min_saving_per_copy = 0.03}},
    {.name = "64 ranks, 12 sets of 256",
     .ranks = 64,
     .experts = 256,
     .sets = 12,
     .options = {.slots_per_rank = 5,
                 .spare_slots = 2,
                 .min_saving_per_copy = 0.03}},
};

// Plans follow one another at this distance; popularity shifts in every
// twentieth period.
constexpr int kPeriods = 200;
constexpr int kPeriodsPerShift = 20;
constexpr int kSeeds = 3;
constexpr double kExponent = 1.3;
// The part of the demand that a shift leaves as it is.
constexpr double kCommon = 0.65;
constexpr double kLeastGain = 0.25;

std::vector<double> Popularity(int experts, Random& random) {
  std::vector<double> weights = ShuffledPowerLaw(experts, kExponent, random);
  const double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
  for (double& weight : weights) weight /= sum;
  return weights;
}

// One part of the demand lasts, the other one is drawn anew at each shift.
class ShiftingDemand {
 public:
  ShiftingDemand(const Shape& shape, std::uint64_t seed)
      : shape_(shape), random_(seed) {
    for (int set = 0; set < shape.sets; ++set) {
      lasting_.push_back(Popularity(shape.experts, random_));
    }
    Shift();
  }

  void Shift() {
    demand_ = lasting_;
    for (auto& set : demand_) {
      const std::vector<double> topic = Popularity(shape_.experts, random_);
      std::ranges::transform(set, topic, set.begin(), [](double a, double b) {
        return kCommon * a + (1 - kCommon) * b;
      });
    }
  }

  const ExpertDemand& demand() const { return demand_; }

 private:
  const Shape& shape_;
  Random random_;
  ExpertDemand lasting_;
  ExpertDemand demand_;
};

// No map with these places has less skew: copies go one by one to the expert
// with the largest share, and ranks are filled without a remainder.
double BoundOf(const std::vector<double>& demand, const Shape& shape) {
  std::vector<int> holders(demand.size(), 1);
  const auto share = [&](std::size_t expert) {
    return demand[expert] / holders[expert];
  };
  std::vector<std::size_t> experts(demand.size());
  std::iota(experts.begin(), experts.end(), 0);
  const int spare = shape.ranks * shape.options.slots_per_rank - shape.experts;
  for (int copy = 0; copy < spare; ++copy) {
    ++holders[*std::ranges::max_element(experts, {}, share)];
  }
  const double largest = share(*std::ranges::max_element(experts, {}, share));
  const double sum = std::accumulate(demand.begin(), demand.end(), 0.0);
  return std::max(1.0, largest * shape.ranks / sum);
}

double BoundOf(const ExpertDemand& demand, const Shape& shape) {
  double sum = 0;
  for (const auto& set : demand) sum += BoundOf(set, shape);
  return sum / static_cast<double>(demand.size());
}

struct Result {
  double dealt = 0;  // mean skews
  double planned = 0;
  double settled = 0;  // of the last period before each shift
  double bound = 0;
  int copies = 0;
  int switches = 0;
  double mean_plan_ms = 0;
  double worst_plan_ms = 0;
};

Result Run(const Shape& shape) {
  Result result;
  constexpr double kPart = 1.0 / (kSeeds * kPeriods);
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ShiftingDemand source(shape, seed);
    const GroupMap dealt(static_cast<std::size_t>(shape.sets),
                         RoundRobinMap(shape.ranks, shape.experts));
    GroupMap map = dealt;
    for (int period = 0; period < kPeriods; ++period) {
      if (period % kPeriodsPerShift == 0) source.Shift();
      const ExpertDemand& demand = source.demand();
      const double skew = SkewOf(map, demand);
      result.dealt += SkewOf(dealt, demand) * kPart;
      result.planned += skew * kPart;
      result.bound += BoundOf(demand, shape) * kPart;
      if (period % kPeriodsPerShift == kPeriodsPerShift - 1) {
        result.settled += skew * kPart * kPeriodsPerShift;
      }
      const TimePoint before = Clock::now();
      const GroupMap next = PlanGroupMap(map, demand, shape.options);
      const double plan_ms = ToSeconds(Clock::now() - before) * 1e3;
      result.mean_plan_ms += plan_ms * kPart;
      result.worst_plan_ms = std::max(result.worst_plan_ms, plan_ms);
      if (skew - SkewOf(next, demand) < kLeastGain) continue;
      result.copies += CountCopies(map, next);
      ++result.switches;
      map = next;
    }
  }
  return result;
}

}  // namespace
}  // namespace mangohold

int main() {
  for (const auto& shape : mangohold::kShapes) {
    const auto result = mangohold::Run(shape);
    std::printf("%s\n", nlohmann::json{{"shape", shape.name},
                                       {"skew_dealt", result.dealt},
                                       {"skew_planned", result.planned},
                                       {"skew_settled", result.settled},
                                       {"skew_bound", result.bound},
                                       {"copies", result.copies},
                                       {"switches", result.switches},
                                       {"mean_plan_ms", result.mean_plan_ms},
                                       {"worst_plan_ms", result.worst_plan_ms}}
                            .dump()
                            .c_str());
  }
}
