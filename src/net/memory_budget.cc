#include "net/memory_budget.h"

#include <utility>

namespace mangohold {
namespace {

constexpr std::size_t kMegabyte = 1U << 20U;
// The other half of a machine's memory is for the program, its tables, and what
// the allocator keeps.
constexpr std::size_t kPartOfMachine = 2;
constexpr std::size_t kPartOfReserve = 8;
// Who holds this many times as much as another asks for has to give way.
constexpr std::size_t kFairFactor = 2;

}  // namespace

MemoryBudget::Options MemoryBudget::OptionsFor(int machine_mb) {
  const std::size_t limit =
      static_cast<std::size_t>(machine_mb) * kMegabyte / kPartOfMachine;
  return {.limit = limit, .reserve = limit / kPartOfReserve};
}

MemoryBudget::Holder::Holder(MemoryBudget& budget, Evict evict, TimePoint now)
    : budget_(budget), evict_(std::move(evict)), progress_at_(now) {
  budget_.holders_.insert(this);
}

MemoryBudget::Holder::~Holder() {
  budget_.bytes_ -= bytes_;
  budget_.holders_.erase(this);
}

bool MemoryBudget::Holder::Resize(std::size_t bytes, TimePoint now) {
  if (bytes > bytes_ && !budget_.MakeRoom(*this, bytes, now)) return false;
  Set(bytes);
  return true;
}

void MemoryBudget::Holder::Set(std::size_t bytes) {
  budget_.bytes_ += bytes;
  budget_.bytes_ -= std::exchange(bytes_, bytes);
}

bool MemoryBudget::HasRoom(const Holder& holder, std::size_t bytes) const {
  if (options_.limit == 0) return true;
  const std::size_t limit = bytes <= options_.small
                                ? options_.limit
                                : options_.limit - options_.reserve;
  return bytes_ - holder.bytes_ + bytes <= limit;
}

bool MemoryBudget::IsEvictable(const Holder& holder,
                               const Holder& asking) const {
  return &holder != &asking && holder.evict_ &&
         holder.bytes_ > options_.small &&
         holder.protection_ != Protection::kFull;
}

MemoryBudget::Holder* MemoryBudget::FindStalled(const Holder& asking,
                                                TimePoint now) const {
  Holder* found = nullptr;
  for (Holder* holder : holders_) {
    const bool is_stalled = now - holder->progress_at_ >= options_.patience;
    if (!is_stalled || !IsEvictable(*holder, asking)) continue;
    if (found == nullptr || holder->progress_at_ < found->progress_at_) {
      found = holder;
    }
  }
  return found;
}

MemoryBudget::Holder* MemoryBudget::FindLargest(const Holder& asking,
                                                std::size_t bytes) const {
  Holder* found = nullptr;
  std::size_t most = kFairFactor * bytes;
  for (Holder* holder : holders_) {
    const bool is_protected = holder->protection_ != Protection::kNone;
    if (is_protected || holder->bytes_ <= most) continue;
    if (!IsEvictable(*holder, asking)) continue;
    found = holder;
    most = holder->bytes_;
  }
  return found;
}

// Each round takes the callback of one holder, so that it ends even if what was
// evicted frees nothing.
bool MemoryBudget::MakeRoom(const Holder& asking, std::size_t bytes,
                            TimePoint now) {
  while (!HasRoom(asking, bytes)) {
    Eviction reason = Eviction::kStalled;
    Holder* victim = FindStalled(asking, now);
    if (victim == nullptr) {
      reason = Eviction::kLargest;
      victim = FindLargest(asking, bytes);
    }
    if (victim == nullptr) return false;
    const Evict evict = std::exchange(victim->evict_, nullptr);
    evict(reason);
  }
  return true;
}

}  // namespace mangohold
