// The platform's metadata store as the product sees it: keys with revisions,
// watches, conditional changes and leases. The client that speaks the store's
// protocol implements it; tests bring their own.
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

// 0 stands for no lease.
using LeaseId = Number<struct LeaseIdTag>;

struct StoreItem {
  std::string key;
  std::string value;
  Revision revision;  // of its last change
  Revision created;   // of its creation
  LeaseId lease;
};

// One page of a listing, in the order of keys.
struct StorePage {
  std::vector<StoreItem> items;
  bool has_more = false;
  Revision revision;  // the store's revision when it answered
};

struct StoreEvent {
  StoreItem item;  // a deleted one has key and revision only
  bool is_deleted = false;
};

struct StoreEvents {
  std::vector<StoreEvent> events;
  Revision revision;             // watch on from here
  bool is_history_lost = false;  // list again: changes were forgotten
};

// A change that is made as a whole if each expectation holds.
struct StoreTransaction {
  struct Precondition {
    std::string key;
    Revision revision;  // 0: the key is absent
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

// The fate of a change.
enum class TransactionOutcome {
  kApplied,     // made; `revision` is its own
  kConflict,    // an expectation didn't hold: nothing was done
  kNoLease,     // the lease has ended: nothing was done
  kNotApplied,  // the store refused it, or it never left: nothing was done
  kUnknown      // no answer: it may have been made, or may be made later
};

struct TransactionResult {
  TransactionOutcome outcome = TransactionOutcome::kUnknown;
  Revision revision;
  // For conflicts: the expected keys as they stand; absent ones are left out.
  std::vector<StoreItem> items;
};

enum class LeaseState { kActive, kEnded, kUnknown };

enum class Freshness {
  kLinearizable,
  kMayBeStale  // by some seconds; much cheaper
};

// Each call has a time-out. Callbacks run on the client's event loop. Answers
// of an era before the present one are dropped: their calls get none.
class Store {
 public:
  template <typename Value>
  using Callback = std::function<void(Value)>;

  virtual ~Store() = default;
  // The items whose keys begin with `prefix`, after the key `after`.
  virtual void List(const std::string& prefix, const std::string& after,
                    Freshness freshness,
                    Callback<absl::StatusOr<StorePage>> on_page) = 0;
  // Changes after the revision `after`; waits up to `wait` for the first.
  virtual void Watch(const std::string& prefix, Revision after, Millis wait,
                     Callback<absl::StatusOr<StoreEvents>> on_events) = 0;
  virtual void Commit(const StoreTransaction& transaction,
                      Callback<TransactionResult> on_result) = 0;
  virtual void GrantLease(Millis ttl,
                          Callback<absl::StatusOr<LeaseId>> on_lease) = 0;
  virtual void RenewLease(LeaseId lease, Callback<LeaseState> on_state) = 0;
  // Ends the lease with its keys. The answer is not waited for.
  virtual void RevokeLease(LeaseId lease) = 0;

  // The era of the last answer.
  StoreEra era() const { return era_.value_or(StoreEra()); }
  // `listener` is called at the first answer of each later era, before that
  // answer is given. What this process wrote or holds may be gone, and others
  // may hold leases under the same numbers.
  void AddEraListener(std::function<void()> listener) {
    era_listeners_.push_back(std::move(listener));
  }

 protected:
  // Takes the era of an answer. False if the answer is to be dropped.
  bool AcceptEra(StoreEra era);
  // False for a change that expects a revision of another era, which names
  // nothing any more: it isn't to be sent.
  bool IsOfCurrentEra(const StoreTransaction& transaction) const;

 private:
  std::optional<StoreEra> era_;  // absent: nothing was answered yet
  std::vector<std::function<void()>> era_listeners_;
};

}  // namespace mangohold
