#include "store/store_replica.h"

#include <utility>

namespace mangohold {

void StoreReplica::BeginListing() {
  listed_.clear();
  last_listed_key_.clear();
  has_first_page_ = false;
}

bool StoreReplica::IsOfListingEra(const StorePage& page) const {
  return !has_first_page_ || page.revision.era() == listing_revision_.era();
}

// Pages are not a snapshot: they may or may not include changes made during the
// listing. The watch therefore starts at the revision of the first page and
// receives all of these changes again.
std::vector<std::string> StoreReplica::OnPage(const StorePage& page) {
  if (!has_first_page_) {
    has_first_page_ = true;
    listing_revision_ = page.revision;
  }
  for (const StoreItem& item : page.items) {
    last_listed_key_ = item.key;
    listed_[item.key] = item;
  }
  const bool is_last = !page.has_more || page.items.empty();
  return is_last ? FinishListing() : std::vector<std::string>();
}

std::vector<std::string> StoreReplica::FinishListing() {
  std::vector<std::string> changed;
  for (const auto& [key, item] : items_) {
    if (!listed_.contains(key)) changed.push_back(key);
  }
  for (const auto& [key, item] : listed_) {
    const auto known = items_.find(key);
    if (known == items_.end() || known->second.revision != item.revision) {
      changed.push_back(key);
    }
  }
  items_ = std::exchange(listed_, {});
  revision_ = listing_revision_;
  is_loaded_ = true;
  return changed;
}

std::vector<std::string> StoreReplica::OnEvents(const StoreEvents& events) {
  std::vector<std::string> changed;
  for (const StoreEvent& event : events.events) {
    const auto known = items_.find(event.item.key);
    const bool is_known = known != items_.end();
    if (is_known && known->second.revision >= event.item.revision) continue;
    if (event.is_deleted) {
      if (!is_known) continue;
      items_.erase(known);
    } else {
      items_[event.item.key] = event.item;
    }
    changed.push_back(event.item.key);
  }
  revision_ = std::max(revision_, events.revision);
  return changed;
}

const StoreItem* StoreReplica::Find(const std::string& key) const {
  const auto it = items_.find(key);
  return it == items_.end() ? nullptr : &it->second;
}

}  // namespace mangohold
