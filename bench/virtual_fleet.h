// Routers, gates and backend servers in virtual time, for measuring decisions.
// One seed gives one result, on any machine.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "backend/gate.h"
#include "core/random.h"
#include "routing/attempt_policy.h"
#include "routing/retry_budget.h"
#include "routing/router.h"

namespace mangohold::bench {

// Tasks in the order of their virtual time.
class VirtualTime {
 public:
  TimePoint now() const { return now_; }
  void After(Duration delay, std::function<void()> task);
  // Runs tasks until `end`.
  void RunUntil(TimePoint end);

 private:
  struct Task {
    TimePoint at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Task& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  TimePoint now_{std::chrono::hours(1)};
  std::uint64_t order_ = 0;
  std::priority_queue<Task> tasks_;
};

// How requests reach backend servers.
enum class Strategy {
  kTwoChoices,  // the system's own: routing, admission, shedding, retries
  kRandom       // baseline: a random server, an unbounded queue in order
};

struct FleetOptions {
  Strategy strategy = Strategy::kTwoChoices;
  std::uint64_t seed = 1;
  int entries = 6;
  int servers = 12;
  int concurrency = 16;
  Duration mean_service = std::chrono::milliseconds(100);
  Duration network = std::chrono::milliseconds(1);  // one way
  // The settings' limit at a cold start; 0: the full limit, which is no ramp.
  int initial_limit = 0;
  // What a cold backend server really bears; it grows by one with each four
  // requests served. A server that gets more falls over: it drops them all and
  // is cold again. 0: servers are always warm.
  int cold_bearing = 0;
};

// What became of the requests of one workspace.
struct Tally {
  int sent = 0;
  int answered = 0;
  int in_time = 0;  // answered before the deadline
  int refused = 0;
  int attempts = 0;
  std::vector<double> latencies_ms;

  // The q-quantile of the answered requests' latencies, in ms.
  double Quantile(double q) const;
};

class VirtualFleet {
 public:
  explicit VirtualFleet(FleetOptions options);
  ~VirtualFleet();

  // Requests a second that the servers can serve together.
  double Capacity() const;
  // Poisson arrivals of one workspace from now on; the tally grows with them.
  const Tally& AddLoad(const std::string& workspace, double rate,
                       Duration deadline, Duration lasting);
  void Run(Duration time);
  // Operators take a zone ("0", "1", "2") out or bring it in. Its servers lose
  // their warmth while it is out.
  void SetZone(const std::string& zone, bool is_in);
  // Times that a server fell over.
  int falls() const { return falls_; }
  TimePoint now() const { return time_.now(); }

 private:
  struct Request;
  struct Server;
  struct Entry;
  using RequestPtr = std::shared_ptr<Request>;

  void Arrive(Tally& tally, const std::string& workspace, double rate,
              Duration deadline, TimePoint end);
  void Attempt(const RequestPtr& request, const Action& action);
  void SubmitTo(const RequestPtr& request, int server);
  void SubmitRandom(const RequestPtr& request);
  void Serve(const RequestPtr& request, int server, WorkId id);
  void StartQueued(int server);
  void Progressed(int server, const Gate::Progress& progress);
  void End(const RequestPtr& request, const Action& action);
  Duration ServiceTime();
  int Bearing(const Server& server) const;
  void FallOver(int server);
  void Retry(const RequestPtr& request, int server, Reason reason,
             bool may_have_run, Millis retry_after);

  FleetOptions options_;
  VirtualTime time_;
  Random random_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::vector<std::unique_ptr<Entry>> entries_;
  std::vector<std::unique_ptr<Tally>> tallies_;
  std::uint64_t last_work_ = 0;
  ConfigTree tree_;
  int falls_ = 0;
};

}  // namespace mangohold::bench
