// What servers are believed to hold of prompts, and what is learnt of it.
#include "routing/prompt_cache.h"

#include <gtest/gtest.h>

#include <string>

#include "core/random.h"
#include "routing/backend_choice.h"

namespace mangohold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceName kModel("model");
constexpr int kMemoryTokens = 10'000;
constexpr double kReadTokensPerS = 10'000;
constexpr int kSharedTokens = 1'000;
constexpr int kPromptTokens = 1'200;

InstanceId Server(int index) { return InstanceId("s" + std::to_string(index)); }

PromptPrefix Prefix(std::initializer_list<int> parts,
                    const char* model = "large") {
  PromptPrefix prefix(model);
  for (const int part : parts) {
    prefix.Append(PromptPart(static_cast<std::uint64_t>(part)), kSharedTokens);
  }
  return prefix;
}

// Two servers of one service, which one entry sends to.
class PromptCacheTest : public testing::Test {
 protected:
  PromptCacheTest() {
    for (int i = 0; i < 2; ++i) {
      records_.push_back({.id = Server(i), .service = kModel, .slots = 10});
      records_.back().stamp.started_ms = 1'000;
    }
    cache_.SetServices(
        {{.name = kModel,
          .engine = EngineFigures{.memory_tokens = kMemoryTokens,
                                  .per_sequence_ms = 1,
                                  .read_tokens_per_s = kReadTokensPerS,
                                  .usual_prompt_tokens = 500,
                                  .usual_answer_tokens = 100}}});
    cache_.SetServers(records_);
  }

  // Sends a prompt, whose response starts after `wait`. Returns the tokens that
  // the server was believed to hold.
  int Serve(int server, const PromptPrefix& prefix,
            milliseconds wait = milliseconds(100), int entries = 1,
            int tokens = kPromptTokens) {
    const int cached = Send(server, prefix, entries, tokens);
    now_ += wait;
    cache_.OnResponseStarted(last_, now_);
    cache_.OnEnded(last_);
    return cached;
  }
  int Send(int server, const PromptPrefix& prefix, int entries = 1,
           int tokens = kPromptTokens) {
    last_ = last_.Next();
    return cache_.OnSent({.number = last_,
                          .server = cache_.IndexOf(Server(server)),
                          .prefix = &prefix,
                          .prompt_tokens = tokens,
                          .entries = entries},
                         now_);
  }
  int HeldAt(int server, const PromptPrefix& prefix) const {
    return cache_.Find(kModel, prefix, now_)
        .TokensAt(cache_.IndexOf(Server(server)));
  }

  PromptCache cache_{{.retention = seconds(60)}};
  std::vector<BackendRecord> records_;
  AttemptNumber last_;
  TimePoint now_{seconds(1'000)};
};

// Guards against counting parts of another order, another model or after a
// different part, which a server can't reuse.
TEST_F(PromptCacheTest, HoldsTheLongestChainOfLeadingParts) {
  Serve(0, Prefix({1, 2, 3}));
  EXPECT_EQ(HeldAt(0, Prefix({1, 2, 3})), 3 * kSharedTokens);
  EXPECT_EQ(HeldAt(0, Prefix({1, 2, 9, 3})), 2 * kSharedTokens);
  EXPECT_EQ(HeldAt(0, Prefix({2, 1})), 0);
  EXPECT_EQ(HeldAt(0, Prefix({1, 2}, "small")), 0);
  EXPECT_EQ(HeldAt(1, Prefix({1, 2, 3})), 0);
}

// Guards against belief in a prompt that the server has not read.
TEST_F(PromptCacheTest, HoldsNothingBeforeTheResponseHasStarted) {
  Send(0, Prefix({1}));
  EXPECT_EQ(HeldAt(0, Prefix({1})), 0);
  cache_.OnEnded(last_);
  cache_.OnResponseStarted(last_, now_);
  EXPECT_EQ(HeldAt(0, Prefix({1})), 0);
}

// Guards against an influence on decisions while the feature is off.
TEST_F(PromptCacheTest, DoesNothingWithoutRetention) {
  PromptCache off({});
  off.SetServices({{.name = kModel, .engine = EngineFigures{}}});
  off.SetServers(records_);
  const PromptPrefix prefix = Prefix({1});
  EXPECT_EQ(off.IndexOf(Server(0)), PromptCache::kUnknownServer);
  EXPECT_EQ(off.OnSent({.number = last_, .server = 0, .prefix = &prefix}, now_),
            0);
  off.OnResponseStarted(last_, now_);
  EXPECT_EQ(off.prefixes(), 0);
  EXPECT_EQ(off.Find(kModel, prefix, now_).SavingAt(0), 0);
  EXPECT_EQ(off.MaxGain(), 0);
}

// Guards against savings that nobody can compute: without a prefill rate.
TEST_F(PromptCacheTest, SavesNothingWithoutPublishedFigures) {
  Serve(0, Prefix({1}));
  cache_.SetServices({{.name = kModel}});
  EXPECT_EQ(HeldAt(0, Prefix({1})), 0);
  EXPECT_EQ(Serve(0, Prefix({1})), 0);
}

// The saved seconds in units of cost: 1,000 tokens are two usual prompts, each
// of which costs as much as a request.
TEST_F(PromptCacheTest, ConvertsTheSavingToRequests) {
  Serve(0, Prefix({1}));
  const auto cached = cache_.Find(kModel, Prefix({1}), now_);
  EXPECT_DOUBLE_EQ(cached.SavingAt(cache_.IndexOf(Server(0))),
                   2 * cache_.MaxGain());
  EXPECT_EQ(cached.SavingAt(cache_.IndexOf(Server(1))), 0);
  EXPECT_EQ(cached.SavingAt(PromptCache::kUnknownServer), 0);
}

TEST_F(PromptCacheTest, ForgetsByAge) {
  Serve(0, Prefix({1}));
  now_ += seconds(60);
  EXPECT_EQ(HeldAt(0, Prefix({1})), kSharedTokens);
  now_ += milliseconds(1);
  EXPECT_EQ(HeldAt(0, Prefix({1})), 0);
}

// Guards against belief in what a process before held, whose id is the same.
TEST_F(PromptCacheTest, ForgetsAServerThatRestartsUnderTheSameId) {
  Serve(0, Prefix({1}));
  Serve(1, Prefix({1}));
  cache_.SetServers(records_);
  EXPECT_EQ(HeldAt(0, Prefix({1})), kSharedTokens);
  records_[0].stamp.started_ms = 2'000;
  cache_.SetServers(records_);
  EXPECT_EQ(HeldAt(0, Prefix({1})), 0);
  EXPECT_EQ(HeldAt(1, Prefix({1})), kSharedTokens);
}

// Guards against crediting the new process with a prompt of the old one.
TEST_F(PromptCacheTest, IgnoresAResponseOfTheProcessBefore) {
  Send(0, Prefix({1}));
  records_[0].stamp.started_ms = 2'000;
  cache_.SetServers(records_);
  cache_.OnResponseStarted(last_, now_);
  EXPECT_EQ(HeldAt(0, Prefix({1})), 0);
}

TEST_F(PromptCacheTest, ForgetsAServerThatCrashes) {
  Serve(0, Prefix({1}));
  Serve(1, Prefix({1}));
  cache_.Forget(Server(0));
  cache_.Forget(InstanceId("unknown"));
  EXPECT_EQ(HeldAt(0, Prefix({1})), 0);
  EXPECT_EQ(HeldAt(1, Prefix({1})), kSharedTokens);
}

// Guards against belief in the place of a server that has gone, which another
// one gets.
TEST_F(PromptCacheTest, ForgetsAServerThatIsNoLongerListed) {
  Serve(0, Prefix({1}));
  records_[0].id = Server(5);
  cache_.SetServers(records_);
  EXPECT_EQ(cache_.IndexOf(Server(0)), PromptCache::kUnknownServer);
  EXPECT_EQ(HeldAt(5, Prefix({1})), 0);
  records_[0].id = Server(0);
  cache_.SetServers(records_);
  EXPECT_EQ(HeldAt(0, Prefix({1})), 0);
}

// Guards against belief in prompts that later ones pushed out of the memory.
TEST_F(PromptCacheTest, ForgetsWhatWasPushedOutOfTheMemory) {
  Serve(0, Prefix({1}));
  // Each takes 1,300 tokens: 7 of them leave less than 1,000 of 10,000.
  for (int i = 0; i < 6; ++i) Serve(0, Prefix({100 + i}));
  EXPECT_EQ(HeldAt(0, Prefix({1})), kSharedTokens);
  Serve(0, Prefix({200}));
  EXPECT_EQ(HeldAt(0, Prefix({1})), 0);
  EXPECT_EQ(HeldAt(0, Prefix({200})), kSharedTokens);
}

// Guards against eviction of what is in use: hits take no memory but for the
// rest of the prompt and the answer, and renew the belief.
TEST_F(PromptCacheTest, KeepsWhatIsUsed) {
  for (int i = 0; i < 100; ++i) {
    const int cached = Serve(0, Prefix({1}));
    EXPECT_EQ(cached, i == 0 ? 0 : kSharedTokens);
    Serve(0, Prefix({100 + i}));
  }
}

// Guards against belief in a memory that other entries fill as well.
TEST_F(PromptCacheTest, AssumesThatOtherEntriesSendAsMuch) {
  Serve(0, Prefix({1}), milliseconds(100), 8);
  EXPECT_EQ(HeldAt(0, Prefix({1})), kSharedTokens);
  Serve(0, Prefix({2}), milliseconds(100), 8);
  EXPECT_EQ(HeldAt(0, Prefix({1})), 0);
}

// Guards against memory that grows with the number of prefixes or holders.
TEST_F(PromptCacheTest, BoundsItsMemory) {
  PromptCache cache({.retention = seconds(60),
                     .max_prefixes = 10,
                     .max_holders = 1,
                     .max_levels = 2});
  cache_ = cache;
  cache_.SetServices(
      {{.name = kModel,
        .engine = EngineFigures{.read_tokens_per_s = kReadTokensPerS}}});
  cache_.SetServers(records_);
  for (int i = 0; i < 1'000; ++i) Serve(0, Prefix({1, 100 + i, 2, 3}));
  EXPECT_EQ(cache_.prefixes(), 10);
  EXPECT_EQ(HeldAt(0, Prefix({1, 1'099, 2, 3})), 2 * kSharedTokens);
  EXPECT_EQ(HeldAt(0, Prefix({1, 100, 2, 3})), kSharedTokens);
  Serve(1, Prefix({1}));
  EXPECT_EQ(HeldAt(0, Prefix({1, 5})), 0);
  EXPECT_EQ(HeldAt(1, Prefix({1, 5})), kSharedTokens);
}

// Guards against overflow by the token counts that callers state.
TEST_F(PromptCacheTest, BearsOddTokenCounts) {
  PromptPrefix prefix("large");
  prefix.Append(PromptPart(1), -5);
  EXPECT_EQ(prefix.levels().back().tokens, 0);
  for (int i = 0; i < 64; ++i) prefix.Append(PromptPart(2), 2'000'000'000);
  EXPECT_EQ(prefix.levels().back().tokens, 100'000'000);
  EXPECT_EQ(Serve(0, prefix), 0);
  EXPECT_EQ(HeldAt(0, prefix), 0);  // more than the memory holds
}

// What the servers of the learning tests do with a prompt.
struct ServerModel {
  double kept = 0;         // fraction of the saving that comes true
  double prefill = 1;      // time of prefill, relative to the published one
  double noise_s = 0.05;   // of the time to the first event
  double load_s = 0.0;     // that each request in progress adds
  int load_of_holder = 0;  // requests more at a server that holds the prefix
};

// Returns the gain after `count` requests, of which some have a prefix that the
// server should hold.
double LearntGain(const ServerModel& model, int count,
                  PrefixGain gain = PrefixGain()) {
  Random random(5);
  for (int i = 0; i < count; ++i) {
    const double prefill_s = 0.02 + 0.06 * random.Unit();
    const bool is_held = random.Below(2) == 0;
    // Prompts with a shared part are longer.
    const double saved_s = is_held ? 0.05 + 0.05 * random.Unit() : 0;
    const int load = static_cast<int>(random.Below(6)) +
                     (is_held ? model.load_of_holder : 0);
    const double all_s = prefill_s + saved_s;
    gain.Add({.prefill_seconds = all_s,
              .load = static_cast<double>(load),
              .saved_seconds = saved_s,
              .observed_seconds = 0.1 + model.prefill * all_s -
                                  model.kept * saved_s + model.load_s * load +
                                  model.noise_s * 2 * random.Unit()});
  }
  return gain.gain();
}

// Guards against a preference for servers that keep nothing.
TEST(PrefixGainTest, IsZeroWhereServersKeepNothing) {
  EXPECT_EQ(LearntGain({.kept = 0}, 500), 0);
  EXPECT_EQ(LearntGain({.kept = 0, .load_s = 0.02}, 500), 0);
}

TEST(PrefixGainTest, ApproachesWhatIsSaved) {
  EXPECT_GT(LearntGain({.kept = 1}, 500), 0.8);
  EXPECT_NEAR(LearntGain({.kept = 0.5}, 500), 0.45, 0.15);
}

// Guards against taking a faster prefill than published for a saving: prompts
// with a shared part are longer, so their prefill is overestimated the most.
TEST(PrefixGainTest, TakesNoFastPrefillForASaving) {
  EXPECT_EQ(LearntGain({.kept = 0, .prefill = 0.2}, 500), 0);
}

// Guards against losing the gain because holders get more requests.
TEST(PrefixGainTest, TakesNoLoadOfHoldersForAMissingSaving) {
  const ServerModel model = {.kept = 1, .load_s = 0.02, .load_of_holder = 4};
  EXPECT_GT(LearntGain(model, 500), 0.7);
}

// Guards against a gain that never changes again: servers may lose or get a
// prefix cache while the entry runs.
TEST(PrefixGainTest, FollowsTheServers) {
  PrefixGain gain;
  EXPECT_DOUBLE_EQ(gain.gain(), 0.5);
  const auto feed = [&gain](double kept) {
    Random random(9);
    for (int i = 0; i < 3'000; ++i) {
      const double saved_s = i % 2 == 0 ? 0.08 : 0;
      gain.Add(
          {.prefill_seconds = 0.1 + 0.1 * random.Unit(),
           .saved_seconds = saved_s,
           .observed_seconds = 0.3 + 0.1 * random.Unit() - kept * saved_s});
    }
    return gain.gain();
  };
  EXPECT_EQ(feed(0), 0);
  EXPECT_GT(feed(1), 0.8);
  EXPECT_EQ(feed(0), 0);
}

// Guards against a gain out of samples that can't show any: all with a saving,
// or a saving that is always the same part of the prompt.
TEST(PrefixGainTest, KeepsTheInitialGainWithoutAComparison) {
  PrefixGain all_held;
  PrefixGain same;
  for (int i = 0; i < 100; ++i) {
    all_held.Add({.saved_seconds = 0.05, .observed_seconds = 0.1});
    same.Add({.prefill_seconds = i % 2 == 0 ? 0.1 : 0.2,
              .saved_seconds = i % 2 == 0 ? 0 : 0.1,
              .observed_seconds = 0.1 + 0.001 * i});
  }
  EXPECT_DOUBLE_EQ(all_held.gain(), 0.5);
  EXPECT_DOUBLE_EQ(same.gain(), 0.5);
}

BackendCandidates Candidates(int count, double cost) {
  return {static_cast<std::size_t>(count),
          {.id = "s", .cost = cost, .slots = 10}};
}

// Share of the draws that go to the first candidate.
double ShareOfFirst(const BackendCandidates& candidates) {
  constexpr int kDraws = 10'000;
  Random random(3);
  int first = 0;
  for (int i = 0; i < kDraws; ++i) {
    first += DrawByFreeCapacity(candidates, random) == 0 ? 1 : 0;
  }
  return static_cast<double>(first) / kDraws;
}

// Guards against a saving that vanishes among many servers, and against a
// holder that still attracts requests when it is fuller than the others.
TEST(HolderChoiceTest, PrefersAHolderInADrawWhileItHasRoom) {
  BackendCandidates candidates = Candidates(72, 2);
  EXPECT_NEAR(ShareOfFirst(candidates), 1.0 / 72, 0.01);
  candidates[0].saving = 2;
  const double with_room = ShareOfFirst(candidates);
  EXPECT_GT(with_room, 0.8);
  candidates[0].cost = 3.5;
  EXPECT_LT(ShareOfFirst(candidates), with_room - 0.1);
  candidates[0].cost = 5;  // its load outweighs the saving
  EXPECT_LT(ShareOfFirst(candidates), 1.0 / 72);
  candidates = Candidates(72, 6);  // too little room for late knowledge
  candidates[0].saving = 2;
  EXPECT_NEAR(ShareOfFirst(candidates), 1.0 / 72, 0.01);
}

// Guards against decisions other than today's where no saving is known.
TEST(HolderChoiceTest, DrawsAlikeIfAllSaveTheSame) {
  BackendCandidates candidates = Candidates(8, 2);
  const double without = ShareOfFirst(candidates);
  for (BackendCandidate& candidate : candidates) candidate.saving = 3;
  EXPECT_NEAR(ShareOfFirst(candidates), without, 0.01);
}

TEST(HolderChoiceTest, WeighsTheSavingAgainstTheLoad) {
  BackendCandidates candidates = Candidates(3, 2);
  Random random(3);
  candidates[1].cost = 3;
  candidates[1].saving = 1.5;
  EXPECT_EQ(ChooseLeastLoaded(candidates, random), 1);
  candidates[1].saving = 0.5;
  EXPECT_NE(ChooseLeastLoaded(candidates, random), 1);
}

}  // namespace
}  // namespace mangohold
