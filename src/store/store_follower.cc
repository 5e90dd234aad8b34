#include "store/store_follower.h"

#include <algorithm>
#include <utility>

#include "core/log.h"
#include "core/status.h"

namespace mangohold {
namespace {

// One watch covers all keys.
constexpr char kAllKeys[] = "";
// Share of the wait that a watch without events has certainly spent at the
// store, allowing for clock drift.
constexpr double kMinWaitShare = 0.9;
// Wait of a watch that should quickly show whether the store answers.
constexpr Millis kShortWatchWait{100};

}  // namespace

StoreFollower::StoreFollower(Scheduler& scheduler, Store& store,
                             Options options, Handlers handlers)
    : scheduler_(scheduler),
      store_(store),
      options_(std::move(options)),
      handlers_(std::move(handlers)),
      retry_(options.initial_retry) {}

// A stale listing suffices at the start: the following watch returns the
// changes that it lacks.
void StoreFollower::Start() { List(Freshness::kMayBeStale); }

void StoreFollower::List(Freshness freshness) {
  replica_.BeginListing();
  listing_freshness_ = freshness;
  listing_start_ = scheduler_.Now();
  store_.List(kAllKeys, "", freshness, [this](auto page) { OnPage(page); });
}

void StoreFollower::OnPage(const absl::StatusOr<StorePage>& page) {
  if (!page.ok()) {
    OnFailure(page.status());
    scheduler_.After(retry_, [this] { List(listing_freshness_); });
    return;
  }
  OnAnswer();
  if (!replica_.IsOfListingEra(*page)) return List(Freshness::kLinearizable);
  const bool is_last = !page->has_more || page->items.empty();
  NotifyChanged(replica_.OnPage(*page));
  if (!is_last) {
    store_.List(kAllKeys, replica_.next_page_after(), listing_freshness_,
                [this](auto next) { OnPage(next); });
    return;
  }
  change_log_.OnListed(replica_.revision());
  if (listing_freshness_ == Freshness::kLinearizable) Confirm(listing_start_);
  is_next_watch_short_ = true;
  WatchStore();
}

void StoreFollower::Watch() {
  const TimePoint sent = scheduler_.Now();
  const bool is_relayed =
      relay_ != nullptr &&
      relay_->Watch(replica_.revision(), [this, sent](const auto& relayed) {
        OnRelayed(relayed, sent);
      });
  if (!is_relayed) WatchStore();
}

// The first watch is short because the listing may be stale. A watch after a
// failure is short because it shows quickly whether more than a cut watch was
// wrong.
void StoreFollower::WatchStore() {
  const TimePoint sent = scheduler_.Now();
  const bool is_serving = relay_ != nullptr && relay_->IsServing();
  const Millis wait = std::exchange(is_next_watch_short_, false)
                          ? kShortWatchWait
                      : is_serving ? options_.serving_watch_wait
                                   : options_.watch_wait;
  store_.Watch(
      kAllKeys, replica_.revision(), wait,
      [this, sent, wait](auto events) { OnEvents(events, sent, wait); });
}

// The peer answered at least `held` after the request was sent, and knew every
// change until `age` before its answer. Both durations come from its clock:
// subtracting the drift from one and adding it to the other keeps the result on
// the safe side.
void StoreFollower::OnRelayed(const absl::StatusOr<RelayedEvents>& relayed,
                              TimePoint sent) {
  if (!relayed.ok()) {
    return Watch();
  }
  // The two processes are in different eras: one of them hasn't yet learned of
  // the newer era.
  if (relayed->events.revision.era() != replica_.revision().era()) {
    return Watch();
  }
  OnAnswer();
  const auto scaled = [](Duration duration, double factor) {
    return std::chrono::duration_cast<Duration>(duration * factor);
  };
  NotifyChanged(replica_.OnEvents(relayed->events));
  change_log_.OnEvents(relayed->events);
  Confirm(sent + scaled(relayed->held, 1 - options_.max_clock_drift) -
          scaled(relayed->age, 1 + options_.max_clock_drift));
  Watch();
}

void StoreFollower::OnEvents(const absl::StatusOr<StoreEvents>& events,
                             TimePoint sent, Millis wait) {
  if (!events.ok()) {
    OnFailure(events.status());
    scheduler_.After(retry_, [this] { Watch(); });
    return;
  }
  OnAnswer();
  if (events->is_history_lost) {
    Log(LogLevel::kInfo, "store_history_lost",
        {{"revision", replica_.revision().number()},
         {"era", replica_.revision().era().value()}});
    return List(Freshness::kLinearizable);
  }
  // The store was restored from an older backup. A watch from a revision that
  // was assigned again misses the changes before it, so a new listing is
  // required.
  if (events->revision.era() != replica_.revision().era()) {
    return List(Freshness::kLinearizable);
  }
  // An answer without events was sent at the end of the wait. Any other answer
  // was sent at an unknown time after the request.
  const Duration waited =
      events->events.empty()
          ? std::min<Duration>(
                scheduler_.Now() - sent,
                std::chrono::duration_cast<Duration>(wait * kMinWaitShare))
          : Duration(0);
  const StoreEvents followed = WithoutIgnored(*events);
  NotifyChanged(replica_.OnEvents(followed));
  change_log_.OnEvents(followed);
  const bool was_answered_early = scheduler_.Now() - sent < wait;
  Confirm(was_answered_early ? sent : sent + waited);
  if (was_answered_early) {
    scheduler_.After(options_.batch_delay, [this] { Watch(); });
    return;
  }
  Watch();
}

StoreEvents StoreFollower::WithoutIgnored(const StoreEvents& events) const {
  StoreEvents followed{.revision = events.revision};
  std::ranges::copy_if(events.events, std::back_inserter(followed.events),
                       [this](const StoreEvent& event) {
                         return std::ranges::none_of(
                             options_.ignored_prefixes,
                             [&event](const std::string& prefix) {
                               return event.item.key.starts_with(prefix);
                             });
                       });
  return followed;
}

void StoreFollower::Confirm(TimePoint as_of) {
  confirmed_as_of_ = std::max(confirmed_as_of_, as_of);
  handlers_.on_confirmed(as_of);
}

std::optional<RelayedEvents> StoreFollower::EventsSince(Revision after) const {
  auto events = change_log_.Since(after);
  if (!events || IsBehind()) return std::nullopt;
  return RelayedEvents{.events = *std::move(events),
                       .age = scheduler_.Now() - confirmed_as_of_};
}

bool StoreFollower::IsBehind() const {
  const TimePoint now = scheduler_.Now();
  const bool is_failing =
      failing_since_ && now - *failing_since_ > options_.max_served_failure;
  return is_failing || now - confirmed_as_of_ > options_.max_served_age;
}

Millis StoreFollower::MaxRetry() const {
  const bool is_fallback =
      relay_ != nullptr && relay_->HasSources() && !relay_->IsServing();
  return is_fallback ? options_.max_fallback_retry : options_.max_retry;
}

void StoreFollower::OnAnswer() {
  retry_ = options_.initial_retry;
  if (!std::exchange(failing_since_, std::nullopt)) return;
  Log(LogLevel::kInfo, "store_answers");
}

void StoreFollower::OnFailure(const absl::Status& status) {
  retry_ = std::min(MaxRetry(), retry_ * 2);
  is_next_watch_short_ = true;
  if (failing_since_) return;
  failing_since_ = scheduler_.Now();
  Log(LogLevel::kWarning, "store_lost", {{"error", MessageOf(status)}});
}

void StoreFollower::NotifyChanged(const std::vector<std::string>& keys) {
  if (!keys.empty()) handlers_.on_changed(keys);
}

}  // namespace mangohold
