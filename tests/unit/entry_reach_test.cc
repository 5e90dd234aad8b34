#include "routing/entry_reach.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace mangohold {
namespace {

std::vector<InstanceId> Named(const std::string& prefix, int count) {
  std::vector<InstanceId> ids;
  ids.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) ids.emplace_back(prefix + std::to_string(i));
  return ids;
}

std::vector<EntryReach> ReachesOf(const std::vector<InstanceId>& entries) {
  std::vector<EntryReach> reaches(entries.size());
  for (std::size_t i = 0; i < entries.size(); ++i) {
    reaches[i].SetEntries(entries[i], entries);
  }
  return reaches;
}

int SumOf(const std::vector<EntryReach>& reaches, double all,
          const InstanceId& backend) {
  int sum = 0;
  for (const EntryReach& reach : reaches) sum += reach.PartOf(all, backend);
  return sum;
}

TEST(EntryReach, PartsNeverSumToMoreThanAll) {
  const std::vector<InstanceId> backends = Named("b", 20);
  for (const int entries : {1, 2, 6, 27, 28, 39, 410}) {
    const auto reaches = ReachesOf(Named("e", entries));
    for (const InstanceId& backend : backends) {
      EXPECT_LE(SumOf(reaches, 27.5, backend), 27.5) << entries << " entries";
    }
  }
}

// At the size that we are going to: 410 entries before 600 backend servers.
TEST(EntryReach, EachEntryReachesABackendServerAndEachOfThemIsReached) {
  const std::vector<InstanceId> backends = Named("b", 600);
  const auto reaches = ReachesOf(Named("e", 410));
  for (const EntryReach& reach : reaches) {
    const auto reached =
        std::ranges::count_if(backends, [&reach](const InstanceId& backend) {
          return reach.PartOf(27.5, backend) > 0;
        });
    // 600 x 27 / 410 are 39.5 in the mean.
    EXPECT_GE(reached, 15);
    EXPECT_LE(reached, 70);
  }
  for (const InstanceId& backend : backends) {
    EXPECT_EQ(SumOf(reaches, 27.5, backend), 27);
  }
}

TEST(EntryReach, AnEntryThatLeavesMovesFewOthers) {
  const std::vector<InstanceId> backends = Named("b", 100);
  std::vector<InstanceId> entries = Named("e", 60);
  const auto before = ReachesOf(entries);
  entries.pop_back();
  const auto after = ReachesOf(entries);
  int moved = 0;
  for (std::size_t i = 0; i < after.size(); ++i) {
    for (const InstanceId& backend : backends) {
      const bool is_same =
          before[i].PartOf(20, backend) == after[i].PartOf(20, backend);
      moved += is_same ? 0 : 1;
    }
  }
  // The 100 x 20 / 60 places of the one that left, each taken by one other.
  EXPECT_LE(moved, 50);
}

}  // namespace
}  // namespace mangohold
