// Following the store through another entry that follows it.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "core/clock.h"
#include "store/store.h"

namespace mangohold {

// What a follower tells of the store. Ages travel, never clock readings.
struct RelayedEvents {
  StoreEvents events;
  // How long ago, at the answer, the teller knew all changes until then.
  Duration age{0};
  // How long the question was held before the answer.
  Duration held{0};
};

std::string EncodeRelayed(const RelayedEvents& relayed);
// An error for bytes that are no such answer.
absl::StatusOr<RelayedEvents> DecodeRelayed(std::string_view bytes);

class ChangeRelay {
 public:
  using OnEvents = std::function<void(absl::StatusOr<RelayedEvents>)>;

  virtual ~ChangeRelay() = default;
  // Asks another entry for the changes after `after`. False if none is to be
  // asked, so that the store is.
  virtual bool Watch(Revision after, OnEvents on_events) = 0;
  // True while another entry is there to be asked, if it can tell.
  virtual bool HasSources() const = 0;
  // True while others may follow the store through this entry.
  virtual bool IsServing() const = 0;
};

}  // namespace mangohold
