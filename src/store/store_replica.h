// A copy of the store's keys, kept by listings and watches.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "store/store.h"

namespace mangohold {

// No clock, no network: pages and events go in, the keys that changed come out.
class StoreReplica {
 public:
  // Begins a listing. What is known stays until the listing is complete.
  void BeginListing();
  // True if the page is of the same era of the store as those before it. A
  // listing over two eras would be of neither: it has to begin anew.
  bool IsOfListingEra(const StorePage& page) const;
  // Takes a page of the listing in progress. After the last one, gives the keys
  // that changed against what was known, deleted ones included.
  std::vector<std::string> OnPage(const StorePage& page);
  // The key after which the next page begins.
  const std::string& next_page_after() const { return last_listed_key_; }

  // Takes the events of a watch from `at()`. Gives the keys that changed.
  std::vector<std::string> OnEvents(const StoreEvents& events);

  // The item, or null if the store has none.
  const StoreItem* Find(const std::string& key) const;
  const std::map<std::string, StoreItem>& items() const { return items_; }
  // The revision up to which nothing is missing.
  Revision revision() const { return revision_; }
  // Where the last listing began. What is in it may be older than its era.
  Revision listing_revision() const { return listing_revision_; }
  bool is_loaded() const { return is_loaded_; }

 private:
  std::vector<std::string> FinishListing();

  std::map<std::string, StoreItem> items_;
  Revision revision_;
  bool is_loaded_ = false;
  // The listing in progress.
  std::map<std::string, StoreItem> listed_;
  std::string last_listed_key_;
  Revision listing_revision_;
  bool has_first_page_ = false;
};

}  // namespace mangohold
