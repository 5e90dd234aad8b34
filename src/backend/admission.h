// Admission control for one backend server: bounds its requests in progress
// and orders the queue of waiting requests by weighted fair queueing.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "backend/cold_start.h"
#include "config/documents.h"
#include "core/clock.h"
#include "core/ids.h"
#include "core/outcome.h"

namespace mangohold {

// Orders the waiting requests of one workspace. Across workspaces only weights
// count, so a workspace gains nothing by marking every request as urgent.
// The numbers are sent in messages, so the order must stay.
enum class Priority { kHigh, kNormal, kLow, kCount };

using WorkId = Number<struct WorkIdTag>;

// A request that arrives for admission.
struct Arrival {
  WorkId id;
  WorkspaceName workspace;
  int weight = 1;
  Priority priority = Priority::kNormal;
  TimePoint deadline;
};

// How a started request ended, as evidence of the backend server's health.
enum class WorkResult {
  kServed,    // the server completed it
  kRefused,   // the server was unreachable or refused it; nothing has run
  kFailed,    // the server failed, closed the connection or timed out
  kCancelled  // cancelled by the caller; no evidence about the server
};

// A waiting request that was removed from the queue and will not be run.
struct ShedRequest {
  WorkId id;
  Reason reason = Reason::kNone;
  Millis retry_after{0};
};

// Limits concurrency by the cold-start limit, queues what exceeds it, and sheds
// requests that can't meet their deadlines. Not thread-safe.
class Admission {
 public:
  struct Options {
    int concurrency_limit = 16;
    int queue_limit = 32;
    ColdStart cold_start;
  };
  enum class Verdict { kRun, kQueued, kRefused };
  struct Decision {
    Verdict verdict = Verdict::kRefused;
    Reason reason = Reason::kNone;  // for kRefused
    Millis retry_after{0};          // for kRefused
    // A waiting request that was shed to make room for this one.
    std::optional<ShedRequest> displaced;
  };
  // The queued requests that an event started or shed.
  struct Progress {
    std::vector<WorkId> start;
    std::vector<ShedRequest> shed;
  };

  explicit Admission(Options options);

  void SetOptions(const Options& options);
  // Runs, queues or refuses a new request.
  Decision Arrive(const Arrival& arrival, TimePoint now);
  // Records that a started request ended after `service_time` at the backend
  // server.
  Progress Finish(WorkResult result, Duration service_time, TimePoint now);
  // The backend server is cold, may be cold, or is confirmed not to have
  // restarted. See ColdStartLimit.
  void BecomeCold() { cold_start_.BecomeCold(); }
  void Suspect() { cold_start_.Suspect(); }
  void ClearSuspicion() { cold_start_.ClearSuspicion(); }
  // Removes a waiting request; false if it isn't waiting.
  bool Remove(WorkId id);
  // Sheds requests that can't meet their deadline any more and starts what the
  // limit allows. To be called as time passes and after a change of the limit.
  Progress Advance(TimePoint now);
  // Sheds all waiting requests with `reason`.
  std::vector<ShedRequest> ShedAll(Reason reason);

  int limit() const { return cold_start_.limit(); }
  bool is_cold() const { return cold_start_.is_cold(); }
  int in_flight() const { return in_flight_; }
  int queued() const { return queued_; }
  // The exponential moving average of the backend server's service time; 0
  // before the first completed request.
  Duration mean_service() const { return mean_service_; }
  // The earliest deadline among the waiting requests; nothing if none waits.
  std::optional<TimePoint> next_deadline() const;

 private:
  struct Waiting {
    WorkId id;
    TimePoint deadline;
  };
  // The waiting requests of one workspace.
  struct Flow {
    int weight = 1;
    double finish_tag = 0;  // virtual finish time of its last started request
    int queued = 0;
    std::array<std::deque<Waiting>, static_cast<int>(Priority::kCount)> queues;
  };
  using Flows = std::map<WorkspaceName, Flow>;
  struct DeadlineEntry {
    TimePoint deadline;
    WorkId id;
    auto operator<=>(const DeadlineEntry&) const = default;
  };

  Duration ExpectedWait(const Arrival& arrival) const;
  std::optional<ShedRequest> Displace(const Arrival& arrival);
  ShedRequest TakeNewest(Flows::iterator flow, Reason reason);
  Waiting TakeNext();
  bool TryStart(const Waiting& waiting, TimePoint now, Progress& progress);
  // Updates counters and tags after a request was taken out of its queue.
  void OnDequeued(Flows::iterator flow, const Waiting& waiting);
  Millis RetryAfter() const;

  Options options_;
  ColdStartLimit cold_start_;
  int in_flight_ = 0;
  int queued_ = 0;
  double virtual_time_ = 0;
  Flows flows_;
  std::map<WorkspaceName, double> finish_tags_;
  std::set<DeadlineEntry> deadlines_;
  Duration mean_service_{0};
};

}  // namespace mangohold
