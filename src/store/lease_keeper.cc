#include "store/lease_keeper.h"

#include <utility>

#include "core/log.h"

namespace mangohold {

LeaseKeeper::LeaseKeeper(EventLoop& loop, Store& store, Options options)
    : loop_(loop), store_(store), options_(std::move(options)) {}

void LeaseKeeper::Start() {
  store_.AddEraListener([this] { OnNewEra(); });
  Grant();
  loop_.Every(options_.renewal_interval, [this] { Renew(); });
}

void LeaseKeeper::SetValue(const std::string& value) {
  if (std::exchange(options_.value, value) == value) return;
  if (lease_ && !is_granting_) Write(*lease_, std::nullopt);
}

// In a new era the lease and the key may be lost, or the lease number may
// belong to another process.
void LeaseKeeper::OnNewEra() {
  ++era_count_;
  lease_.reset();
  is_granting_ = false;
  Grant();
}

void LeaseKeeper::Renew() {
  if (is_released_) return;
  if (!lease_) return Grant();
  const TimePoint sent = loop_.Now();
  store_.RenewLease(*lease_, [this, sent, era = era_count_](LeaseState state) {
    if (era != era_count_) return;
    const bool is_renewed = state == LeaseState::kActive;
    if (is_renewed && options_.on_renewed) options_.on_renewed(sent);
    if (state != LeaseState::kEnded || is_released_) return;
    lease_.reset();
    Grant();
  });
}

void LeaseKeeper::Grant() {
  if (is_released_ || std::exchange(is_granting_, true)) return;
  const auto on_lease = [this,
                         era = era_count_](absl::StatusOr<LeaseId> lease) {
    if (era != era_count_) return;
    is_granting_ = false;
    if (!lease.ok() || is_released_) return;  // retried at the next renewal
    Write(*lease, std::nullopt);
  };
  store_.GrantLease(options_.ttl, on_lease);
}

// The first attempt expects the key to be absent. A conflict returns the
// revision of the existing key, which the second attempt replaces.
void LeaseKeeper::Write(LeaseId lease, std::optional<Revision> expected) {
  is_granting_ = true;
  const bool is_retry = expected.has_value();
  store_.Commit(
      {.preconditions = {{options_.key, expected.value_or(Revision(0))}},
       .writes = {{options_.key, options_.value, lease}}},
      [this, lease, is_retry,
       era = era_count_](const TransactionResult& result) {
        if (era != era_count_) return;
        is_granting_ = false;
        if (is_released_) return store_.RevokeLease(lease);
        if (result.outcome == TransactionOutcome::kApplied) {
          lease_ = lease;
          Log(LogLevel::kInfo, "member_listed",
              {{"key", options_.key}, {"lease", lease.value()}});
        } else if (result.outcome == TransactionOutcome::kConflict &&
                   !is_retry && !result.items.empty()) {
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
  if (lease_) store_.RevokeLease(*lease_);
}

}  // namespace mangohold
