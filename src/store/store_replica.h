// A copy of the store's keys, maintained by listings and watches.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "store/store.h"

namespace mangohold {

// Takes pages and events and returns the keys that changed. Does no I/O and
// reads no clock.
class StoreReplica {
 public:
  // Starts a listing. The current items stay until the listing is complete.
  void BeginListing();
  // True if the page belongs to the same era as the previous pages of the
  // listing. A listing across two eras is consistent with neither, so it has to
  // be restarted.
  bool IsOfListingEra(const StorePage& page) const;
  // Adds a page to the listing in progress. After the last page, returns the
  // keys that differ from the previous items, including deleted ones.
  std::vector<std::string> OnPage(const StorePage& page);
  // The key after which the next page starts; empty: the first page.
  const std::string& next_page_after() const { return last_listed_key_; }

  // Applies the events of a watch that started at `revision()`. Returns the
  // keys that changed.
  std::vector<std::string> OnEvents(const StoreEvents& events);

  // Returns the item, or null if the key is absent.
  const StoreItem* Find(const std::string& key) const;
  const std::map<std::string, StoreItem>& items() const { return items_; }
  // The replica includes all changes up to this revision.
  Revision revision() const { return revision_; }
  // The revision at which the last listing started. After a restore, items up
  // to this revision may come from the backup and be older than the era.
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
