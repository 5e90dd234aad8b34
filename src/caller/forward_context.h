// What the requests in progress at one entry share on the direct way.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "backend/backend_pool.h"
#include "caller/dialect.h"
#include "config/fleet_view.h"
#include "core/counters.h"
#include "net/memory_budget.h"
#include "routing/dispatcher.h"
#include "routing/poison_detector.h"
#include "routing/shared_retry_budget.h"

namespace mangohold {

// Belongs to the traffic thread.
struct ForwardContext {
  Counters& counters;
  const Dialect& dialect;
  MemoryBudget& memory;
  Dispatcher dispatcher;
  BackendPool pool;
  PoisonDetector poison;
  SharedRetryBudget::Options budget;
  FleetViewPtr view;
  std::map<ServiceName, SharedRetryBudget> budgets;
  // Every change of the deployment acknowledged before is known here, by
  // `BootNow`.
  TimePoint confirmed_as_of;
  // The same for every change of all that the view holds.
  TimePoint view_as_of;
  // Requests with a key are refused while the confirmation is older.
  Duration confirmation_limit;
  // Asks for the dispatcher's decisions soon.
  std::function<void()> request_decisions;
  // The connection of a request broke: asks whether the backend server is gone.
  std::function<void(const BackendRecord&)> check_backend;
  AttemptNumber last_attempt;
  // Number of entries that may be sending to backend servers; absent: unknown.
  std::optional<int> entries;

  bool IsConfirmed(TimePoint now) const {
    return now - confirmed_as_of <= confirmation_limit;
  }
  SharedRetryBudget& BudgetOf(const ServiceName& service, TimePoint now) {
    const auto it = budgets.try_emplace(service, budget).first;
    it->second.SetEntries(entries, now);
    return it->second;
  }
};

}  // namespace mangohold
