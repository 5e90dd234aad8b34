#include "store/store_follower.h"

#include <algorithm>
#include <utility>

#include "core/log.h"
#include "core/status.h"

namespace mangohold {
namespace {

// The replica follows all keys with one watch.
constexpr char kAllKeys[] = "";
// A watch without events waited at the store for at least this share of the
// wait, whatever the clocks' drift.
constexpr double kCertainWait = 0.9;

}  // namespace

StoreFollower::StoreFollower(EventLoop& loop, Store& store, Options options,
                             Handlers handlers)
    : loop_(loop),
      store_(store),
      options_(options),
      handlers_(std::move(handlers)),
      retry_(options.first_retry) {}

void StoreFollower::Start() { List(); }

void StoreFollower::List() {
  replica_.BeginListing();
  listing_began_ = BootNow();
  store_.List(kAllKeys, "", Freshness::kLinearizable,
              [this](auto page) { OnPage(page); });
}

void StoreFollower::OnPage(const absl::StatusOr<StorePage>& page) {
  if (!page.ok()) {
    OnFailure(page.status());
    loop_.After(retry_, [this] { List(); });
    return;
  }
  OnAnswer();
  const bool is_last = !page->has_more || page->items.empty();
  Report(replica_.OnPage(*page));
  if (!is_last) {
    store_.List(kAllKeys, replica_.next_page_after(), Freshness::kLinearizable,
                [this](auto next) { OnPage(next); });
    return;
  }
  handlers_.on_confirmed(listing_began_);
  Watch();
}

void StoreFollower::Watch() {
  const TimePoint sent = BootNow();
  store_.Watch(kAllKeys, replica_.at(), options_.watch_wait,
               [this, sent](auto events) { OnEvents(events, sent); });
}

void StoreFollower::OnEvents(const absl::StatusOr<StoreEvents>& events,
                             TimePoint sent) {
  if (!events.ok()) {
    OnFailure(events.status());
    loop_.After(retry_, [this] { Watch(); });
    return;
  }
  OnAnswer();
  if (events->is_history_lost) {
    Log(LogLevel::kInfo, "store_history_lost",
        {{"revision", replica_.at().value()}});
    return List();
  }
  // An answer without events was given when the wait was over, any other at
  // an unknown time after the call was sent.
  const Duration waited =
      events->events.empty()
          ? std::min<Duration>(BootNow() - sent,
                               std::chrono::duration_cast<Duration>(
                                   options_.watch_wait * kCertainWait))
          : Duration(0);
  Report(replica_.OnEvents(*events));
  const bool was_cut_short = BootNow() - sent < options_.watch_wait;
  handlers_.on_confirmed(was_cut_short ? sent : sent + waited);
  if (was_cut_short) {
    loop_.After(options_.batch, [this] { Watch(); });
    return;
  }
  Watch();
}

void StoreFollower::OnAnswer() {
  retry_ = options_.first_retry;
  if (is_answering_) return;
  is_answering_ = true;
  answering_since_ = BootNow();
  Log(LogLevel::kInfo, "store_answers");
  handlers_.on_contact(true);
}

void StoreFollower::OnFailure(const absl::Status& status) {
  retry_ = std::min(options_.longest_retry, retry_ * 2);
  if (!is_answering_) return;
  is_answering_ = false;
  Log(LogLevel::kWarning, "store_lost", {{"error", MessageOf(status)}});
  handlers_.on_contact(false);
}

void StoreFollower::Report(const std::vector<std::string>& keys) {
  if (!keys.empty()) handlers_.on_changed(keys);
}

}  // namespace mangohold
