// How many bytes a process may hold in memory for connections and requests,
// and which of them end first when there is no room.
//
// Room is made by those that have made no progress for longest, and if all make
// progress, by the one that holds far more than the one that asks. The last
// part of the room is for small holders only, so that large ones never keep
// small requests out.
#pragma once

#include <cstddef>
#include <functional>
#include <set>

#include "core/clock.h"

namespace mangohold {

// Why a holder has to free what it holds.
enum class Eviction {
  kStalled,  // no progress
  kLargest   // others need a fair part
};

// What keeps a holder from being evicted.
enum class Protection {
  kNone,
  kWhileActive,  // as long as it makes progress
  kFull
};

// Has to be used on one thread, and to outlive its holders.
class MemoryBudget {
 public:
  struct Options {
    std::size_t limit = 0;           // in bytes; 0: none
    std::size_t reserve = 0;         // the part of it that is for small holders
    std::size_t small = 64U << 10U;  // the most that a small holder has
    // Who has made no progress for this long may be evicted.
    Duration patience = std::chrono::seconds(1);
  };
  // Called from inside another holder's `Resize`. Has to free the bytes before
  // it returns, and may end the holder.
  using Evict = std::function<void(Eviction)>;

  // What one connection or request holds. Frees it at its end.
  class Holder {
   public:
    // Without `evict` it is never evicted.
    Holder(MemoryBudget& budget, Evict evict, TimePoint now);
    ~Holder();
    Holder(const Holder&) = delete;
    Holder& operator=(const Holder&) = delete;

    // Makes room for `bytes` in all, by evicting others if need be. False
    // changes nothing here: the caller must not hold more.
    bool Resize(std::size_t bytes, TimePoint now);
    // States what is held already, whether or not there is room.
    void Set(std::size_t bytes);
    void OnProgress(TimePoint now) { progress_at_ = now; }
    void Protect(Protection protection) { protection_ = protection; }
    std::size_t bytes() const { return bytes_; }

   private:
    friend class MemoryBudget;

    MemoryBudget& budget_;
    Evict evict_;
    TimePoint progress_at_;
    Protection protection_ = Protection::kNone;
    std::size_t bytes_ = 0;
  };

  explicit MemoryBudget(Options options) : options_(options) {}

  // The limits for a process that counts on `machine_mb` of memory; 0: no
  // limit, which an operator has to ask for by name.
  static Options OptionsFor(int machine_mb);

  std::size_t bytes() const { return bytes_; }
  std::size_t holders() const { return holders_.size(); }

 private:
  bool HasRoom(const Holder& holder, std::size_t bytes) const;
  Holder* FindStalled(const Holder& asking, TimePoint now) const;
  Holder* FindLargest(const Holder& asking, std::size_t bytes) const;
  bool IsEvictable(const Holder& holder, const Holder& asking) const;
  bool MakeRoom(const Holder& asking, std::size_t bytes, TimePoint now);

  Options options_;
  std::size_t bytes_ = 0;
  std::set<Holder*> holders_;
};

}  // namespace mangohold
