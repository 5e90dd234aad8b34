// The processes of this system as they list themselves in the store, each under
// a lease of its own.
#pragma once

#include <optional>
#include <string>

#include "core/ids.h"

namespace mangohold {

enum class MemberRole { kEntry, kAgent, kCount };

struct Member {
  InstanceId id;
  MemberRole role = MemberRole::kEntry;
  ZoneName zone;
  Endpoint caller;   // where callers connect, of entries
  Endpoint peer;     // where datagrams of peers arrive
  Endpoint backend;  // the backend server beside it, of agents
  GroupName group;   // the group in which that is a rank, of agents
  Endpoint admin;    // metrics, and the deployment for peers
  // How many times as long as usual that backend server takes, of agents.
  double pace = 1;
};

// The value under which a member is listed, and back; nothing for a text that
// isn't one.
std::string EncodeMember(const Member& member);
std::optional<Member> DecodeMember(const std::string& value);

}  // namespace mangohold
