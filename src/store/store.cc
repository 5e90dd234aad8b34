#include "store/store.h"

#include <algorithm>

#include "core/log.h"

namespace mangohold {

bool Store::AcceptEra(StoreEra era) {
  if (!era_) era_ = era;
  if (era < *era_) {
    Log(LogLevel::kWarning, "store_answer_of_earlier_era",
        {{"era", era.value()}, {"present", era_->value()}});
    return false;
  }
  if (era == *era_) return true;
  Log(LogLevel::kWarning, "store_era_began",
      {{"era", era.value()}, {"former", era_->value()}});
  era_ = era;
  for (const auto& listener : era_listeners_) listener();
  return true;
}

// Revision 0 (the key is absent) is valid in every era.
bool Store::IsOfCurrentEra(const StoreTransaction& transaction) const {
  const bool is_current = std::ranges::all_of(
      transaction.preconditions,
      [this](const StoreTransaction::Precondition& precondition) {
        return precondition.revision == Revision() ||
               precondition.revision.era() == era();
      });
  if (!is_current) {
    Log(LogLevel::kInfo, "change_of_earlier_era", {{"era", era().value()}});
  }
  return is_current;
}

}  // namespace mangohold
