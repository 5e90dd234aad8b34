// Which entries may send to a backend server, and how much, so that the sum
// over all of them keeps to what the backend server bears. No clock and no
// network.
//
// Each entry has an equal part. Where that would be less than one, a backend
// server is left to as many entries as it bears one of each, drawn by
// rendezvous hashing: entries that know the same entries agree without asking
// one another, and one that comes or goes moves few others.
#pragma once

#include <cstdint>
#include <vector>

#include "core/ids.h"

namespace mangohold {

class EntryQuota {
 public:
  // All entries that may be sending, with this one. True if they have changed.
  bool SetEntries(const InstanceId& self,
                  const std::vector<InstanceId>& entries);
  int entries() const { return static_cast<int>(entries_.size()) + 1; }

  // This entry's part of `all` at the backend server, rounded down.
  int QuotaFor(double limit, const InstanceId& backend) const;

 private:
  std::uint64_t self_ = 0;              // hashed ids
  std::vector<std::uint64_t> entries_;  // of the others
};

}  // namespace mangohold
