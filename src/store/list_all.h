// Lists all items under a prefix, page by page.
#pragma once

#include <string>
#include <vector>

#include "store/store.h"

namespace mangohold {

// Passes all items whose keys begin with `prefix` to `on_items`, or the error
// of the first page that failed. Pages are read one after the other and are no
// snapshot: an item that changes meanwhile is returned in its old or its new
// version.
void ListAll(Store& store, const std::string& prefix, Freshness freshness,
             Store::Callback<absl::StatusOr<std::vector<StoreItem>>> on_items);

}  // namespace mangohold
