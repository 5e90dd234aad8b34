#include "routing/address_choice.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace mangohold {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr int kZones = 3;

// The entries of a site, spread over the zones in turn.
class Site {
 public:
  void Add(int count, double capacity) {
    for (int i = 0; i < count; ++i) {
      const std::size_t index = entries_.size();
      entries_.push_back({.id = "entry-" + std::to_string(index),
                          .zone = "zone-" + std::to_string(index % kZones),
                          .capacity = capacity});
    }
  }
  void Remove(std::string_view id) {
    std::erase_if(entries_,
                  [id](const Entry& entry) { return entry.id == id; });
  }
  void RemoveZone(std::string_view zone) {
    std::erase_if(entries_,
                  [zone](const Entry& entry) { return entry.zone == zone; });
  }
  void Reverse() { std::ranges::reverse(entries_); }
  void SetCapacity(std::size_t index, double capacity) {
    entries_[index].capacity = capacity;
  }

  std::vector<std::string> Ask(const AddressQuestion& question) const {
    AddressCandidates candidates;
    for (const Entry& entry : entries_) {
      candidates.push_back(
          {.id = entry.id, .zone = entry.zone, .capacity = entry.capacity});
    }
    std::vector<std::string> named;
    for (const std::size_t place : ChooseAddresses(candidates, question)) {
      named.push_back(entries_[place].id);
    }
    return named;
  }
  // The ids in a zone, or all for an empty name.
  std::vector<std::string> Ids(std::string_view zone) const {
    std::vector<std::string> ids;
    for (const Entry& entry : entries_) {
      if (zone.empty() || entry.zone == zone) ids.push_back(entry.id);
    }
    return ids;
  }
  // The part of the requests that each entry gets per unit of its capacity,
  // over its mean, if callers choose uniformly among the named ones.
  std::map<std::string, double> RelativeLoad(
      const std::vector<AddressQuestion>& questions) const {
    std::map<std::string, double> load;
    for (const AddressQuestion& question : questions) {
      const std::vector<std::string> named = Ask(question);
      for (const std::string& id : named) {
        load[id] += 1.0 / static_cast<double>(named.size());
      }
    }
    double sum = 0;
    for (const Entry& entry : entries_) sum += entry.capacity;
    std::map<std::string, double> relative;
    for (const Entry& entry : entries_) {
      relative[entry.id] = load[entry.id] / entry.capacity * sum /
                           static_cast<double>(questions.size());
    }
    return relative;
  }

 private:
  struct Entry {
    std::string id;
    std::string zone;
    double capacity = 0;
  };
  std::vector<Entry> entries_;
};

// The auction house's entries.
Site UnevenSite() {
  Site site;
  site.Add(6, 0.5);
  site.Add(68, 0.17);
  return site;
}

TimePoint At(Duration time) { return TimePoint(time); }

// Questions for one zone, of callers with different seeds, each at the given
// number of times.
std::vector<AddressQuestion> QuestionsOf(std::string_view zone, int seeds,
                                         int times) {
  std::vector<AddressQuestion> questions;
  for (int seed = 1; seed <= seeds; ++seed) {
    for (int time = 0; time < times; ++time) {
      questions.push_back({.zone = zone,
                           .seed = static_cast<std::uint64_t>(seed),
                           .now = At(minutes(2) * time)});
    }
  }
  return questions;
}

std::size_t Missing(const std::vector<std::string>& from,
                    const std::vector<std::string>& in) {
  return static_cast<std::size_t>(
      std::ranges::count_if(from, [&in](const std::string& id) {
        return std::ranges::find(in, id) == in.end();
      }));
}

// Guards against small entries that get as many requests as large ones. The
// tolerance is 4 standard deviations of the small ones' draws.
TEST(AddressChoice, UnevenEntriesAreNamedInProportion) {
  const Site site = UnevenSite();
  for (const auto& questions :
       {QuestionsOf("", 5'000, 1), QuestionsOf("", 1, 5'000)}) {
    for (const auto& [id, load] : site.RelativeLoad(questions)) {
      EXPECT_NEAR(load, 1, 0.08) << id;
    }
  }
}

// Guards against proportions that hold only over all zones.
TEST(AddressChoice, UnevenEntriesOfAZoneAreNamedInProportion) {
  Site site = UnevenSite();
  site.RemoveZone("zone-1");
  site.RemoveZone("zone-2");
  for (const auto& [id, load] :
       site.RelativeLoad(QuestionsOf("zone-0", 5'000, 1))) {
    EXPECT_NEAR(load, 1, 0.08) << id;
  }
}

// Guards against callers that all use the same few entries at a time: these
// would get several times the requests that they can serve, while the others
// have none. 25 entries of a zone answer 40 callers each.
TEST(AddressChoice, NoEntryIsNamedToAllCallersAtOnce) {
  Site site = UnevenSite();
  site.RemoveZone("zone-1");
  site.RemoveZone("zone-2");
  for (const auto& [id, load] :
       site.RelativeLoad(QuestionsOf("zone-0", 25 * 40, 1))) {
    EXPECT_NEAR(load, 1, 0.2) << id;
  }
}

// Guards against a changed answer where there is nothing to weigh: all entries
// of the zone, in the order in which they are listed.
TEST(AddressChoice, EqualEntriesAreAllNamed) {
  for (const double capacity : {0.0, 0.1, 0.17, 3.0}) {
    Site site;
    site.Add(60, capacity);
    for (const std::string zone : {"zone-0", "zone-1", "", "elsewhere"}) {
      const bool is_zone = zone == "zone-0" || zone == "zone-1";
      EXPECT_EQ(site.Ask({.zone = zone, .seed = 3, .now = At(seconds(5))}),
                site.Ids(is_zone ? zone : ""))
          << capacity << " in " << zone;
    }
  }
}

// Guards against a mean that differs from the known capacities by a rounding
// error and so leaves one entry out.
TEST(AddressChoice, UnknownAmongEqualEntriesAreAllNamed) {
  for (const double capacity : {0.1, 0.17, 0.3, 0.7}) {
    Site site;
    site.Add(23, capacity);
    site.Add(20, 0);
    EXPECT_EQ(site.Ask({.seed = 3}), site.Ids("")) << capacity;
  }
}

// Guards against entries of the previous release that are never or always
// named: the mean of 0.5 and 0.1 is 0.3.
TEST(AddressChoice, UnknownCapacityCountsAsTheMean) {
  Site site;
  site.Add(20, 0.5);
  site.Add(20, 0.1);
  site.Add(20, 0);
  std::map<std::string, int> named;
  for (const AddressQuestion& question : QuestionsOf("", 4'000, 1)) {
    for (const std::string& id : site.Ask(question)) ++named[id];
  }
  for (std::size_t i = 0; i < 20; ++i) {
    EXPECT_NEAR(named["entry-" + std::to_string(i)], 4'000, 10);
    EXPECT_NEAR(named["entry-" + std::to_string(20 + i)], 800, 120);
    EXPECT_NEAR(named["entry-" + std::to_string(40 + i)], 2'400, 150);
  }
}

// Guards against answers that leave callers without other entries to try.
TEST(AddressChoice, NeverNamesFewerThanEight) {
  for (int count = 1; count <= 30; ++count) {
    Site site;
    site.Add(1, 50);
    site.Add(count - 1, 0.17);
    for (const AddressQuestion& question : QuestionsOf("", 20, 5)) {
      const std::vector<std::string> named = site.Ask(question);
      EXPECT_EQ(named.size(), std::min(count, 8));
      EXPECT_EQ(std::set(named.begin(), named.end()).size(), named.size());
      EXPECT_EQ(named.front(), "entry-0") << "the largest";
    }
  }
}

// Guards against an entry that hides behind larger ones: where eight are more
// than the proportion allows, the small ones share what the large ones leave.
TEST(AddressChoice, FloorOfEightIsSharedEvenly) {
  Site site;
  site.Add(2, 50);
  site.Add(18, 0.17);
  std::map<std::string, int> named;
  for (const AddressQuestion& question : QuestionsOf("", 6'000, 1)) {
    for (const std::string& id : site.Ask(question)) ++named[id];
  }
  for (int i = 0; i < 2; ++i) {
    EXPECT_EQ(named["entry-" + std::to_string(i)], 6'000);
  }
  for (int i = 2; i < 20; ++i) {
    EXPECT_NEAR(named["entry-" + std::to_string(i)], 2'000, 160);
  }
}

// Guards against answers that are longer than callers read.
TEST(AddressChoice, NeverNamesMoreThan64) {
  Site site;
  site.Add(40, 0.5);
  site.Add(40, 0.4);
  Site equal;
  equal.Add(100, 0);
  for (const AddressQuestion& question : QuestionsOf("", 20, 5)) {
    EXPECT_EQ(site.Ask(question).size(), 64);
    EXPECT_EQ(equal.Ask(question).size(), 64);
  }
}

// Guards against callers without an answer, or with dead addresses, when their
// zone has failed: one survivor isn't enough.
TEST(AddressChoice, OtherZonesAreNamedWhenAZoneIsGone) {
  Site site = UnevenSite();
  site.RemoveZone("zone-1");
  EXPECT_GE(site.Ask({.zone = "zone-1", .seed = 1}).size(), 8);

  const std::vector<std::string> survivors = site.Ids("zone-0");
  for (std::size_t i = 1; i < survivors.size(); ++i) site.Remove(survivors[i]);
  EXPECT_GE(site.Ask({.zone = "zone-0", .seed = 1}).size(), 8);
  EXPECT_TRUE(Site().Ask({.zone = "zone-0"}).empty());
}

// Guards against callers that lose their connections to sound entries when
// another one leaves: apart from its replacement, at most one changes, since
// one fewer may be named.
TEST(AddressChoice, EntryThatLeavesChangesLittle) {
  const Site before = UnevenSite();
  for (const std::string& leaving : before.Ids("zone-0")) {
    Site after = before;
    after.Remove(leaving);
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      const AddressQuestion question = {
          .zone = "zone-0", .seed = seed, .now = At(seconds(77))};
      const auto named_after = after.Ask(question);
      EXPECT_EQ(std::ranges::find(named_after, leaving), named_after.end());
      EXPECT_LE(Missing(before.Ask(question), named_after), 2)
          << leaving << ", seed " << seed;
    }
  }
}

// Guards against answers that differ from question to question, so that callers
// keep opening connections. Each of the 23 small entries of the zone is drawn
// again every 2 minutes. With a probability of 0.33 of being named, 0.44 of the
// draws replace one of the named: about 300 in an hour.
TEST(AddressChoice, AnswersChangeSlowly) {
  const Site site = UnevenSite();
  const int answers = 1'800;  // an hour, one every 2 s
  std::vector<std::string> last;
  std::size_t changes = 0;
  std::size_t most_at_once = 0;
  for (int i = 0; i < answers; ++i) {
    const auto named = site.Ask(
        {.zone = "zone-0", .seed = 9, .now = At(seconds(1) + seconds(2) * i)});
    const std::size_t missing = Missing(last, named);
    changes += missing;
    most_at_once = std::max(most_at_once, missing);
    last = named;
  }
  EXPECT_LT(changes, 400);
  EXPECT_GT(changes, 200) << "the small entries take turns";
  EXPECT_LE(most_at_once, 2);
}

// Guards against answers that can't be reproduced, or that depend on the order
// in which the entries are known.
TEST(AddressChoice, EqualSeedsGiveEqualAnswers) {
  const Site site = UnevenSite();
  Site reversed = site;
  reversed.Reverse();
  const AddressQuestion question = {
      .zone = "zone-2", .seed = 4, .now = At(milliseconds(123'456))};
  const std::vector<std::string> named = site.Ask(question);
  EXPECT_EQ(site.Ask(question), named);
  std::vector<std::string> named_in_reverse = reversed.Ask(question);
  std::ranges::reverse(named_in_reverse);
  EXPECT_EQ(named_in_reverse, named);
}

// Guards against one absurd capacity that empties the answers, names nobody
// else or ends the process.
TEST(AddressChoice, AbsurdCapacitiesLeaveTheOthersNamed) {
  using Limits = std::numeric_limits<double>;
  for (const double absurd :
       {-1.0, -Limits::infinity(), Limits::infinity(), Limits::quiet_NaN(),
        Limits::max(), Limits::denorm_min(), -0.0}) {
    Site site = UnevenSite();
    site.SetCapacity(10, absurd);
    std::set<std::string> named;
    for (const AddressQuestion& question : QuestionsOf("", 200, 1)) {
      const std::vector<std::string> answer = site.Ask(question);
      EXPECT_GE(answer.size(), 8) << absurd;
      EXPECT_LE(answer.size(), 64) << absurd;
      named.insert(answer.begin(), answer.end());
    }
    EXPECT_GE(named.size(), 73) << absurd;
  }
}

}  // namespace
}  // namespace mangohold
