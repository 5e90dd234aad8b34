// Load patterns and backend failures at the dispatcher of one entry.
#include "routing/dispatcher.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

#include "core/random.h"

namespace mangohold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceName kModel("model");
const ServiceName kDesk("desk");
constexpr int kRanks = 4;
constexpr int kSlots = 3;

InstanceId Rank(int index) { return InstanceId("r" + std::to_string(index)); }

// One entry with a group of ranks (kModel) and a service of two backends
// without ranks (kDesk).
class DispatcherTest : public testing::Test {
 protected:
  DispatcherTest() : dispatcher_({.zone = ZoneName("north"), .seed = 7}) {
    for (int i = 0; i < kRanks; ++i) {
      backends_.push_back({.id = Rank(i),
                           .service = kModel,
                           .zone = ZoneName(i % 2 == 0 ? "north" : "south"),
                           .slots = kSlots});
    }
    for (const char* id : {"d0", "d1"}) {
      backends_.push_back({.id = InstanceId(id),
                           .service = kDesk,
                           .zone = ZoneName("north"),
                           .slots = 2});
    }
    dispatcher_.SetServices(
        {{.name = kModel,
          .max_connections = 30,
          .engine =
              EngineFigures{.usual_prompt_tokens = 800, .expert_sets = 3}},
         {.name = kDesk, .cold_per_s = 0}});
    dispatcher_.SetBackends(backends_);
  }

  AttemptNumber Submit(const ServiceName& service, int priority = 1,
                       milliseconds patience = seconds(2), int tokens = 800) {
    last_ = last_.Next();
    dispatcher_.Submit({.number = last_,
                        .service = service,
                        .priority = priority,
                        .prompt_tokens = tokens,
                        .start_deadline = now_ + patience});
    return last_;
  }

  // Returns the current decisions by attempt.
  std::map<AttemptNumber, Dispatcher::Decision> Decide() {
    std::map<AttemptNumber, Dispatcher::Decision> decisions;
    for (auto& decision : dispatcher_.Decide(now_)) {
      decisions[decision.number] = decision;
    }
    return decisions;
  }

  InstanceId SendOne(const ServiceName& service) {
    const AttemptNumber number = Submit(service);
    const auto decisions = Decide();
    const auto& backend = decisions.at(number).backend;
    return backend ? backend->id : InstanceId();
  }

  // Sends 200 requests to kDesk, one after the other, and returns how many each
  // backend got. d0 takes `first_time` for each and ends it with
  // `first_result`; d1 serves each in 30 ms.
  std::map<InstanceId, int> SendSequentially(milliseconds first_time,
                                             Dispatcher::Result first_result) {
    std::map<InstanceId, int> sent;
    for (int i = 0; i < 200; ++i) {
      const InstanceId backend = SendOne(kDesk);
      const bool is_first = backend == InstanceId("d0");
      ++sent[backend];
      now_ += is_first ? first_time : milliseconds(30);
      dispatcher_.OnEnded(
          last_, is_first ? first_result : Dispatcher::Result::kServed, now_);
    }
    EXPECT_FALSE(sent.contains(InstanceId())) << "each is sent";
    return sent;
  }

  std::vector<AttemptNumber> FillGroup() {
    std::vector<AttemptNumber> numbers;
    numbers.reserve(std::size_t{kRanks} * kSlots);
    for (int i = 0; i < kRanks * kSlots; ++i) numbers.push_back(Submit(kModel));
    Decide();
    return numbers;
  }

  Dispatcher dispatcher_;
  std::vector<BackendRecord> backends_;
  AttemptNumber last_;
  TimePoint now_ = TimePoint() + seconds(100);
};

TEST_F(DispatcherTest, BurstFillsAllRanksUpToTheirSlots) {
  std::map<InstanceId, int> sent;
  for (int i = 0; i < 3 * kRanks * kSlots; ++i) Submit(kModel);
  for (const auto& [number, decision] : Decide()) {
    if (decision.backend) ++sent[decision.backend->id];
  }
  ASSERT_EQ(sent.size(), kRanks);
  for (const auto& [id, count] : sent) EXPECT_EQ(count, kSlots);
}

TEST_F(DispatcherTest, ExcessOfBurstIsRefusedAtOnceWithRetryAfter) {
  FillGroup();
  int refused = 0;
  for (int i = 0; i < 100; ++i) Submit(kModel, 1, seconds(1));
  for (const auto& [number, decision] : Decide()) {
    ASSERT_FALSE(decision.backend);
    EXPECT_EQ(decision.reason, Reason::kDeadlineUnreachable);
    EXPECT_GE(decision.retry_after, milliseconds(100));
    ++refused;
  }
  // Requests whose turn is expected in time stay queued.
  EXPECT_EQ(refused + static_cast<int>(dispatcher_.waiting()), 100);
  EXPECT_GT(refused, 70);
  EXPECT_GT(dispatcher_.waiting(), 4U);
}

TEST_F(DispatcherTest, UrgentRequestOvertakesQueue) {
  const auto running = FillGroup();
  const AttemptNumber plain = Submit(kModel, 3);
  const AttemptNumber urgent = Submit(kModel, 0);
  Decide();
  dispatcher_.OnEnded(running.front(), Dispatcher::Result::kServed, now_);
  const auto decisions = Decide();
  EXPECT_TRUE(decisions.contains(urgent));
  EXPECT_FALSE(decisions.contains(plain));
}

// Guards against a request that waits out its time although every backend has
// refused it already.
TEST_F(DispatcherTest, RequestThatAllBackendsRefusedIsRefusedAtOnce) {
  for (const bool waits : {false, true}) {
    last_ = last_.Next();
    dispatcher_.Submit({.number = last_,
                        .service = kDesk,
                        .start_deadline = now_ + seconds(2),
                        .tried = {InstanceId("d0"), InstanceId("d1")},
                        .is_repeatable = waits});
    const auto decisions = Decide();
    ASSERT_EQ(decisions.contains(last_), !waits);
    if (waits) continue;
    EXPECT_FALSE(decisions.at(last_).backend);
    EXPECT_EQ(decisions.at(last_).reason, Reason::kBackendRefused);
    EXPECT_GT(decisions.at(last_).retry_after, milliseconds(0));
  }
}

TEST_F(DispatcherTest, FullServiceDoesNotBlockAnother) {
  FillGroup();
  Submit(kModel, 0);
  const AttemptNumber desk = Submit(kDesk, 5);
  EXPECT_TRUE(Decide().at(desk).backend);
}

TEST_F(DispatcherTest, LargePromptsGoToDifferentRanks) {
  std::set<InstanceId> used;
  for (int i = 0; i < kRanks; ++i) {
    const AttemptNumber number = Submit(kModel, 1, seconds(2), 4'000);
    used.insert(Decide().at(number).backend->id);
  }
  EXPECT_EQ(used.size(), kRanks);
}

TEST_F(DispatcherTest, PeerSharesCountUntilTheyExpire) {
  std::vector<BackendShare> shares;
  for (int i = 1; i < kRanks; ++i) {
    shares.push_back({.backend = Rank(i), .requests = kSlots});
  }
  dispatcher_.OnPeerShares(InstanceId("peer"), shares, now_);
  for (int i = 0; i < kSlots; ++i) EXPECT_EQ(SendOne(kModel), Rank(0));
  Submit(kModel);
  EXPECT_TRUE(Decide().empty());
  // The peer's report has expired.
  now_ += seconds(2) - milliseconds(1);
  EXPECT_EQ(Decide().size(), 1U);
}

TEST_F(DispatcherTest, CancelledRequestsFreeSlots) {
  const auto running = FillGroup();
  const AttemptNumber waiting = Submit(kModel);
  const AttemptNumber gone = Submit(kModel);
  Decide();
  dispatcher_.Withdraw(gone);
  dispatcher_.OnEnded(running[0], Dispatcher::Result::kCancelled, now_);
  dispatcher_.OnEnded(running[1], Dispatcher::Result::kCancelled, now_);
  const auto decisions = Decide();
  EXPECT_EQ(decisions.size(), 1U);
  EXPECT_TRUE(decisions.at(waiting).backend);
}

TEST_F(DispatcherTest, SlowBackendGetsFewerRequests) {
  auto sent = SendSequentially(milliseconds(300), Dispatcher::Result::kServed);
  EXPECT_LT(sent[InstanceId("d0")], 10);
}

TEST_F(DispatcherTest, FailingBackendIsAvoidedAndRetried) {
  auto sent = SendSequentially(milliseconds(30), Dispatcher::Result::kFailed);
  EXPECT_LT(sent[InstanceId("d0")], 20);
  EXPECT_GT(sent[InstanceId("d0")], 0);
}

TEST_F(DispatcherTest, AtMostHalfOfBackendsAreEjected) {
  const InstanceId first = SendOne(kDesk);
  dispatcher_.OnEnded(last_, Dispatcher::Result::kUnreachable, now_);
  const InstanceId second = SendOne(kDesk);
  EXPECT_NE(first, second);
  dispatcher_.OnEnded(last_, Dispatcher::Result::kUnreachable, now_);
  // The second ejection would exceed `max_ejected_fraction`.
  EXPECT_FALSE(SendOne(kDesk).empty());
}

TEST_F(DispatcherTest, ClosedGroupGetsOneProbeAtATime) {
  std::vector<AttemptNumber> numbers;
  numbers.reserve(5);
  for (int i = 0; i < 5; ++i) numbers.push_back(Submit(kModel));
  Decide();
  dispatcher_.OnEnded(numbers[0], Dispatcher::Result::kRejected, now_);
  dispatcher_.OnEnded(numbers[1], Dispatcher::Result::kRejected, now_);
  for (int i = 0; i < 5; ++i) Submit(kModel);
  EXPECT_TRUE(Decide().empty());
  now_ += milliseconds(130);
  const auto probe = Decide();
  ASSERT_EQ(probe.size(), 1U);
  now_ += milliseconds(130);
  EXPECT_TRUE(Decide().empty());
  dispatcher_.OnResponseStarted(probe.begin()->first, now_);
  EXPECT_EQ(Decide().size(), 4U);
}

// The group's passes wait for the slow rank, and longer with each request that
// it runs.
TEST_F(DispatcherTest, SlowRankGetsNothingWhileOthersHaveFreeSlots) {
  backends_[1].slowdown = 4;
  dispatcher_.SetBackends(backends_);
  std::map<InstanceId, int> sent;
  for (int i = 0; i < (kRanks - 1) * kSlots; ++i) ++sent[SendOne(kModel)];
  EXPECT_FALSE(sent.contains(Rank(1)));
  // The rank has recovered.
  backends_[1].slowdown = 1;
  dispatcher_.SetBackends(backends_);
  EXPECT_EQ(SendOne(kModel), Rank(1));
}

// The queue holds a request that has missed its latency target and one that can
// still meet it.
TEST_F(DispatcherTest, OnTimeRequestsPrecedeLateOnes) {
  FillGroup();
  const auto submit = [this](milliseconds target) {
    last_ = last_.Next();
    dispatcher_.Submit({.number = last_,
                        .service = kModel,
                        .priority = 1,
                        .start_deadline = now_ + seconds(2),
                        .target_start = now_ + target});
    return last_;
  };
  const AttemptNumber late = submit(milliseconds(-100));
  const AttemptNumber fresh = submit(milliseconds(400));
  EXPECT_TRUE(Decide().empty());
  dispatcher_.OnEnded(AttemptNumber(1), Dispatcher::Result::kServed, now_);
  EXPECT_TRUE(Decide().contains(fresh));
  dispatcher_.OnEnded(AttemptNumber(2), Dispatcher::Result::kServed, now_);
  EXPECT_TRUE(Decide().contains(late));
}

// One of a service's three groups fails: the others take over its requests, and
// it gets only one probe at a time.
TEST_F(DispatcherTest, BrokenGroupGetsOnlyProbes) {
  constexpr int kGroups = 3;
  std::vector<BackendRecord> backends;
  backends.reserve(std::size_t{kGroups} * kRanks);
  for (int i = 0; i < kGroups * kRanks; ++i) {
    backends.push_back({.id = Rank(i),
                        .service = kModel,
                        .zone = ZoneName("north"),
                        .slots = kSlots,
                        .group = GroupName(std::to_string(i / kRanks))});
  }
  dispatcher_.SetBackends(backends);
  const auto is_broken = [](const InstanceId& id) {
    return id == Rank(0) || id == Rank(1) || id == Rank(2) || id == Rank(3);
  };
  int rejected = 0;
  int served = 0;
  for (int i = 0; i < 300; ++i) {
    now_ += milliseconds(10);
    const AttemptNumber number = Submit(kModel);
    const auto decisions = Decide();
    ASSERT_TRUE(decisions.contains(number)) << "waits for a closed group";
    ASSERT_TRUE(decisions.at(number).backend);
    if (is_broken(decisions.at(number).backend->id)) {
      ++rejected;
      dispatcher_.OnEnded(number, Dispatcher::Result::kRejected, now_);
      continue;
    }
    ++served;
    dispatcher_.OnResponseStarted(number, now_);
    dispatcher_.OnEnded(number, Dispatcher::Result::kServed, now_);
  }
  // Two refusals close the group; then there is one probe per 120 ms for 3 s.
  EXPECT_LE(rejected, 2 + 3'000 / 120);
  EXPECT_GE(served, 270);
}

// The passes of one group take twice as long as the other's, because its expert
// map is not balanced yet.
TEST_F(DispatcherTest, SlowGroupGetsFewerRequests) {
  std::vector<BackendRecord> backends;
  backends.reserve(std::size_t{2} * kRanks);
  for (int i = 0; i < 2 * kRanks; ++i) {
    backends.push_back({.id = Rank(i),
                        .service = kModel,
                        .zone = ZoneName("north"),
                        .slots = 10,
                        .group = GroupName(i < kRanks ? "slow" : "fast")});
  }
  dispatcher_.SetBackends(backends);
  std::map<AttemptNumber, bool> is_slow;
  std::map<bool, int> sent;
  for (int i = 0; i < 40; ++i) {
    const AttemptNumber number = Submit(kModel);
    const auto decisions = Decide();
    is_slow[number] = decisions.at(number).backend->group == GroupName("slow");
    ++sent[is_slow[number]];
    for (const auto& [running, slow] : is_slow) {
      dispatcher_.OnEventGap(running, milliseconds(slow ? 120 : 60), now_);
    }
  }
  EXPECT_GT(sent[false], sent[true]);
  EXPECT_GT(sent[true], 0);
}

// A rank that refuses requests while its group runs is ejected alone.
TEST_F(DispatcherTest, SingleRefusingRankDoesNotCloseItsGroup) {
  std::map<InstanceId, int> sent;
  int served = 0;
  for (int i = 0; i < 200; ++i) {
    now_ += milliseconds(20);
    const AttemptNumber number = Submit(kModel);
    const auto decisions = Decide();
    ASSERT_TRUE(decisions.contains(number));
    ASSERT_TRUE(decisions.at(number).backend);
    const InstanceId id = decisions.at(number).backend->id;
    ++sent[id];
    if (id == Rank(1)) {
      dispatcher_.OnEnded(number, Dispatcher::Result::kRejected, now_);
      continue;
    }
    ++served;
    dispatcher_.OnResponseStarted(number, now_);
    dispatcher_.OnEnded(number, Dispatcher::Result::kServed, now_);
  }
  EXPECT_GT(served, 170);
  EXPECT_LT(sent[Rank(1)], 25);
}

TEST_F(DispatcherTest, GroupClosedForLongRefusesEarly) {
  const AttemptNumber first = Submit(kModel);
  const AttemptNumber second = Submit(kModel);
  Decide();
  dispatcher_.OnEnded(first, Dispatcher::Result::kRejected, now_);
  dispatcher_.OnEnded(second, Dispatcher::Result::kRejected, now_);
  const AttemptNumber early = Submit(kModel, 1, seconds(2));
  EXPECT_FALSE(Decide().contains(early));
  now_ += milliseconds(1'100);
  Decide();  // sends another probe
  const auto decisions = Decide();
  const bool is_refused_or_tried =
      !decisions.contains(early) || !decisions.at(early).backend;
  EXPECT_TRUE(is_refused_or_tried);
  const AttemptNumber late = Submit(kModel, 1, seconds(1));
  EXPECT_EQ(Decide().at(late).reason, Reason::kDeadlineUnreachable);
}

// All backends of a service request a backoff: none gets a request before it
// ends, and callers are told when the first one ends.
TEST_F(DispatcherTest, BackendsInBackoffGetNothing) {
  dispatcher_.OnNotice(InstanceId("d0"), false, milliseconds(4'000), now_);
  EXPECT_EQ(SendOne(kDesk), InstanceId("d1"));
  dispatcher_.OnNotice(InstanceId("d1"), false, milliseconds(1'500), now_);
  const AttemptNumber refused = Submit(kDesk, 1, seconds(1));
  const auto decisions = Decide();
  ASSERT_FALSE(decisions.at(refused).backend);
  EXPECT_EQ(decisions.at(refused).retry_after, milliseconds(1'500));
  now_ += milliseconds(1'500);
  EXPECT_EQ(SendOne(kDesk), InstanceId("d1"));
}

// A response may announce that its backend is leaving before the store does.
TEST_F(DispatcherTest, LeavingBackendGetsNothingWhileListed) {
  dispatcher_.OnNotice(InstanceId("d0"), true, std::nullopt, now_);
  dispatcher_.SetBackends(backends_);
  for (int i = 0; i < 2; ++i) EXPECT_EQ(SendOne(kDesk), InstanceId("d1"));
}

// The machine of one rank freezes: its streams are reported as stuck and it
// gets no new requests. A group that is silent as a whole is not stuck.
TEST_F(DispatcherTest, StuckRankIsDetectedAndAvoided) {
  const AttemptNumber started = Submit(kModel);
  const AttemptNumber waiting = Submit(kModel);
  const AttemptNumber other = Submit(kModel);
  const auto decisions = Decide();
  const InstanceId stuck = decisions.at(started).backend->id;
  const TimePoint last_event = now_;
  now_ += milliseconds(1'100);
  EXPECT_FALSE(dispatcher_.IsStuck(started, last_event, now_))
      << "the whole group is silent";
  dispatcher_.OnEventGap(other, milliseconds(60), now_);
  EXPECT_TRUE(dispatcher_.IsStuck(started, last_event, now_));
  EXPECT_FALSE(dispatcher_.IsStuck(started, now_, now_));
  EXPECT_FALSE(dispatcher_.IsStuck(waiting, std::nullopt, now_))
      << "it may still be queued";
  dispatcher_.OnEnded(started, Dispatcher::Result::kStuck, now_);
  const AttemptNumber next = Submit(kModel);
  EXPECT_NE(Decide().at(next).backend->id, stuck);
  // After its ejection, it gets one request at a time.
  now_ += seconds(10);
  dispatcher_.OnEnded(waiting, Dispatcher::Result::kCancelled, now_);
  dispatcher_.OnEnded(other, Dispatcher::Result::kServed, now_);
  std::vector<InstanceId> chosen;
  chosen.reserve(8);
  for (int i = 0; i < 8; ++i) chosen.push_back(SendOne(kModel));
  EXPECT_EQ(std::ranges::count(chosen, stuck), 1);
}

// One slow rank delays the whole group: a stream that can't complete in time
// would only take the slot of a shorter one.
TEST_F(DispatcherTest, SlowGroupRefusesLongStreamsAndTakesShortOnes) {
  const auto submit = [this](double events) {
    last_ = last_.Next();
    dispatcher_.Submit({.number = last_,
                        .service = kModel,
                        .start_deadline = now_ + seconds(2),
                        .deadline = now_ + seconds(8),
                        .expected_events = events});
    return last_;
  };
  const AttemptNumber running = Submit(kModel);
  Decide();
  for (int i = 0; i < 20; ++i) {
    dispatcher_.OnEventGap(running, milliseconds(500), now_);
  }
  const AttemptNumber longer = submit(28);
  const AttemptNumber shorter = submit(10);
  auto decisions = Decide();
  EXPECT_FALSE(decisions.at(longer).backend);
  EXPECT_EQ(decisions.at(longer).reason, Reason::kDeadlineUnreachable);
  EXPECT_TRUE(decisions.at(shorter).backend);
  // Once the measured event gap has expired, all streams are admitted again.
  now_ += milliseconds(1'100);
  const AttemptNumber later = submit(28);
  decisions = Decide();
  EXPECT_TRUE(decisions.at(later).backend);
}

TEST_F(DispatcherTest, UnlistedBackendGetsNothing) {
  backends_.erase(backends_.begin());
  dispatcher_.SetBackends(backends_);
  for (int i = 0; i < (kRanks - 1) * kSlots; ++i) {
    EXPECT_NE(SendOne(kModel), Rank(0));
  }
}

// Connecting takes time, so a backend may leave between the decision and the
// send. The request must not be sent there then.
TEST_F(DispatcherTest, BackendThatLeftAfterDecisionGetsNothing) {
  const InstanceId chosen = SendOne(kDesk);
  const AttemptNumber attempt = last_;
  EXPECT_TRUE(dispatcher_.MayStillSend(attempt, now_));
  auto others = backends_;
  std::erase_if(others,
                [&](const auto& record) { return record.id == chosen; });
  dispatcher_.SetBackends(others);
  EXPECT_FALSE(dispatcher_.MayStillSend(attempt, now_)) << "unlisted";
  dispatcher_.SetBackends(backends_);
  EXPECT_TRUE(dispatcher_.MayStillSend(attempt, now_));
  dispatcher_.OnNotice(chosen, true, std::nullopt, now_);
  EXPECT_FALSE(dispatcher_.MayStillSend(attempt, now_)) << "left by notice";
}

// Guards against a service that counts as one with backends after its last one
// has left and then failed: requests were refused instead of waiting for a new
// backend.
TEST_F(DispatcherTest, FailureOfTheLastBackendLeavesItsServiceEmpty) {
  SendOne(kDesk);
  const AttemptNumber sent = last_;
  std::erase_if(backends_, [](const BackendRecord& backend) {
    return backend.service == kDesk;
  });
  dispatcher_.SetBackends(backends_);
  dispatcher_.OnEnded(sent, Dispatcher::Result::kUnreachable, now_);
  Submit(kDesk);
  EXPECT_TRUE(Decide().empty());
  EXPECT_EQ(dispatcher_.waiting(), 1);
}

// A backend whose record expires and returns while requests are in progress
// there must keep their count. Otherwise it looks idle and attracts all new
// requests.
TEST_F(DispatcherTest, RelistedBackendKeepsItsLoad) {
  const auto running = FillGroup();
  std::vector<BackendRecord> fewer(backends_.begin() + 1, backends_.end());
  dispatcher_.SetBackends(fewer);
  dispatcher_.SetBackends(backends_);
  Submit(kModel);
  EXPECT_TRUE(Decide().empty());
  for (const AttemptNumber number : running) {
    dispatcher_.OnEnded(number, Dispatcher::Result::kServed, now_);
  }
  EXPECT_TRUE(dispatcher_.OwnShares().empty());
  std::map<InstanceId, int> sent;
  for (int i = 0; i < 2 * kRanks; ++i) Submit(kModel);
  for (const auto& [number, decision] : Decide()) ++sent[decision.backend->id];
  for (const auto& [id, count] : sent) EXPECT_LE(count, 3);
}

TEST_F(DispatcherTest, BackendWithReusedAddressIsAvoided) {
  const InstanceId first = SendOne(kDesk);
  dispatcher_.OnEnded(last_, Dispatcher::Result::kAddressReused, now_);
  for (int i = 0; i < 2; ++i) EXPECT_NE(SendOne(kDesk), first);
}

TEST_F(DispatcherTest, RequestStaysInItsZones) {
  last_ = last_.Next();
  dispatcher_.Submit({.number = last_,
                      .service = kDesk,
                      .start_deadline = now_ + seconds(1),
                      .zones = {ZoneName("south")}});
  EXPECT_TRUE(Decide().empty());
}

// Steady overload of a group: no request is sent after its start deadline, and
// refusals come before half of the time until then has passed.
TEST_F(DispatcherTest, OverloadRefusesEarlyAndServesTheRestInTime) {
  Random random(3);
  std::multimap<TimePoint, AttemptNumber> ends;
  std::map<AttemptNumber, TimePoint> since;
  int served = 0;
  int refused = 0;
  const auto finish = [&] {
    while (!ends.empty() && ends.begin()->first <= now_) {
      dispatcher_.OnEnded(ends.begin()->second, Dispatcher::Result::kServed,
                          now_);
      ends.erase(ends.begin());
    }
  };
  for (int step = 0; step < 2'000; ++step) {
    now_ += milliseconds(10);
    finish();
    if (random.Below(100) < 30) since[Submit(kModel)] = now_;
    for (const auto& [number, decision] : Decide()) {
      const Duration waited = now_ - since[number];
      if (decision.backend) {
        ++served;
        EXPECT_LE(waited, seconds(2));
        ends.emplace(now_ + milliseconds(400 + random.Below(400)), number);
      } else {
        ++refused;
        EXPECT_LE(waited, seconds(1));
      }
    }
  }
  // 12 slots with 0.6 s per request serve 20 requests per second; 30 arrive.
  EXPECT_GT(served, 370);
  EXPECT_GT(refused, 100);
}

}  // namespace
}  // namespace mangohold
