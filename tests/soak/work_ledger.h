// What callers and backend servers of a soak have recorded of pieces of work
// that must run once, and what it breaks.
#pragma once

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "soak/kept_caller.h"

namespace mangohold::testing {

// One request: an attempt at a piece of work.
struct WorkAttempt {
  std::string id;
  std::string piece;
  CallEnd end = CallEnd::kNotConnected;
  int status = 0;  // of its answer's head
  bool is_own_answer = true;
};

// Statuses that promise that a request hasn't run and never will.
bool IsPromise(int status);

struct SoakVerdict {
  int requests = 0;
  int answered = 0;  // with 200
  int runs = 0;      // of all requests
  // What is wrong, each with what caller and servers recorded.
  std::vector<std::string> refused_and_run;
  std::vector<std::string> requests_run_twice;
  std::vector<std::string> pieces_run_twice;
  std::vector<std::string> foreign_answers;  // a 200 with another's body
  std::vector<std::string> answers_without_run;
  std::vector<std::string> unasked_runs;  // of requests that nobody sent
  // How calls ended that got no whole answer: how many, and how many of them
  // had run.
  std::map<CallEnd, std::pair<int, int>> ends;
};

// Callers add from threads of their own.
class WorkLedger {
 public:
  void Add(WorkAttempt attempt);
  // `runs`: how often backend servers have run each request, by its id.
  SoakVerdict Judge(const std::map<std::string, int>& runs) const;

 private:
  mutable std::mutex mutex_;
  std::vector<WorkAttempt> attempts_;
};

}  // namespace mangohold::testing
