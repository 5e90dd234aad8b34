// Admission to one backend server: how many requests it has in progress, and
// which of the waiting ones goes next.
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

// Orders the waiting requests of one workspace. Between workspaces, weights
// decide, so that nobody gains by calling all of his work urgent.
enum class Priority { kHigh, kNormal, kLow, kCount };

using WorkId = Number<struct WorkIdTag>;

// A request that asks to be run.
struct Arrival {
  WorkId id;
  WorkspaceName workspace;
  int weight = 1;
  Priority priority = Priority::kNormal;
  TimePoint deadline;
};

// How a started request ended, as far as the backend server's health goes.
enum class WorkResult {
  kServed,    // the server bore it
  kRefused,   // the server was out of reach or refused; nothing has run
  kFailed,    // the server broke off or timed out
  kCancelled  // given up by the caller; says nothing about the server
};

// A waiting request that will not be run.
struct ShedRequest {
  WorkId id;
  Reason reason = Reason::kNone;
  Millis retry_after{0};
};

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
    // A waiting request that had to make room for this one.
    std::optional<ShedRequest> displaced;
  };
  // What became possible through an event.
  struct Progress {
    std::vector<WorkId> start;
    std::vector<ShedRequest> shed;
  };

  explicit Admission(Options options);

  void SetOptions(const Options& options);
  // Decides on a new request at once.
  Decision Arrive(const Arrival& arrival, TimePoint now);
  // A started request has ended; `took` is its time at the backend server.
  Progress Finish(WorkResult result, Duration service_time, TimePoint now);
  // The backend server has lost its warmth, may have lost it, or turned out to
  // have kept it.
  void BecomeCold() { cold_start_.BecomeCold(); }
  void Suspect() { cold_start_.Suspect(); }
  void ClearSuspicion() { cold_start_.ClearSuspicion(); }
  // Removes a waiting request; false if it isn't waiting.
  bool Remove(WorkId id);
  // Starts and sheds what time or a changed limit allows.
  Progress Advance(TimePoint now);
  // Sheds everything that waits, for `reason`.
  std::vector<ShedRequest> ShedAll(Reason reason);

  int limit() const { return cold_start_.limit(); }
  bool is_cold() const { return cold_start_.is_cold(); }
  int in_flight() const { return in_flight_; }
  int queued() const { return queued_; }
  // The moving mean of the time that the backend server takes.
  Duration mean_service() const { return mean_service_; }
  // The earliest deadline among the waiting requests.
  std::optional<TimePoint> next_deadline() const;

 private:
  struct Waiting {
    WorkId id;
    TimePoint deadline;
  };
  // One workspace with requests waiting.
  struct Flow {
    int weight = 1;
    double finish_tag = 0;  // virtual time at which its last start ends
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
  // Forgets a request that left its queue.
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
