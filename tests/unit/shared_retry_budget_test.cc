#include "routing/shared_retry_budget.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <ranges>
#include <vector>

#include "core/random.h"

namespace mangohold {
namespace {

constexpr double kRatio = 0.2;
constexpr double kSlack = 94;
constexpr std::chrono::seconds kWindow(10);

// The fleet below plays entries that take requests, fail most of them and
// retry, while processes are killed and start again.
class BudgetFleet {
 public:
  struct Options {
    std::uint64_t seed = 1;
    int entries = 9;
    double requests_per_s = 94;
    double failure_rate = 0.9;
    // Retries wait for backends until the next multiple of this; 0: they are
    // sent at once.
    Duration reopening{0};
    // All entries but one are killed so often; 0: never.
    Duration kill_interval{0};
    // The list of entries is empty to a process that starts before this time.
    TimePoint list_returns;
  };

  explicit BudgetFleet(Options options)
      : options_(options), random_(options.seed) {
    for (int i = 0; i < options_.entries; ++i) {
      processes_.push_back(NewProcess());
      Learn(processes_.back());
    }
  }

  void Run(Duration length) {
    const TimePoint end = TimePoint() + length;
    while (now_ < end) {
      now_ += kStep;
      KillIfDue();
      for (Process& process : processes_) Step(process);
    }
  }

  // The largest excess of retries over what a window allows, and its end.
  struct Excess {
    double retries = 0;
    TimePoint at;
  };
  Excess LargestExcess() const {
    Excess largest{.retries = -kSlack};
    for (const TimePoint end : retries_) {
      const auto before = [end](Duration age) { return end - age; };
      const auto requests =
          std::max({CountWithin(requests_, end),
                    CountWithin(requests_, before(kWindow / 2)),
                    CountWithin(requests_, before(kWindow))});
      const double excess = static_cast<double>(CountWithin(retries_, end)) -
                            (kRatio * static_cast<double>(requests) + kSlack);
      if (excess > largest.retries) largest = {.retries = excess, .at = end};
    }
    return largest;
  }
  std::size_t retries() const { return retries_.size(); }

 private:
  static constexpr std::chrono::milliseconds kStep{10};
  static constexpr std::chrono::milliseconds kFailureDelay{60};
  static constexpr std::chrono::milliseconds kRestart{400};
  // A process learns of the other entries so long after its start.
  static constexpr std::chrono::milliseconds kListDelay{150};

  struct Process {
    SharedRetryBudget budget;
    TimePoint started;
    bool knows_entries = false;
    std::vector<TimePoint> failures;  // to come
    std::vector<TimePoint> granted;   // when each is sent
  };

  Process NewProcess() const {
    return {.budget = SharedRetryBudget(
                {.ratio = kRatio, .slack = kSlack, .window = kWindow}),
            .started = now_ + (now_ > TimePoint() ? kRestart : Duration(0))};
  }

  void Learn(Process& process) {
    process.knows_entries = true;
    process.budget.SetEntries(options_.entries, now_);
  }

  void KillIfDue() {
    if (options_.kill_interval.count() == 0) return;
    if ((now_ - TimePoint()) % options_.kill_interval >= kStep) return;
    for (Process& process : processes_ | std::views::drop(1)) {
      process = NewProcess();
    }
  }

  void Step(Process& process) {
    if (now_ < process.started) return;
    const bool may_learn =
        now_ >= options_.list_returns && now_ >= process.started + kListDelay;
    if (!process.knows_entries && may_learn) Learn(process);
    const double share = options_.requests_per_s / options_.entries;
    if (random_.Unit() < share * ToSeconds(kStep)) {
      process.budget.OnRequest(now_);
      requests_.push_back(now_);
      Attempt(process);
    }
    HandleFailures(process);
    SendGranted(process);
  }

  void Attempt(Process& process) {
    if (random_.Unit() >= options_.failure_rate) return;
    process.failures.push_back(now_ + kFailureDelay);
  }

  void HandleFailures(Process& process) {
    const auto due = std::ranges::partition(
        process.failures, [this](TimePoint at) { return at > now_; });
    for (std::size_t i = 0; i < due.size(); ++i) {
      if (process.budget.TryReserve(now_)) {
        process.granted.push_back(now_ + WaitForBackend());
      }
    }
    process.failures.erase(due.begin(), due.end());
  }

  Duration WaitForBackend() const {
    if (options_.reopening.count() == 0) return Duration(0);
    return options_.reopening - (now_ - TimePoint()) % options_.reopening;
  }

  void SendGranted(Process& process) {
    const auto due = std::ranges::partition(
        process.granted, [this](TimePoint at) { return at > now_; });
    for (std::size_t i = 0; i < due.size(); ++i) {
      process.budget.OnSent();
      retries_.push_back(now_);
      Attempt(process);
    }
    process.granted.erase(due.begin(), due.end());
  }

  static std::ptrdiff_t CountWithin(const std::vector<TimePoint>& times,
                                    TimePoint end) {
    return std::ranges::upper_bound(times, end) -
           std::ranges::upper_bound(times, end - kWindow);
  }

  Options options_;
  Random random_;
  TimePoint now_;
  std::vector<Process> processes_;
  std::vector<TimePoint> requests_;
  std::vector<TimePoint> retries_;
};

// The retries of all entries in any window stay within the shared bound,
// however the requests are distributed over the entries.
TEST(SharedRetryBudget, SumStaysWithinBoundInAnyWindow) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Random random(seed);
    constexpr int kEntries = 6;
    std::vector<SharedRetryBudget> budgets(
        kEntries, SharedRetryBudget(
                      {.ratio = kRatio, .slack = kSlack, .window = kWindow}));
    for (auto& budget : budgets) budget.SetEntries(kEntries, TimePoint());
    std::vector<TimePoint> requests;
    std::vector<TimePoint> retries;
    TimePoint now;
    for (int step = 0; step < 4'000; ++step) {
      now += std::chrono::milliseconds(random.Below(15));
      auto& budget = budgets[random.Below(kEntries)];
      if (random.Below(3) == 0) {
        budget.OnRequest(now);
        requests.push_back(now);
      } else if (budget.TryReserve(now)) {
        budget.OnSent();
        retries.push_back(now);
      }
    }
    const auto within = [](const std::vector<TimePoint>& times, TimePoint end) {
      return std::ranges::count_if(times, [end](TimePoint time) {
        return time <= end && time > end - kWindow;
      });
    };
    for (const TimePoint end : retries) {
      EXPECT_LE(static_cast<double>(within(retries, end)),
                kRatio * static_cast<double>(within(requests, end)) + kSlack)
          << "seed " << seed;
    }
  }
}

TEST(SharedRetryBudget, IdleEntryHasItsShareOfSlackInEachWindow) {
  SharedRetryBudget budget({.ratio = 0.2, .slack = 60, .safety_margin = 0});
  TimePoint now;
  budget.SetEntries(6, now);
  now += 3 * kWindow;
  int granted = 0;
  for (const TimePoint end = now + kWindow; now < end;
       now += std::chrono::milliseconds(1)) {
    if (!budget.TryReserve(now)) continue;
    budget.OnSent();
    ++granted;
  }
  EXPECT_GE(granted, 9);
  EXPECT_LE(granted, 10);
}

TEST(SharedRetryBudget, AReservedRetryThatIsNotSentComesBack) {
  SharedRetryBudget budget({.slack = 60});
  TimePoint now;
  budget.SetEntries(6, now);
  now += 3 * kWindow;
  const double tokens = budget.StateAt(now).tokens;
  ASSERT_TRUE(budget.TryReserve(now));
  budget.OnSent();
  budget.OnNotSent(now);
  budget.Release(now);
  EXPECT_DOUBLE_EQ(budget.StateAt(now).tokens, tokens);
  EXPECT_EQ(budget.StateAt(now).reserved, 0);
}

// Plays the options with 20 seeds.
void ExpectWithinBound(BudgetFleet::Options options) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    options.seed = seed;
    BudgetFleet fleet(options);
    fleet.Run(std::chrono::seconds(40));
    const BudgetFleet::Excess excess = fleet.LargestExcess();
    EXPECT_LE(excess.retries, 0) << "seed " << seed << " at "
                                 << ToMillis(excess.at - TimePoint()) << " ms";
    EXPECT_GT(fleet.retries(), 20U) << "seed " << seed;
  }
}

// Guards against a process that starts again with a new quota of retries,
// although its predecessor has spent one in the same window.
TEST(SharedRetryBudget, RestartsDoNotAddToTheSum) {
  for (const int interval : {1, 2, 3, 5, 8}) {
    ExpectWithinBound({.kill_interval = std::chrono::seconds(interval)});
  }
}

// Guards against retries that wait for a backend and are sent together with
// those that were granted since.
TEST(SharedRetryBudget, RetriesThatWaitedCountWhenTheyAreSent) {
  for (const int interval : {3, 6, 8}) {
    ExpectWithinBound({.reopening = std::chrono::seconds(interval)});
  }
}

// Guards against a process that takes the whole slack because it has not learnt
// yet, or can't learn, how many entries there are.
TEST(SharedRetryBudget, AnEntryAloneInItsListTakesNoSlack) {
  ExpectWithinBound({.kill_interval = std::chrono::seconds(9),
                     .list_returns = TimePoint() + std::chrono::seconds(30)});
}

// All of it at once, in a small and in a large fleet.
TEST(SharedRetryBudget, SumHoldsWithRestartsWaitsAndAnEmptyList) {
  for (const int entries : {3, 9, 40}) {
    ExpectWithinBound({.entries = entries,
                       .reopening = std::chrono::seconds(4),
                       .kill_interval = std::chrono::seconds(5),
                       .list_returns = TimePoint() + std::chrono::seconds(20)});
  }
}

}  // namespace
}  // namespace mangohold
