// A fake store in simulated time. Each client can be rejected or left
// unanswered on its own.
#pragma once

#include <algorithm>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <ranges>
#include <string>
#include <utility>
#include <vector>

#include "store/store.h"
#include "virtual_scheduler.h"

namespace mangohold::testing {

// How the store responds to one client.
enum class Treatment { kServed, kRefused, kSilent, kCount };

// The contents of the store, shared by all clients.
class VirtualStore {
 public:
  explicit VirtualStore(VirtualScheduler& scheduler) : scheduler_(scheduler) {}

  void Put(const std::string& key, const std::string& value) {
    Append({.item = {.key = key,
                     .value = value,
                     .revision = at_.Next(),
                     .created = CreatedOf(key)}});
  }
  void Remove(const std::string& key) {
    Append({.item = {.key = key, .revision = at_.Next()}, .is_deleted = true});
  }
  Revision at() const { return at_; }
  std::vector<StoreItem> Items() const {
    std::map<std::string, StoreItem> items;
    for (const StoreEvent& event : history_) {
      if (event.is_deleted) {
        items.erase(event.item.key);
      } else {
        items[event.item.key] = event.item;
      }
    }
    std::vector<StoreItem> out;
    std::ranges::copy(items | std::views::values, std::back_inserter(out));
    return out;
  }
  std::vector<StoreEvent> EventsAfter(Revision after) const {
    std::vector<StoreEvent> events;
    std::ranges::copy_if(
        history_, std::back_inserter(events),
        [after](const auto& event) { return event.item.revision > after; });
    return events;
  }
  // Calls `on_change` once, at the next change.
  void OnNextChange(std::function<void()> on_change) {
    waiting_.push_back(std::move(on_change));
  }
  VirtualScheduler& scheduler() { return scheduler_; }

 private:
  Revision CreatedOf(const std::string& key) const {
    for (const StoreItem& item : Items()) {
      if (item.key == key) return item.created;
    }
    return at_.Next();
  }
  void Append(const StoreEvent& event) {
    at_ = at_.Next();
    history_.push_back(event);
    for (const auto& on_change : std::exchange(waiting_, {})) on_change();
  }

  VirtualScheduler& scheduler_;
  Revision at_{1};
  std::vector<StoreEvent> history_;
  std::vector<std::function<void()>> waiting_;
};

// The store as one client sees it. Supports listing and watching only.
class VirtualStoreClient : public Store {
 public:
  explicit VirtualStoreClient(VirtualStore& store) : store_(store) {}

  // Watches in progress fail if the new treatment is kRefused, and get no
  // answer if it is kSilent.
  void SetTreatment(Treatment treatment) {
    treatment_ = treatment;
    if (treatment == Treatment::kServed) return;
    for (const auto& watch : std::exchange(watches_, {})) {
      const bool is_cut = treatment == Treatment::kRefused;
      if (is_cut) Fail(watch, Millis(0));
    }
  }
  Treatment treatment() const { return treatment_; }
  int call_count() const { return call_count_; }
  // Fails the watches in progress; later calls are served as before.
  void CutWatches() {
    for (const auto& watch : std::exchange(watches_, {})) Fail(watch, kDelay);
  }

  void List(const std::string& /*prefix*/, const std::string& /*after*/,
            Freshness /*freshness*/,
            Callback<absl::StatusOr<StorePage>> on_page) override {
    ++call_count_;
    if (treatment_ != Treatment::kServed) {
      const Millis delay = treatment_ == Treatment::kSilent ? kTimeout : kDelay;
      return After(delay, [on_page] { on_page(Refusal()); });
    }
    After(kDelay, [this, on_page] {
      on_page(StorePage{.items = store_.Items(), .revision = store_.at()});
    });
  }
  void Watch(const std::string& /*prefix*/, Revision after, Millis wait,
             Callback<absl::StatusOr<StoreEvents>> on_events) override {
    ++call_count_;
    const auto call = std::make_shared<WatchCall>(
        WatchCall{.after = after, .on_events = std::move(on_events)});
    if (treatment_ == Treatment::kRefused) return Fail(call, kDelay);
    // The client times out if no answer arrives.
    After(wait + kTimeout, [this, call] { Fail(call, Millis(0)); });
    if (treatment_ == Treatment::kSilent) return;
    watches_.push_back(call);
    After(wait, [this, call] { Answer(call, true); });
    AnswerAtChange(call);
  }
  void Commit(const StoreTransaction& /*change*/,
              Callback<TransactionResult> on_result) override {
    on_result({.outcome = TransactionOutcome::kNotApplied});
  }
  void GrantLease(Millis /*ttl*/,
                  Callback<absl::StatusOr<LeaseId>> on_lease) override {
    on_lease(Refusal());
  }
  void RenewLease(LeaseId /*lease*/, Callback<LeaseState> on_fate) override {
    on_fate(LeaseState::kUnknown);
  }
  void RevokeLease(LeaseId /*lease*/) override {}

 private:
  static constexpr Millis kDelay{4};
  static constexpr Millis kTimeout{800};

  struct WatchCall {
    Revision after;
    Callback<absl::StatusOr<StoreEvents>> on_events;
    bool is_over = false;
  };
  using WatchPtr = std::shared_ptr<WatchCall>;

  static absl::Status Refusal() { return absl::UnavailableError("refused"); }
  void After(Duration delay, std::function<void()> task) {
    store_.scheduler().After(delay, std::move(task));
  }
  void Fail(const WatchPtr& call, Millis delay) {
    After(delay, [call] {
      if (!std::exchange(call->is_over, true)) call->on_events(Refusal());
    });
  }
  void AnswerAtChange(const WatchPtr& call) {
    Answer(call, false);
    if (call->is_over) return;
    store_.OnNextChange([this, call] { AnswerAtChange(call); });
  }
  void Answer(const WatchPtr& call, bool is_due) {
    const bool is_waiting = std::ranges::find(watches_, call) != watches_.end();
    if (call->is_over || !is_waiting) return;
    auto events = store_.EventsAfter(call->after);
    if (events.empty() && !is_due) return;
    call->is_over = true;
    std::erase(watches_, call);
    After(kDelay, [call, answer = StoreEvents{.events = std::move(events),
                                              .revision = store_.at()}] {
      call->on_events(answer);
    });
  }

  VirtualStore& store_;
  Treatment treatment_ = Treatment::kServed;
  int call_count_ = 0;
  std::vector<WatchPtr> watches_;
};

}  // namespace mangohold::testing
