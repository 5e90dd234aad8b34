// The answer that a caller gets on the direct way, made of the answers of one
// backend server after the other. Decides at the head of each what the caller
// may be told: nothing else passes a backend server's status on.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "caller/caller_connection.h"
#include "caller/dialect.h"
#include "core/clock.h"
#include "net/http_message.h"
#include "net/memory_budget.h"
#include "routing/event_splitter.h"

namespace mangohold {

class AnswerRelay {
 public:
  // How an answer reaches the caller.
  enum class Way {
    kWhole,   // gathered until it is whole
    kEvents,  // event by event; another attempt can go on with the next one
    kBytes,   // as it comes; no other attempt can go on
    // Not at all: a refusal, after which others are asked, or a status that
    // would promise what its backend server doesn't say.
    kWithheld
  };
  // What came of a part of a body.
  enum class Result {
    kKept,      // nothing new for the caller
    kPassedOn,  // the caller got bytes
    kAbandon    // the rest isn't worth its room: the attempt has to end
  };
  struct Options {
    bool is_repeatable = false;
    bool is_stream = false;  // the route is one of event streams
    bool is_head = false;    // a HEAD request: answers have no body
    // The last event that the caller has; empty: none.
    std::string last_event_id;
    std::size_t request_bytes = 0;  // held beside the answer
  };

  // `memory` accounts for the request and the answer. It has to outlive this.
  AnswerRelay(CallerConnection::Ptr caller, Options options,
              MemoryBudget::Holder& memory);

  // Another attempt was sent. What the caller has got stays.
  void BeginAttempt();
  void OnHead(int status, HttpFields fields, const AnswerFields& said);
  Result OnBody(std::string_view data, TimePoint now);
  // The attempt's answer is whole: tells the caller. False if the caller can't
  // be told this answer; nothing was sent then.
  bool Deliver();
  // The attempt broke off.
  void DropPartialEvent() { events_.DropPartial(); }
  // Frees the memory of the answer.
  void Free();

  // The way of an answer with this head. Work that may run once only is not
  // said to be refused unless the backend server itself says so.
  static Way WayOf(int status, const HttpFields& fields, bool is_not_run,
                   const Options& options);

  int status() const { return status_; }
  Way way() const { return way_; }
  // The caller has got the head of its answer.
  bool has_begun() const { return has_begun_; }
  // The answer in progress says that the request hasn't run, and is believed.
  bool is_certainly_not_run() const { return is_not_run_; }
  bool MayGoOnElsewhere() const { return !has_begun_ || way_ != Way::kBytes; }
  // The bytes so far end inside an event.
  bool is_cut() const {
    return way_ == Way::kEvents && events_.is_inside_event();
  }
  // Events that the caller has got.
  int events() const { return events_.events(); }
  const std::string& last_event_id() const { return events_.last_id(); }

 private:
  Result Gather(std::string_view data, TimePoint now);
  Result PassEvents(std::string_view data);
  Result SkipBytes(std::size_t size);
  void Begin();
  std::size_t BytesHeld() const {
    return options_.request_bytes + body_.capacity();
  }

  CallerConnection::Ptr caller_;
  Options options_;
  MemoryBudget::Holder& memory_;
  EventSplitter events_;
  // The answer in progress.
  int status_ = 0;
  HttpFields fields_;
  std::string body_;  // gathered
  std::size_t skipped_bytes_ = 0;
  Way way_ = Way::kWhole;
  bool is_not_run_ = false;
  bool has_begun_ = false;
};

}  // namespace mangohold
