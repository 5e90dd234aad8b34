// A listing that takes as many pages as there are.
#pragma once

#include <string>
#include <vector>

#include "store/store.h"

namespace mangohold {

// All items whose keys begin with `prefix`, or the error of the first page that
// failed. Pages are read one after the other, so that a key which changes
// meanwhile may be told as it was or as it is.
void ListAll(Store& store, const std::string& prefix, Freshness freshness,
             Store::Callback<absl::StatusOr<std::vector<StoreItem>>> on_items);

}  // namespace mangohold
