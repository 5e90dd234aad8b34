// What the requests of one entry share. Belongs to the traffic thread.
#pragma once

#include <map>
#include <set>
#include <string>
#include <unordered_map>

#include "config/tree.h"
#include "core/counters.h"
#include "core/ids.h"
#include "net/event_loop.h"
#include "peer/peer_link.h"
#include "routing/retry_budget.h"
#include "routing/router.h"

namespace mangohold {

class RequestRun;

struct EntryContext {
  // A retry budget belongs to one workspace at one service.
  struct BudgetKey {
    WorkspaceName workspace;
    ServiceName service;
    auto operator<=>(const BudgetKey&) const = default;
  };

  EventLoop& loop;
  Counters& counters;
  Router router;
  ConfigurationPtr configuration;
  std::unordered_map<InstanceId, PeerLinkPtr> links;
  std::map<BudgetKey, RetryBudget> budgets;
  std::map<WorkspaceName, int> in_flight;  // requests of each workspace here
  int requests = 0;                        // requests in progress here
  std::set<RequestRun*> runs;              // the same; each is alive
  int live_entries = 1;                    // entries in the platform's list

  // The link to the backend server's agent, or null.
  PeerLinkPtr LinkTo(const InstanceId& backend) const;
};

}  // namespace mangohold
