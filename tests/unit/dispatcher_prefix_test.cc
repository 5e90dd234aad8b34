// Cached beginnings of prompts in the decisions of one entry and of many.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <queue>
#include <set>

#include "core/random.h"
#include "routing/dispatcher.h"

namespace mangohold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceName kModel("model");
constexpr double kReadTokensPerS = 20'000;
constexpr int kUsualTokens = 800;

InstanceId Rank(int index) { return InstanceId("r" + std::to_string(index)); }

std::vector<BackendRecord> Ranks(int count, int slots) {
  std::vector<BackendRecord> ranks;
  ranks.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    ranks.push_back({.id = Rank(i),
                     .service = kModel,
                     .zone = ZoneName("north"),
                     .slots = slots});
  }
  return ranks;
}

std::vector<ServiceSpec> Services(std::int64_t memory_tokens = 1'000'000) {
  return {{.name = kModel,
           .engine = EngineFigures{.memory_tokens = memory_tokens,
                                   .read_tokens_per_s = kReadTokensPerS,
                                   .usual_prompt_tokens = kUsualTokens,
                                   .usual_answer_tokens = 100,
                                   .expert_sets = 1}}};
}

// The server that the request was sent to; empty: none.
InstanceId ServerOf(const Dispatcher::Decision& decision) {
  return decision.backend ? decision.backend->id : InstanceId();
}

PromptPrefix Prefix(int part, int tokens) {
  PromptPrefix prefix("large");
  prefix.Append(PromptPart(static_cast<std::uint64_t>(part)), tokens);
  return prefix;
}

// One entry of a small fleet, which sends to the least loaded server. The
// initial gain is 0.5, so a prefix of 1,600 tokens is worth one request.
class DispatcherPrefixTest : public testing::Test {
 protected:
  static constexpr int kPrefixTokens = 1'600;

  DispatcherPrefixTest() {
    dispatcher_.SetServices(Services());
    dispatcher_.SetBackends(ranks_);
  }

  Dispatcher::Decision Send(const PromptPrefix& prefix) {
    last_ = last_.Next();
    dispatcher_.Submit({.number = last_,
                        .service = kModel,
                        .prompt_tokens = kPrefixTokens + 100,
                        .start_deadline = now_ + seconds(2),
                        .prefix = prefix});
    const auto decisions = dispatcher_.Decide(now_);
    EXPECT_EQ(decisions.size(), 1);
    EXPECT_TRUE(decisions.front().backend);
    return decisions.front();
  }
  void End(Dispatcher::Result result = Dispatcher::Result::kServed) {
    dispatcher_.OnResponseStarted(last_, now_);
    dispatcher_.OnEnded(last_, result, now_);
  }
  // Serves the prompt once and returns the server that holds it from now on.
  InstanceId MakeHolder() {
    const auto first = Send(prefix_);
    End();
    return ServerOf(first);
  }
  // Reports requests in progress at the server, of another entry.
  void Load(const InstanceId& id, int requests) {
    dispatcher_.OnPeerShares(InstanceId("peer"),
                             {{.backend = id, .requests = requests}}, now_);
  }

  Dispatcher dispatcher_{{.zone = ZoneName("north"),
                          .seed = 7,
                          .prompt_cache = {.retention = seconds(60)}}};
  std::vector<BackendRecord> ranks_ = Ranks(4, 3);
  const PromptPrefix prefix_ = Prefix(1, kPrefixTokens);
  AttemptNumber last_;
  TimePoint now_{seconds(1'000)};
};

// Guards against sending a prompt where it has to be read again.
TEST_F(DispatcherPrefixTest, PrefersAHolder) {
  const InstanceId holder = MakeHolder();
  for (int i = 0; i < 20; ++i) {
    const auto decision = Send(prefix_);
    EXPECT_EQ(ServerOf(decision), holder);
    EXPECT_EQ(decision.cached_tokens, kPrefixTokens);
    End();
  }
}

// Guards against a longer wait than the prefill that is saved.
TEST_F(DispatcherPrefixTest, PrefersNoHolderWithTooMuchLoad) {
  const InstanceId holder = MakeHolder();
  Load(holder, 2);
  const auto decision = Send(prefix_);
  EXPECT_NE(ServerOf(decision), holder);
  EXPECT_EQ(decision.cached_tokens, 0);
}

// Guards against requests that wait for a holder while others have room.
TEST_F(DispatcherPrefixTest, DoesNotWaitForAFullHolder) {
  const InstanceId holder = MakeHolder();
  Load(holder, 3);
  EXPECT_NE(ServerOf(Send(prefix_)), holder);
}

// Guards against a prefix that outweighs eligibility.
TEST_F(DispatcherPrefixTest, SendsNothingToAHolderThatLeaves) {
  const InstanceId holder = MakeHolder();
  dispatcher_.OnNotice(holder, true, std::nullopt, now_);
  for (int i = 0; i < 5; ++i) EXPECT_NE(ServerOf(Send(prefix_)), holder);
}

// Guards against belief in the memory of a server that failed.
TEST_F(DispatcherPrefixTest, BelievesNothingOfAServerThatFailed) {
  const InstanceId holder = MakeHolder();
  EXPECT_EQ(ServerOf(Send(prefix_)), holder);
  End(Dispatcher::Result::kFailed);
  for (int i = 0; i < 4; ++i) EXPECT_EQ(Send(prefix_).cached_tokens, 0);
}

// Engines that keep the latest prefixes, or none, with entries that learn of
// each other's requests late.
class VirtualSite {
 public:
  struct Options {
    int entries = 74;
    int servers = 8;
    int slots = 10;
    int kept_prefixes = 0;  // at a server, the latest used
    int prefixes = 1;
    int prefix_tokens = 4'000;
    double requests_per_s = 56;
    Duration retention{0};
  };
  struct Totals {
    int requests = 0;
    int hits = 0;        // that found their prefix
    int rejections = 0;  // by a server without a free slot
    int max_load = 0;    // requests at a server at once
    std::map<InstanceId, int> by_server;
  };

  explicit VirtualSite(const Options& options)
      : options_(options), servers_(Ranks(options.servers, options.slots)) {
    std::vector<InstanceId> ids;
    ids.reserve(static_cast<std::size_t>(options.entries));
    for (int i = 0; i < options.entries; ++i) {
      ids.emplace_back("e" + std::to_string(i));
    }
    entries_.reserve(ids.size());
    for (int i = 0; i < options.entries; ++i) {
      Dispatcher& entry = entries_.emplace_back(Dispatcher::Options{
          .zone = ZoneName("north"),
          .seed = static_cast<std::uint64_t>(i) + 1,
          .prompt_cache = {.retention = options.retention}});
      const std::int64_t kept = std::max(1, options.kept_prefixes);
      entry.SetServices(
          Services(kept * (options.prefix_tokens + kOtherTokens)));
      entry.SetBackends(servers_);
      entry.SetEntries(ids[static_cast<std::size_t>(i)], ids);
    }
    reports_.resize(entries_.size());
  }

  Totals Run(Duration time) {
    totals_ = {};
    constexpr milliseconds kTick{5};
    const TimePoint end = now_ + time;
    double owed = 0;
    for (; now_ < end; now_ += kTick) {
      RunEvents();
      if (ToMillis(now_.time_since_epoch()) % kReportMs == 0) Report();
      owed += options_.requests_per_s * ToSeconds(kTick);
      while (owed >= 1) {
        Request();
        owed -= 1;
      }
    }
    return totals_;
  }
  const Dispatcher& entry(int index) const {
    return entries_[static_cast<std::size_t>(index)];
  }

 private:
  static constexpr int kReportMs = 300;
  // Mean of a prompt's own part and of its answer.
  static constexpr int kOtherTokens = 400;
  struct Happening {
    TimePoint at;
    std::size_t entry = 0;
    AttemptNumber number;
    InstanceId server;
    bool is_end = false;
    bool operator<(const Happening& other) const { return at > other.at; }
  };

  void RunEvents() {
    while (!events_.empty() && events_.top().at <= now_) {
      const Happening event = events_.top();
      events_.pop();
      Dispatcher& entry = entries_[event.entry];
      if (!event.is_end) {
        entry.OnResponseStarted(event.number, event.at);
        continue;
      }
      --load_[event.server];
      entry.OnEnded(event.number, Dispatcher::Result::kServed, event.at);
    }
  }

  // Each entry gets the reports that the others made one interval ago.
  void Report() {
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      std::map<InstanceId, int> sums;
      for (std::size_t j = 0; j < entries_.size(); ++j) {
        if (j == i) continue;
        for (const BackendShare& share : reports_[j]) {
          sums[share.backend] += share.requests;
        }
      }
      std::vector<BackendShare> shares;
      shares.reserve(sums.size());
      for (const auto& [id, requests] : sums) {
        shares.push_back({.backend = id, .requests = requests});
      }
      entries_[i].OnPeerShares(InstanceId("others"), shares, now_);
    }
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      reports_[i] = entries_[i].OwnShares();
    }
  }

  // Lower numbers of prefixes are requested more often.
  void Request() {
    const std::size_t index = random_.Below(entries_.size());
    const double unit = random_.Unit();
    const int part = static_cast<int>(unit * unit * options_.prefixes);
    number_ = number_.Next();
    Dispatcher& entry = entries_[index];
    const int own_tokens = 100 + static_cast<int>(random_.Below(400));
    entry.Submit({.number = number_,
                  .service = kModel,
                  .prompt_tokens = options_.prefix_tokens + own_tokens,
                  .start_deadline = now_ + seconds(2),
                  .prefix = Prefix(part, options_.prefix_tokens)});
    ++totals_.requests;
    for (const auto& decision : entry.Decide(now_)) {
      if (!decision.backend) continue;
      Serve(index, decision, part, own_tokens);
    }
  }

  void Serve(std::size_t index, const Dispatcher::Decision& decision, int part,
             int own_tokens) {
    const InstanceId server = ServerOf(decision);
    ++totals_.by_server[server];
    if (load_[server] >= options_.slots) {
      ++totals_.rejections;
      entries_[index].OnEnded(decision.number, Dispatcher::Result::kRejected,
                              now_);
      return;
    }
    totals_.max_load = std::max(totals_.max_load, ++load_[server]);
    std::vector<int>& kept = kept_[server];
    const bool is_hit = std::erase(kept, part) > 0;
    totals_.hits += is_hit ? 1 : 0;
    if (options_.kept_prefixes > 0) kept.push_back(part);
    if (static_cast<int>(kept.size()) > options_.kept_prefixes) {
      kept.erase(kept.begin());
    }
    const int tokens = own_tokens + (is_hit ? 0 : options_.prefix_tokens);
    const double first_s = 0.05 + tokens / kReadTokensPerS +
                           0.005 * load_[server] + 0.04 * random_.Unit();
    const auto first = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(first_s));
    events_.push({.at = now_ + first,
                  .entry = index,
                  .number = decision.number,
                  .server = server});
    events_.push({.at = now_ + first + milliseconds(800),
                  .entry = index,
                  .number = decision.number,
                  .server = server,
                  .is_end = true});
  }

  Options options_;
  std::vector<BackendRecord> servers_;
  std::vector<Dispatcher> entries_;
  std::vector<std::vector<BackendShare>> reports_;
  std::priority_queue<Happening> events_;
  std::map<InstanceId, int> load_;
  std::map<InstanceId, std::vector<int>> kept_;
  Random random_{11};
  AttemptNumber number_;
  Totals totals_;
  TimePoint now_{seconds(1'000)};
};

int MaxOf(const std::map<InstanceId, int>& counts) {
  int max = 0;
  for (const auto& [id, count] : counts) max = std::max(max, count);
  return max;
}

double RatioOf(int part, const VirtualSite::Totals& totals) {
  return static_cast<double>(part) / totals.requests;
}

// Guards against a concentration of all requests on the servers that got the
// prefix first, while the entries don't know yet what the others send.
TEST(HotPrefixTest, SpreadsOverEightServersAnd74Entries) {
  struct Case {
    double requests_per_s = 0;   // 71 fill all slots
    double more_rejections = 0;  // at the most, of all requests
  };
  for (const Case& c : {Case{20, 0.005}, Case{36, 0.01}, Case{56, 0.025}}) {
    VirtualSite::Options options = {.kept_prefixes = 8,
                                    .requests_per_s = c.requests_per_s};
    const auto without = VirtualSite(options).Run(seconds(100));
    options.retention = seconds(60);
    const auto with = VirtualSite(options).Run(seconds(100));
    EXPECT_LE(RatioOf(with.rejections, with),
              RatioOf(without.rejections, without) + c.more_rejections)
        << c.requests_per_s;
    EXPECT_LT(RatioOf(MaxOf(with.by_server), with), 1.5 / 8)
        << c.requests_per_s;
    EXPECT_GT(RatioOf(with.hits + with.rejections, with), 0.97)
        << c.requests_per_s;
  }
}

// Guards against a feature without effect: of many prefixes the servers keep a
// part. With more entries each of them knows less of what the servers hold.
TEST(HotPrefixTest, FindsPrefixesMoreOften) {
  struct Case {
    int entries = 0;
    double more_hits = 0;  // at the least, as a factor
  };
  for (const Case& c : {Case{4, 1.4}, Case{13, 1.1}}) {
    VirtualSite::Options options = {.entries = c.entries,
                                    .kept_prefixes = 60,
                                    .prefixes = 400,
                                    .requests_per_s = 20};
    const auto without = VirtualSite(options).Run(seconds(100));
    options.retention = seconds(60);
    const auto with = VirtualSite(options).Run(seconds(100));
    EXPECT_GT(with.hits, without.hits * c.more_hits) << c.entries;
    EXPECT_LE(RatioOf(with.rejections, with),
              RatioOf(without.rejections, without) + 0.01)
        << c.entries;
  }
}

// Guards against a wrong estimate that lasts: servers that keep nothing.
TEST(WrongEstimateTest, GainGoesToZeroWhereNothingIsKept) {
  VirtualSite site({.entries = 13, .prefixes = 8, .retention = seconds(60)});
  site.Run(seconds(300));
  int zero = 0;
  double sum = 0;
  for (int i = 0; i < 13; ++i) {
    const double gain = site.entry(i).prompt_cache().MaxGain();
    zero += gain == 0 ? 1 : 0;
    sum += gain;
  }
  EXPECT_GE(zero, 10);
  EXPECT_LT(sum / 13, 0.1);
}

// Returns the servers that a series of requests is sent to.
std::vector<InstanceId> Choices(Duration retention, int prefixes, int entries) {
  Dispatcher dispatcher({.zone = ZoneName("north"),
                         .seed = 3,
                         .prompt_cache = {.retention = retention}});
  std::vector<InstanceId> ids;
  ids.reserve(static_cast<std::size_t>(entries));
  for (int i = 0; i < entries; ++i) ids.emplace_back("e" + std::to_string(i));
  dispatcher.SetServices(Services());
  dispatcher.SetBackends(Ranks(8, 10));
  dispatcher.SetEntries(ids.front(), ids);
  std::vector<InstanceId> choices;
  TimePoint now{seconds(1'000)};
  for (std::uint64_t i = 1; i <= 500; ++i) {
    now += milliseconds(10);
    const AttemptNumber number(i);
    dispatcher.Submit(
        {.number = number,
         .service = kModel,
         .prompt_tokens = 2'000,
         .start_deadline = now + seconds(2),
         .prefix = prefixes == 0
                       ? PromptPrefix()
                       : Prefix(static_cast<int>(i) % prefixes, 1'600)});
    for (const auto& decision : dispatcher.Decide(now)) {
      choices.push_back(ServerOf(decision));
    }
    if (i > 5) dispatcher.OnResponseStarted(AttemptNumber(i - 5), now);
    if (i > 10) {
      dispatcher.OnEnded(AttemptNumber(i - 10), Dispatcher::Result::kServed,
                         now);
    }
  }
  return choices;
}

// Guards against other decisions while the feature is off, or for requests
// that state no prefix.
TEST(DispatcherWithoutPrefixTest, DecidesAsWithoutTheFeature) {
  for (const int entries : {1, 74}) {
    const auto plain = Choices(Duration(0), 0, entries);
    EXPECT_EQ(Choices(Duration(0), 20, entries), plain);
    EXPECT_EQ(Choices(seconds(60), 0, entries), plain);
    EXPECT_NE(Choices(seconds(60), 20, entries), plain);
  }
}

}  // namespace
}  // namespace mangohold
