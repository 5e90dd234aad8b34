// A backend server of the direct way that lives in the test itself. It answers
// soundly, or in the ways of servers in trouble.
#pragma once

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "standins/raw_http.h"

namespace mangohold::testing {

// What a backend server stand-in does with its next requests.
enum class Manner {
  kAnswer,       // 200 with the request's id and body, and its limit
  kStream,       // ten events, 20 ms apart
  kBreakStream,  // four events and half of the fifth, then a reset
  kStickStream,  // four events, and nothing more
  kReject,       // 503, not run
  // 503, not run; when the same request comes again, the same 503 once more
  // before it runs.
  kRepeatRefusal,
  // 503, not run; whenever the same request comes again, 503 once more, and
  // then it runs.
  kRefuseAndRun,
  kQuiet,           // 503, not run, and nothing more for half a minute
  kLeave,           // 200, and it is leaving
  kMisdirected,     // 421, another instance
  kError,           // 500 of its own
  kDropLate,        // runs the request and drops the connection
  kCutAnswer,       // half of the body that it announced
  kExtraAnswer,     // a second answer, to nobody, behind the first
  kEndless,         // no length; the answer ends with its connection
  kEndlessStream,   // the same with ten events
  kEndInsideEvent,  // the same with four events and half of the fifth
  kJson,            // 200 with a body that is no stream, whatever was asked
  kPartialText,     // 206 with text, whatever was asked
  kLarge,           // 200 with `LargeText`
  kBreakLarge,      // three quarters of it, then a reset
  kLateAnswer,      // 200 after 400 ms
  kLateReject,      // 503, not run, after 400 ms
  kCloseUnasked,    // 200, and the connection closes 5 ms later
  kHuge,            // 200 with 7 MiB
  // Two kinds of what is no answer, without end: interim answers, and answers
  // to another request.
  kEndlessInterim,
  kEndlessForeign,
  // 200 with slightly more than an entry gathers, whose end comes together with
  // the bytes that are too many.
  kSlightlyTooLarge,
  kInterim,        // two answers with 103, then 200
  kForeignFirst,   // an answer to another request, then 200
  kShortIdleTime,  // 200, an idle time of 1 s, and the connection closes then
  kStatus,         // runs the request and answers as `SetStatus` says
  kStatusText,     // the same as `SetStatusText` says
  kWork,           // 200 after the time of `SetWork`
  kHang            // no answer at all
};

// The ten events of a whole stream.
std::string AllEvents();

// A text of 2 MiB with empty lines and lines that begin with "id: 7".
std::string LargeText();

class BackendStandin {
 public:
  BackendStandin(const std::string& address, std::string id);
  ~BackendStandin();
  BackendStandin(const BackendStandin&) = delete;
  BackendStandin& operator=(const BackendStandin&) = delete;

  void SetManner(Manner manner) { manner_ = manner; }
  // From now on it works for so long on each request.
  void SetWork(std::chrono::milliseconds work) {
    work_ = work;
    manner_ = Manner::kWork;
  }
  // From now on it runs each request and answers with this status, without the
  // word that it hasn't run, and a body of so many bytes. A cut answer ends in
  // its middle.
  void SetStatus(int status, std::size_t bytes, bool is_cut = false);
  // From now on it runs each request and answers with this text in place of a
  // status, signed or not.
  void SetStatusText(std::string status, bool is_signed);
  // The request limit that its answers state from now on; empty: none.
  void SetLimit(const std::string& per_s);
  // Requests that it ran, by request id.
  std::map<std::string, int> runs() const;
  int runs_in_all() const;
  // Requests whose connection closed before the answer was whole.
  int cancelled() const { return cancelled_; }
  HttpRequest last_request() const;
  std::string id() const;
  // From now on it is another backend server at the same address: requests for
  // the one before get 421, and it knows nothing of them.
  void BecomeAnother(std::string id);
  const std::string& address() const { return address_; }

 private:
  asio::awaitable<void> Handle(HttpRequest request,
                               standin::Connection& connection);
  // How often the request has arrived at a server that repeats refusals.
  int CountArrival(const std::string& id);
  asio::awaitable<void> SendStatus(const std::string& id,
                                   standin::Connection& connection);
  std::string AnswerWithStatusText(const std::string& id) const;
  asio::awaitable<void> RefuseOnceMore(const std::string& id,
                                       const std::string& body,
                                       standin::Connection& connection,
                                       bool is_each);
  asio::awaitable<void> SendEndlessStream(HttpRequest request,
                                          standin::Connection& connection,
                                          bool ends_inside_event);
  asio::awaitable<void> Stream(HttpRequest request,
                               standin::Connection& connection, Manner manner);

  std::string address_;
  std::string id_;
  std::atomic<Manner> manner_ = Manner::kAnswer;
  std::atomic<std::chrono::milliseconds> work_{};
  std::atomic<int> cancelled_ = 0;
  std::atomic<int> status_ = 200;  // of kStatus
  std::atomic<std::size_t> status_bytes_ = 0;
  std::atomic<bool> is_status_cut_ = false;
  std::atomic<bool> is_status_signed_ = false;
  mutable std::mutex mutex_;
  std::string limit_;
  std::string status_text_;  // of kStatusText
  std::map<std::string, int> runs_;
  std::map<std::string, int> arrivals_;  // by request, at `kRepeatRefusal`
  HttpRequest last_request_;
  asio::io_context io_;
  std::thread thread_;
};

}  // namespace mangohold::testing
