// Interface to the platform's metadata store: keys with revisions, watches,
// transactions and leases. The client of the store's protocol implements it,
// and so do fakes in tests.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/statusor.h"
#include "core/clock.h"
#include "core/ids.h"

namespace mangohold {

// Identifies a lease; 0: no lease.
using LeaseId = Number<struct LeaseIdTag>;

struct StoreItem {
  std::string key;
  std::string value;
  Revision revision;  // of the last change
  Revision created;   // revision that created the key
  LeaseId lease;
};

// One page of a listing, in the order of keys.
struct StorePage {
  std::vector<StoreItem> items;
  bool has_more = false;
  Revision revision;  // of the store at the time of the answer
};

struct StoreEvent {
  StoreItem item;  // if deleted: key and revision only
  bool is_deleted = false;
};

struct StoreEvents {
  std::vector<StoreEvent> events;
  Revision revision;  // start of the next watch
  // Changes were compacted: a new listing is required.
  bool is_history_lost = false;
};

// A set of writes and removals that is applied atomically if all preconditions
// hold.
struct StoreTransaction {
  struct Precondition {
    std::string key;
    Revision revision;  // 0: the key must be absent
  };
  struct Write {
    std::string key;
    std::string value;
    LeaseId lease;
  };
  std::vector<Precondition> preconditions;
  std::vector<Write> writes;
  std::vector<std::string> removals;
};

// The outcome of a transaction.
enum class TransactionOutcome {
  kApplied,     // applied at `revision`
  kConflict,    // a precondition failed; not applied
  kNoLease,     // the lease has ended; not applied
  kNotApplied,  // rejected by the store, or never sent
  kUnknown      // no answer: may have been applied, or may be applied later
};

struct TransactionResult {
  TransactionOutcome outcome = TransactionOutcome::kUnknown;
  Revision revision;
  // For conflicts: the current items of the keys in the preconditions; absent
  // keys are left out.
  std::vector<StoreItem> items;
};

enum class LeaseState { kActive, kEnded, kUnknown };

enum class Freshness {
  kLinearizable,
  kMayBeStale  // some seconds old; much cheaper
};

// Every call has a timeout. Callbacks run on the event loop of the client. An
// answer from an earlier era than the current one is dropped, and the callback
// of its call never runs.
class Store {
 public:
  template <typename Value>
  using Callback = std::function<void(Value)>;

  virtual ~Store() = default;
  // Reads one page of the items whose keys begin with `prefix` and are greater
  // than `after`.
  virtual void List(const std::string& prefix, const std::string& after,
                    Freshness freshness,
                    Callback<absl::StatusOr<StorePage>> on_page) = 0;
  // Returns the changes after the revision `after`; waits up to `wait` for the
  // first one.
  virtual void Watch(const std::string& prefix, Revision after, Millis wait,
                     Callback<absl::StatusOr<StoreEvents>> on_events) = 0;
  virtual void Commit(const StoreTransaction& transaction,
                      Callback<TransactionResult> on_result) = 0;
  virtual void GrantLease(Millis ttl,
                          Callback<absl::StatusOr<LeaseId>> on_lease) = 0;
  virtual void RenewLease(LeaseId lease, Callback<LeaseState> on_state) = 0;
  // Ends the lease, which deletes its keys. Doesn't wait for an answer.
  virtual void RevokeLease(LeaseId lease) = 0;

  // The era of the latest answer; 0 before the first one.
  StoreEra era() const { return era_.value_or(StoreEra()); }
  // Registers `listener`, which is called at the first answer of each later
  // era, before the callback of that answer. In a new era, writes and leases of
  // this process may be lost, and other processes may hold leases with the same
  // numbers.
  void AddEraListener(std::function<void()> listener) {
    era_listeners_.push_back(std::move(listener));
  }

 protected:
  // Records the era of an answer. Returns false if the answer belongs to an
  // earlier era and has to be dropped.
  bool AcceptEra(StoreEra era);
  // Returns false if a precondition names a revision of an earlier era, which
  // no longer identifies anything. Such a transaction must not be sent.
  bool IsOfCurrentEra(const StoreTransaction& transaction) const;

 private:
  std::optional<StoreEra> era_;  // absent: no answer so far
  std::vector<std::function<void()>> era_listeners_;
};

}  // namespace mangohold
