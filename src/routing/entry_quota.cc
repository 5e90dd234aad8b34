#include "routing/entry_quota.h"

#include <algorithm>
#include <cmath>
#include <ranges>

#include "core/stable_hash.h"

namespace mangohold {

bool EntryQuota::SetEntries(const InstanceId& self,
                            const std::vector<InstanceId>& entries) {
  std::vector<std::uint64_t> others;
  for (const InstanceId& id : entries) {
    if (id != self) others.push_back(StableHash(id.value()));
  }
  const bool has_changed = others != entries_;
  self_ = StableHash(self.value());
  entries_ = std::move(others);
  return has_changed;
}

int EntryQuota::RankAt(const InstanceId& backend) const {
  const std::uint64_t backend_hash = StableHash(backend.value());
  const std::uint64_t own_score = MixedHash(self_ ^ backend_hash);
  return static_cast<int>(
      std::ranges::count_if(entries_, [&](std::uint64_t entry) {
        return MixedHash(entry ^ backend_hash) < own_score;
      }));
}

int EntryQuota::QuotaFor(double limit, const InstanceId& backend) const {
  const int quota = static_cast<int>(std::floor(limit / entries()));
  if (quota >= 1) return quota;
  return RankAt(backend) + 1 <= limit ? 1 : 0;
}

}  // namespace mangohold
