// The entries and agents of this system. Each writes its own member record into
// the store, under its own lease.
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
  Endpoint caller;   // address for callers; entries only
  Endpoint peer;     // address for datagrams from peers
  Endpoint backend;  // its backend server; agents only
  GroupName group;   // group of that backend server; agents only
  Endpoint admin;    // serves metrics, and the deployment to peers
  // Current service time of that backend server over its usual one; agents
  // only.
  double slowdown = 1;
  // Processor share of its machine, in cores; 0: unknown. Entries only.
  double cpu_share = 0;
};

// Converts a member to its value in the store and back. DecodeMember() returns
// nothing if `value` isn't a valid member.
std::string EncodeMember(const Member& member);
std::optional<Member> DecodeMember(const std::string& value);

}  // namespace mangohold
