#include "routing/entry_quota.h"

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

std::vector<EntryQuota> QuotasOf(const std::vector<InstanceId>& entries) {
  std::vector<EntryQuota> quotas(entries.size());
  for (std::size_t i = 0; i < entries.size(); ++i) {
    quotas[i].SetEntries(entries[i], entries);
  }
  return quotas;
}

int SumOf(const std::vector<EntryQuota>& quotas, double limit,
          const InstanceId& backend) {
  int sum = 0;
  for (const EntryQuota& quota : quotas) sum += quota.QuotaFor(limit, backend);
  return sum;
}

TEST(EntryQuota, SumStaysWithinLimit) {
  const std::vector<InstanceId> backends = Named("b", 20);
  for (const int entries : {1, 2, 6, 27, 28, 39, 410}) {
    const auto quotas = QuotasOf(Named("e", entries));
    for (const InstanceId& backend : backends) {
      EXPECT_LE(SumOf(quotas, 27.5, backend), 27.5) << entries << " entries";
    }
  }
}

// At the intended scale of 410 entries and 600 backends.
TEST(EntryQuota, EveryEntryAndBackendGetsQuota) {
  const std::vector<InstanceId> backends = Named("b", 600);
  const auto quotas = QuotasOf(Named("e", 410));
  for (const EntryQuota& quota : quotas) {
    const auto reached =
        std::ranges::count_if(backends, [&quota](const InstanceId& backend) {
          return quota.QuotaFor(27.5, backend) > 0;
        });
    // The mean is 600 x 27 / 410 = 39.5.
    EXPECT_GE(reached, 15);
    EXPECT_LE(reached, 70);
  }
  for (const InstanceId& backend : backends) {
    EXPECT_EQ(SumOf(quotas, 27.5, backend), 27);
  }
}

TEST(EntryQuota, LeavingEntryChangesFewQuotas) {
  const std::vector<InstanceId> backends = Named("b", 100);
  std::vector<InstanceId> entries = Named("e", 60);
  const auto before = QuotasOf(entries);
  entries.pop_back();
  const auto after = QuotasOf(entries);
  int changed = 0;
  for (std::size_t i = 0; i < after.size(); ++i) {
    for (const InstanceId& backend : backends) {
      const bool is_same =
          before[i].QuotaFor(20, backend) == after[i].QuotaFor(20, backend);
      changed += is_same ? 0 : 1;
    }
  }
  // The entry that left had about 100 x 20 / 60 = 33 quotas of one, and each
  // passes to one other entry.
  EXPECT_LE(changed, 50);
}

}  // namespace
}  // namespace mangohold
