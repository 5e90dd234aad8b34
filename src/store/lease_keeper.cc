#include "store/lease_keeper.h"

#include <utility>

#include "core/log.h"

namespace mangohold {

LeaseKeeper::LeaseKeeper(EventLoop& loop, Store& store, Options options)
    : loop_(loop), store_(store), options_(std::move(options)) {}

void LeaseKeeper::Start() {
  store_.AddEraListener([this] { OnEra(); });
  Grant();
  loop_.Every(options_.renewal, [this] { Renew(); });
}

void LeaseKeeper::SetValue(const std::string& value) {
  if (std::exchange(options_.value, value) == value) return;
  if (lease_ && !is_granting_) Write(*lease_, std::nullopt);
}

// The lease and the key may be gone, or be another process's.
void LeaseKeeper::OnEra() {
  ++eras_;
  lease_.reset();
  is_granting_ = false;
  Grant();
}

void LeaseKeeper::Renew() {
  if (is_released_) return;
  if (!lease_) return Grant();
  const TimePoint sent = loop_.Now();
  store_.KeepLease(*lease_, [this, sent, era = eras_](LeaseFate fate) {
    if (era != eras_) return;
    const bool is_renewed = fate == LeaseFate::kHeld;
    if (is_renewed && options_.on_renewed) options_.on_renewed(sent);
    if (fate != LeaseFate::kEnded || is_released_) return;
    lease_.reset();
    Grant();
  });
}

void LeaseKeeper::Grant() {
  if (is_released_ || std::exchange(is_granting_, true)) return;
  const auto on_lease = [this, era = eras_](absl::StatusOr<LeaseId> lease) {
    if (era != eras_) return;
    is_granting_ = false;
    if (!lease.ok() || is_released_) return;  // tried again at the next renewal
    Write(*lease, std::nullopt);
  };
  store_.GrantLease(options_.ttl, on_lease);
}

// Written first as if the key were absent; a conflict tells the revision to
// replace.
void LeaseKeeper::Write(LeaseId lease, std::optional<Revision> expected) {
  is_granting_ = true;
  const bool is_second_try = expected.has_value();
  store_.Change(
      {.expectations = {{options_.key, expected.value_or(Revision(0))}},
       .writes = {{options_.key, options_.value, lease}}},
      [this, lease, is_second_try, era = eras_](const ChangeResult& result) {
        if (era != eras_) return;
        is_granting_ = false;
        if (is_released_) return store_.EndLease(lease);
        if (result.fate == ChangeFate::kDone) {
          lease_ = lease;
          Log(LogLevel::kInfo, "member_listed",
              {{"key", options_.key}, {"lease", lease.value()}});
        } else if (result.fate == ChangeFate::kConflict && !is_second_try &&
                   !result.items.empty()) {
          Write(lease, result.items.front().revision);
        }
      });
}

void LeaseKeeper::OnMissing() {
  if (is_released_ || is_granting_) return;
  lease_.reset();
  Grant();
}

void LeaseKeeper::Release() {
  is_released_ = true;
  if (lease_) store_.EndLease(*lease_);
}

}  // namespace mangohold
