// Runs real entries of the direct way as processes, before stand-ins of the
// store and of backend servers that live in the test itself.
#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "harness.h"
#include "relay.h"
#include "standins/kv_store.h"
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

class DirectSite {
 public:
  struct Options {
    int entries = 1;
    int backends = 1;
    int revocation_ms = 5'000;
    double grace_s = 8;
    int timeout_ms = 4'000;  // of the routes
    int most_direct_followers = 12;
    // Each entry reaches the store by a link of its own, which tests can cut.
    bool has_store_links = false;
    // Of the entries' machines; 0: not stated.
    int memory_mb = 0;
    int max_descriptors = 0;
    int max_body_bytes = 5'000;
    int idle_timeout_ms = 15'000;
  };

  explicit DirectSite(Options options);
  ~DirectSite();

  // Waits until each entry is ready.
  void Start();
  void StartEntry(int index);
  // Writes the deployment; the service's routes are /once/ (not repeatable),
  // /again/ (idempotent) and /stream/ (resumable).
  void PutDeployment(int version, const std::vector<std::string>& keys = {"k"});
  // The same without the route of this name.
  void PutDeploymentWithout(const std::string& route, int version);
  void ListBackend(int index, const std::string& state = "ready");
  // Another backend server takes over the address.
  void ReplaceBackend(int index);
  // Lists a relay's address as the backend server's, and waits until each entry
  // knows it.
  std::unique_ptr<Relay> PutRelayBefore(int backend);

  standin::KvStore& store() { return *store_; }
  BackendStandin& backend(int index) { return *backends_[index]; }
  Process& entry(int index) { return *entries_[index]; }
  Relay& store_link(int entry) { return *store_links_[entry]; }
  Endpoint CallerAddress(int entry) const;
  // The text of a request with a key.
  static std::string RequestText(const std::string& method,
                                 const std::string& path, const std::string& id,
                                 std::chrono::milliseconds deadline,
                                 const std::string& body = "");
  bool IsReady(int entry) const;
  std::string Directory(int entry) const;
  std::string Metrics(int entry) const;
  // Retries that the entry may make at once.
  int RetryTokens(int entry) const;
  // Everything that the entries have logged.
  std::string Log(int entry) const;

  HttpResponse Call(const std::string& method, const std::string& path,
                    const std::string& id, const std::string& body = "",
                    const std::string& key = "k", int entry = 0) const;

 private:
  void WriteDeployment(int version, const std::vector<std::string>& keys,
                       const std::string& left_out);
  void ListBackendAt(int index, const std::string& address,
                     const std::string& state);
  std::string Ip(int last) const;
  Endpoint StoreAddress(int entry) const;

  Options options_;
  std::string directory_;
  std::string net_;
  std::unique_ptr<standin::KvStore> store_;
  std::vector<std::unique_ptr<Relay>> store_links_;
  std::vector<std::unique_ptr<BackendStandin>> backends_;
  std::vector<std::unique_ptr<Process>> entries_;
};

}  // namespace mangohold::testing
