// A request on the direct way whose route and workspace are known, and what
// follows from these: how urgent it is, until when its answer is useful, and
// how long that is expected to be. Does no I/O and reads no clock.
#pragma once

#include <string_view>
#include <vector>

#include "caller/caller_connection.h"
#include "caller/dialect.h"
#include "config/route_table.h"
#include "core/clock.h"
#include "core/ids.h"

namespace mangohold {

struct ForwardJob {
  CallerMessage message;
  RequestFields fields;
  RouteTablePtr routes;  // keeps `route` and `workspace` alive
  const Route* route = nullptr;
  const Workspace* workspace = nullptr;  // null without a key
  ServiceName service;
  std::vector<ZoneName> zones;  // where it may run; empty: everywhere
};

// What the request is, whoever's attempt carries it: the same path, query,
// workspace and body. Its id and deadline are new each time.
RequestDigest DigestOf(const ForwardJob& job, std::string_view body);
// 0 is the most urgent. A workspace's priority goes before its route's.
int PriorityOf(const ForwardJob& job);
// When the caller stops waiting, or the route's timeout is over.
TimePoint DeadlineOf(const ForwardJob& job);
// The time after which the first byte would find the caller gone, or leave no
// time for the answer.
TimePoint GiveUpTimeOf(const ForwardJob& job, TimePoint deadline);
// The events that a stream is expected to have, from the caller's hint or from
// what is usual for the service; 0: not a stream, or unknown.
double ExpectedEventsOf(const ForwardJob& job);

}  // namespace mangohold
