// Follows the store through another entry that follows it.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "core/clock.h"
#include "store/store.h"

namespace mangohold {

// Store changes as one entry passes them to another. Times are sent as ages,
// never as clock readings, because the clocks of two machines differ.
struct RelayedEvents {
  // `is_history_lost` isn't sent: an entry that lacks the changes refuses to
  // answer.
  StoreEvents events;
  // How long before the answer the sender last knew every change of the store.
  Duration age{0};
  // How long the sender held the request before it answered.
  Duration held{0};
};

std::string EncodeRelayed(const RelayedEvents& relayed);
// Returns an error if `bytes` isn't a valid encoding.
absl::StatusOr<RelayedEvents> DecodeRelayed(std::string_view bytes);

class ChangeRelay {
 public:
  using OnEvents = std::function<void(absl::StatusOr<RelayedEvents>)>;

  virtual ~ChangeRelay() = default;
  // Requests the changes after `after` from another entry. Returns false,
  // without calling `on_events`, if the caller has to ask the store itself.
  virtual bool Watch(Revision after, OnEvents on_events) = 0;
  // True if there are other entries to ask, whether or not they respond.
  virtual bool HasSources() const = 0;
  // True if other entries may follow the store through this one.
  virtual bool IsServing() const = 0;
};

}  // namespace mangohold
