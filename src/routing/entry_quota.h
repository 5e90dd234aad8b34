// Splits a limit of a backend, such as its maximum number of connections, among
// the entries, so that their sum stays within the limit although they don't
// coordinate. Does no I/O and reads no clock.
//
// Every entry gets an equal quota. Where that is less than one, only as many
// entries as the limit allows get a quota of one. They are chosen by rendezvous
// hashing: entries with the same view of the entry list agree on the choice,
// and an entry that joins or leaves changes the quota of few others.
#pragma once

#include <cstdint>
#include <vector>

#include "core/ids.h"

namespace mangohold {

class EntryQuota {
 public:
  // Sets the entries that may be sending; `self` may be among them or not.
  // Returns true if the other entries have changed.
  bool SetEntries(const InstanceId& self,
                  const std::vector<InstanceId>& entries);
  // Number of entries, including this one.
  int entries() const { return static_cast<int>(entries_.size()) + 1; }

  // Number of entries that come before this one in the backend's order of
  // entries.
  int RankAt(const InstanceId& backend) const;
  // This entry's quota of `limit` at the backend, rounded down.
  int QuotaFor(double limit, const InstanceId& backend) const;

 private:
  std::uint64_t self_ = 0;              // hash of this entry's id
  std::vector<std::uint64_t> entries_;  // hashes of the other entries' ids
};

}  // namespace mangohold
