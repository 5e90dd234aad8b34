// The messages by which processes exchange the configuration, its confirmation
// and the instance list. Encoded as CBOR; the fields are sent under their
// names.
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

// Requests the changes that the sender lacks. The peer may hold the request for
// `wait` until it has one.
struct SyncRequest {
  InstanceId instance;  // the sender
  // The sender may be counted towards a majority.
  bool is_qualified = false;
  // The sender has all changes up to this revision.
  Revision complete_through;
  // Digest of the sender's instance list; 0: it has none.
  std::uint64_t list_digest = 0;
  Millis wait{0};
};

struct SyncReply {
  InstanceId instance;
  Incarnation incarnation;
  // The peer may be counted towards a majority.
  bool is_qualified = false;
  // The update contains all changes that the peer has; false for a truncated
  // one.
  bool is_whole = false;
  bool is_leaving = false;
  // How long the peer held the request.
  Millis held{0};
  // Age of the confirmation of the peer's configuration at the time of the
  // reply; negative: never confirmed.
  Millis confirmed_age{-1};
  // The changes after the request's revision.
  TreeUpdate update;
  // The instance list, if its digest differs from the request's, and its age; a
  // negative age: the peer has no list.
  std::vector<Instance> instances;
  bool has_instances = false;
  std::uint64_t list_digest = 0;
  Millis list_age{-1};
};

// Messages are encoded as CBOR. Decoding fails with kInvalidArgument.
std::string EncodeSyncMessage(const SyncRequest& request);
std::string EncodeSyncMessage(const SyncReply& reply);
absl::StatusOr<SyncRequest> DecodeSyncRequest(std::string_view bytes);
absl::StatusOr<SyncReply> DecodeSyncReply(std::string_view bytes);

}  // namespace mangohold
