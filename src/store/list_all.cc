#include "store/list_all.h"

#include <iterator>
#include <utility>

namespace mangohold {
namespace {

using OnItems = Store::Callback<absl::StatusOr<std::vector<StoreItem>>>;

struct Listing {
  Store& store;
  std::string prefix;
  Freshness freshness;
  OnItems on_items;
};

void ReadNextPage(Listing listing, std::vector<StoreItem> items) {
  const std::string after = items.empty() ? "" : items.back().key;
  Store& store = listing.store;
  const std::string prefix = listing.prefix;
  const Freshness freshness = listing.freshness;
  store.List(prefix, after, freshness,
             [listing = std::move(listing), items = std::move(items)](
                 absl::StatusOr<StorePage> page) mutable {
               if (!page.ok()) return listing.on_items(page.status());
               const bool is_last = !page->has_more || page->items.empty();
               std::ranges::move(page->items, std::back_inserter(items));
               if (is_last) return listing.on_items(std::move(items));
               ReadNextPage(std::move(listing), std::move(items));
             });
}

}  // namespace

void ListAll(Store& store, const std::string& prefix, Freshness freshness,
             OnItems on_items) {
  ReadNextPage({.store = store,
                .prefix = prefix,
                .freshness = freshness,
                .on_items = std::move(on_items)},
               {});
}

}  // namespace mangohold
