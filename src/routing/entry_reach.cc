#include "routing/entry_reach.h"

#include <algorithm>
#include <cmath>
#include <ranges>

#include "core/stable_hash.h"

namespace mangohold {

bool EntryReach::SetEntries(const InstanceId& self,
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

int EntryReach::PartOf(double all, const InstanceId& backend) const {
  const int part = static_cast<int>(std::floor(all / entries()));
  if (part >= 1) return part;
  const std::uint64_t place = StableHash(backend.value());
  const std::uint64_t own = MixedHash(self_ ^ place);
  const auto before = std::ranges::count_if(entries_, [&](std::uint64_t entry) {
    return MixedHash(entry ^ place) < own;
  });
  return static_cast<double>(before) + 1 <= all ? 1 : 0;
}

}  // namespace mangohold
