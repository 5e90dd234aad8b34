// Counters and latency summaries of one process, in Prometheus text form.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "core/outcome.h"

namespace mangohold {

// Events that are counted besides refusals, retries and outcomes.
enum class Event {
  kRequests,
  kTicketsMinted,
  kTicketsVoided,
  kLateAnswersDropped,
  kColdStarts,
  kConfigurationApplied,
  kConfigurationRejected,
  kPlatformCalls,
  kPlatformFailures,
  kPeerConnects,
  kPeerDisconnects,
  kControlBytes,
  kBackendReports,
  kBackendReportsLost,
  kBackendConnects,
  kForeignAnswers,
  // Statuses of backend servers that would have promised a caller what their
  // server doesn't say.
  kStatusesWithheld,
  kRefusalsBelieved,        // answers that say that the request hasn't run
  kExchangesWithoutAnswer,  // given up, as what came was no answer
  kAnswersTooLarge,         // to calls of this process itself
  kStreamsResumed,
  kLogLinesDropped,
  kOrders,
  kMapSwitches,
  kDatagramsDropped,
  kSentToLeaving,
  kRetriesDenied,  // by the budget
  kBackendEntriesIgnored,
  kLimitsUnreadable,  // request limits that backend servers stated
  kAcceptsFailed,
  kConnectionsUnfinished,  // callers', with something in progress
  kPromptCacheHits,     // requests to a server that should hold their beginning
  kPromptTokensCached,  // prompt tokens of these that it should hold
  kReportsUnconfirmed,  // of the own engine, no two in a row alike
  kExpertListsRejected,  // of the own engine, that can't be right
  kCount
};

// Values that rise and fall.
enum class Gauge {
  kInFlight,
  kQueued,
  kAdmissionLimit,
  kBackendsKnown,
  kBackendsOpen,
  kKeptAnswerBytes,
  kPromptPartsBlocked,
  kRequestsBlocked,
  kBackendsLimited,  // by a request limit that they state
  kRetryTokens,      // retries that may be made at once, of all services
  kHeldBytes,        // held in memory for requests and connections
  kCallerConnections,
  kPrefixGainPermille,  // learnt part of the predicted saving that comes true
  kMemoryInForceMb,     // 0: no limit
  kCount
};

// By which way this process first knew that a backend server is leaving.
enum class DepartureWay {
  kStore,    // it follows the store itself
  kWatcher,  // another entry told
  kAnswer,   // an answer of the backend server's own
  kCount
};
std::string_view Name(DepartureWay way);

// Times of which quantiles are kept.
enum class Timing {
  kRequest,    // from a request's arrival to its last byte
  kDeparture,  // the longest that a departure can have been unknown here
  kCount
};

// The metrics of one process. Counters may be raised from any thread;
// latencies are recorded under a lock.
class Counters {
 public:
  Counters();
  ~Counters();
  Counters(const Counters&) = delete;
  Counters& operator=(const Counters&) = delete;

  void Count(Event event) { ++events_[static_cast<std::size_t>(event)]; }
  void Count(Event event, std::uint64_t amount) {
    events_[static_cast<std::size_t>(event)] += amount;
  }
  void CountOutcome(Outcome outcome) {
    ++outcomes_[static_cast<std::size_t>(outcome)];
  }
  void CountRefusal(Reason reason) {
    ++refusals_[static_cast<std::size_t>(reason)];
  }
  void CountRetry(Reason reason) {
    ++retries_[static_cast<std::size_t>(reason)];
  }
  void Set(Gauge gauge, std::int64_t value) {
    gauges_[static_cast<std::size_t>(gauge)] = value;
  }
  void CountDeparture(DepartureWay way) {
    ++departures_[static_cast<std::size_t>(way)];
  }
  void Record(Timing timing, Duration duration);

  std::uint64_t Value(Event event) const {
    return events_[static_cast<std::size_t>(event)];
  }
  std::uint64_t Refusals(Reason reason) const {
    return refusals_[static_cast<std::size_t>(reason)];
  }
  // All metrics in the Prometheus text exposition format.
  std::string PrometheusText() const;

 private:
  struct Timings;
  template <typename Enum, typename Value>
  using Row =
      std::array<std::atomic<Value>, static_cast<std::size_t>(Enum::kCount)>;

  Row<Event, std::uint64_t> events_{};
  Row<Outcome, std::uint64_t> outcomes_{};
  Row<Reason, std::uint64_t> refusals_{};
  Row<Reason, std::uint64_t> retries_{};
  Row<DepartureWay, std::uint64_t> departures_{};
  Row<Gauge, std::int64_t> gauges_{};
  std::unique_ptr<Timings> timings_;
};

}  // namespace mangohold
