// Simulates a model engine that crashes and restarts at random while entries
// with stale load information overload its agent. Guards against more requests
// in progress than a cold engine can take.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "backend/gate.h"
#include "core/random.h"

namespace mangohold {
namespace {

constexpr int kSeeds = 200;
constexpr int kEntries = 8;
constexpr Millis kRunTime{20'000};
constexpr Millis kStep{1};

ConfigurationPtr DraftConfiguration() {
  ConfigTree tree;
  tree.Apply({.documents = {{.path = "/services/drafts",
                             .revision = Revision(1),
                             .text = R"({"concurrency_limit": 16,
                               "repeatable_calls": [{"method": "POST"}],
                               "cold_start": {"initial_limit": 2,
                                              "successes_per_step": 4}})"}},
              .complete_through = Revision(1)});
  return tree.configuration();
}

// A model engine whose capacity is 2 when cold and grows with each request
// served.
struct Engine {
  int capacity() const { return std::min(16, 2 + served / 4); }

  int served = 0;
  bool is_up = true;
  TimePoint up_at;
  std::map<std::uint64_t, TimePoint> running;  // by id, with their end
};

// One simulation of a gate and its engine in virtual time.
class ColdStartRun {
 public:
  explicit ColdStartRun(std::uint64_t seed) : random_(seed) {
    gate_.SetConfiguration(DraftConfiguration(), now_);
    gate_.Confirm(now_ + std::chrono::hours(1));
  }

  // Returns the largest excess of requests in progress over the engine's
  // capacity; 0 or less if the capacity was never exceeded.
  int Run() {
    for (const TimePoint end = now_ + kRunTime; now_ < end; now_ += kStep) {
      FinishDue();
      if (random_.Below(3'000) == 0 && engine_.is_up) Crash();
      if (!engine_.is_up && now_ >= suspected_at_) gate_.Suspect();
      if (!engine_.is_up && now_ >= engine_.up_at) Boot();
      // Load comes in bursts with idle times between them. In a burst every
      // entry takes the engine for warm and idle.
      const bool is_wave = ToMillis(now_.time_since_epoch()) / 700 % 2 == 0;
      for (int i = 0; is_wave && i < kEntries; ++i) {
        if (random_.Below(10) == 0) Submit();
      }
      Start(gate_.Advance(now_));
    }
    return max_excess_;
  }
  int served() const { return total_served_; }

 private:
  void Submit() {
    const WorkId id(++last_id_);
    const auto decision = gate_.Submit(id,
                                       {.service = ServiceName("drafts"),
                                        .workspace = WorkspaceName("sales"),
                                        .method = "POST",
                                        .target = "/",
                                        .deadline = Millis(2'000),
                                        .configuration_revision = Revision(1)},
                                       "", now_);
    if (decision.verdict == Gate::Verdict::kRun) StartOne(id);
  }

  void Start(const Gate::Progress& progress) {
    for (const WorkId id : progress.start) StartOne(id);
  }

  void StartOne(WorkId id) {
    if (!engine_.is_up) {  // the connection is refused
      gate_.BecomeCold();
      return Start(gate_.Finish(id, WorkResult::kRefused, {}, now_));
    }
    engine_.running[id.value()] = now_ + Millis(20 + random_.Below(100));
    max_excess_ =
        std::max(max_excess_,
                 static_cast<int>(engine_.running.size()) - engine_.capacity());
  }

  void FinishDue() {
    std::vector<std::uint64_t> due;
    for (const auto& [id, end] : engine_.running) {
      if (end <= now_) due.push_back(id);
    }
    for (const std::uint64_t id : due) {
      engine_.running.erase(id);
      ++engine_.served;
      ++total_served_;
      Start(gate_.Finish(WorkId(id), WorkResult::kServed, {}, now_));
    }
  }

  // The engine's process ends. The agent sees its idle connection close up to 8
  // ms later, before the new process listens.
  void Crash() {
    engine_.is_up = false;
    engine_.up_at = now_ + Millis(10 + random_.Below(500));
    suspected_at_ = now_ + Millis(random_.Below(9));
    const auto running = std::move(engine_.running);
    engine_.running.clear();
    for (const auto& [id, end] : running) {
      gate_.BecomeCold();
      Start(gate_.Finish(WorkId(id), WorkResult::kFailed, {}, now_));
    }
  }

  // The new process listens. Its report with the new boot id arrives only now,
  // later than the loss of the connection.
  void Boot() {
    engine_.is_up = true;
    engine_.served = 0;
    gate_.BecomeCold();
  }

  Random random_;
  TimePoint now_{std::chrono::hours(1)};
  TimePoint suspected_at_;
  Gate gate_{{.instance = InstanceId("agent"),
              .service = ServiceName("drafts"),
              .zone = ZoneName("suva"),
              .tickets = {}}};
  Engine engine_;
  std::uint64_t last_id_ = 0;
  int max_excess_ = -1000;
  int total_served_ = 0;
};

TEST(ColdStart, NeverExceedsTheCapacityOfAnEngine) {
  int served = 0;
  for (int seed = 0; seed < kSeeds; ++seed) {
    ColdStartRun run(static_cast<std::uint64_t>(seed));
    EXPECT_LE(run.Run(), 0) << "seed " << seed;
    served += run.served();
  }
  // The limit grows: more requests are served than the cold limit would allow.
  EXPECT_GT(served, kRunTime / Millis(70) * 2 * kSeeds);
}

TEST(ColdStart, ReturningZoneStartsAtTheInitialLimit) {
  const auto tree_with_zone = [](ConfigTree& tree, std::uint64_t revision,
                                 const std::string& state) {
    tree.Apply({.documents = {{.path = "/zones/suva",
                               .revision = Revision(revision),
                               .text = "{\"state\": \"" + state + "\"}"}},
                .complete_through = Revision(revision)});
    return tree.configuration();
  };
  ConfigTree tree;
  tree.Apply({.documents = {{.path = "/services/drafts",
                             .revision = Revision(1),
                             .text = R"({"concurrency_limit": 8,
                               "cold_start": {"initial_limit": 8}})"}},
              .complete_through = Revision(1)});
  const TimePoint now{std::chrono::hours(1)};
  Gate gate({.instance = InstanceId("agent"),
             .service = ServiceName("drafts"),
             .zone = ZoneName("suva"),
             .tickets = {}});
  gate.SetConfiguration(tree.configuration(), now);
  gate.Confirm(now);
  EXPECT_EQ(gate.Status(now).limit, 8);
  tree.Apply({.documents = {{.path = "/services/drafts",
                             .revision = Revision(2),
                             .text = R"({"concurrency_limit": 8,
                               "cold_start": {"initial_limit": 2}})"}},
              .complete_through = Revision(2)});
  gate.SetConfiguration(tree_with_zone(tree, 3, "out"), now);
  EXPECT_EQ(gate.ClosedReason(now), Reason::kZoneOut);
  gate.SetConfiguration(tree_with_zone(tree, 4, "in"), now);
  EXPECT_EQ(gate.ClosedReason(now), Reason::kNone);
  EXPECT_EQ(gate.Status(now).limit, 2);
}

TEST(ColdStart, HigherInitialLimitAppliesAtOnce) {
  ColdStartLimit limit({.initial_limit = 1, .successes_per_step = 4}, 16);
  limit.SetOptions({.initial_limit = 6, .successes_per_step = 4}, 16);
  EXPECT_EQ(limit.limit(), 6);
  limit.SetOptions({.initial_limit = 6, .successes_per_step = 4}, 4);
  EXPECT_EQ(limit.limit(), 4);
}

TEST(ColdStart, SuspectedServerKeepsTheInitialLimitUntilCleared) {
  ColdStartLimit limit({.initial_limit = 2, .successes_per_step = 1}, 16);
  for (int i = 0; i < 6; ++i) limit.OnSuccess(/*was_full=*/true);
  EXPECT_EQ(limit.limit(), 8);
  limit.Suspect();
  EXPECT_EQ(limit.limit(), 2);
  limit.Suspect();
  limit.ClearSuspicion();
  EXPECT_EQ(limit.limit(), 8);
  limit.Suspect();
  limit.BecomeCold();
  limit.ClearSuspicion();
  EXPECT_EQ(limit.limit(), 2);
}

}  // namespace
}  // namespace mangohold
