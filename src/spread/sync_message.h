// The messages by which settings, their confirmation and the instance list
// spread between processes.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "config/tree.h"
#include "core/clock.h"
#include "core/ids.h"
#include "platform/instance.h"

namespace mangohold {

inline constexpr std::string_view kSyncPath = "/sync";

// A process asks a peer for what it lacks. The peer may hold the request for
// `wait` until there is something new.
struct SyncRequest {
  InstanceId instance;
  bool is_qualified = false;
  Revision complete_through;
  std::uint64_t list_digest = 0;
  Millis wait{0};
};

struct SyncReply {
  InstanceId instance;
  Incarnation incarnation;
  // The peer may be counted towards a majority.
  bool is_qualified = false;
  // The update holds all that the peer knows; a long one comes in parts.
  bool is_whole = false;
  bool is_leaving = false;
  // How long the peer held the request.
  Millis held{0};
  // The peer's settings were confirmed this long before the reply; negative:
  // never.
  Millis confirmed_age{-1};
  // What changed after the request's revision.
  TreeUpdate update;
  // The instance list, if its digest differs from the request's, and its age;
  // a negative age: the peer has none.
  std::vector<Instance> instances;
  bool has_instances = false;
  std::uint64_t list_digest = 0;
  Millis list_age{-1};
};

std::string EncodeSyncMessage(const SyncRequest& request);
std::string EncodeSyncMessage(const SyncReply& reply);
absl::StatusOr<SyncRequest> DecodeSyncRequest(std::string_view bytes);
absl::StatusOr<SyncReply> DecodeSyncReply(std::string_view bytes);

}  // namespace mangohold
