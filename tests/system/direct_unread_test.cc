// What a caller of the direct way may take for a request that was never read:
// a connection that is refused, reset or closed before any byte of an answer.
#include <gtest/gtest.h>
#include <signal.h>

#include <chrono>
#include <future>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "direct_site.h"
#include "raw_caller.h"
#include "soak/kept_caller.h"

namespace mangohold::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kDeadline{4'000};
constexpr seconds kCallTimeout(8);
constexpr int kCallers = 24;

std::string OnceText(const std::string& id) {
  return DirectSite::RequestText("POST", "/once/x", id, kDeadline, "x");
}

// What callers saw of requests that were sent while the entry stood still.
class StoppedEntry {
 public:
  explicit StoppedEntry(DirectSite& site) : site_(site) {}

  // Opens connections that stay open and idle.
  void OpenKept(int count) {
    for (int i = 0; i < count; ++i) {
      callers_.push_back(std::make_unique<KeptCaller>(kCallTimeout));
      const CallResult first = callers_.back()->Call(
          site_.CallerAddress(0), {OnceText("first-" + std::to_string(i))});
      EXPECT_EQ(first.status, 200);
    }
  }
  // Requests of these callers, and of as many with new connections, arrive
  // while it stands still.
  void SendWhileStopped(int fresh, const std::vector<int>& signals,
                        milliseconds before_sending) {
    kill(site_.entry(0).pid(), SIGSTOP);
    std::this_thread::sleep_for(before_sending);
    for (int i = 0; i < fresh; ++i) {
      callers_.push_back(std::make_unique<KeptCaller>(kCallTimeout));
    }
    std::vector<std::future<CallResult>> calls;
    for (std::size_t i = 0; i < callers_.size(); ++i) {
      calls.push_back(std::async(std::launch::async, [this, i] {
        return callers_[i]->Call(site_.CallerAddress(0),
                                 {OnceText("id-" + std::to_string(i))});
      }));
    }
    std::this_thread::sleep_for(milliseconds(300));
    for (const int signal : signals) kill(site_.entry(0).pid(), signal);
    kill(site_.entry(0).pid(), SIGCONT);
    for (auto& call : calls) results_.push_back(call.get());
  }
  // No request ran whose caller saw an end without a byte of an answer.
  void ExpectUnreadNotRun(const std::string& name) {
    std::this_thread::sleep_for(milliseconds(500));
    const auto runs = site_.backend(0).runs();
    std::map<std::string, int> seen;
    for (std::size_t i = 0; i < results_.size(); ++i) {
      const std::string id = "id-" + std::to_string(i);
      const bool has_run = runs.contains(id);
      const CallResult& result = results_[i];
      ++seen[std::string(Name(result.end)) + " " +
             std::to_string(result.status) + (has_run ? " run" : " not run")];
      const bool is_taken_for_unread = result.end == CallEnd::kNotConnected ||
                                       result.end == CallEnd::kNotSent ||
                                       result.end == CallEnd::kClosed ||
                                       result.end == CallEnd::kReset;
      EXPECT_FALSE(is_taken_for_unread && has_run) << id;
      EXPECT_FALSE(result.status == 503 && has_run) << id;
    }
    for (const auto& [end, count] : seen) {
      std::cout << name << ": " << end << ": " << count << "\n";
    }
  }

 private:
  DirectSite& site_;
  std::vector<std::unique_ptr<KeptCaller>> callers_;
  std::vector<CallResult> results_;
};

// Guards against a request that runs behind an answer with Connection: close,
// whose caller sees the connection end and repeats it.
TEST(DirectUnread, RequestBehindLastAnswerIsNotPassedOn) {
  DirectSite site({});
  site.Start();
  RawCaller caller(site.CallerAddress(0));
  std::string first = OnceText("first");
  first.insert(first.find("\r\n") + 2, "Connection: close\r\n");
  caller.Send(first + OnceText("second"));
  const std::string received = caller.ReadUntil("never sent");
  EXPECT_TRUE(received.starts_with("HTTP/1.1 200")) << received;
  EXPECT_EQ(received.find("HTTP/1.1", 1), std::string::npos) << received;
  const auto runs = site.backend(0).runs();
  EXPECT_TRUE(runs.contains("first"));
  EXPECT_FALSE(runs.contains("second"));
  caller.Close();
  std::this_thread::sleep_for(milliseconds(1'500));
  EXPECT_NE(site.Log(0).find("connection_unfinished"), std::string::npos);
  EXPECT_NE(site.Metrics(0).find("connections_unfinished_total 1\n"),
            std::string::npos);
}

// Guards against requests that run while a leaving entry closes their
// connections without an answer.
TEST(DirectUnread, RequestsThatCrossSigtermAreAnsweredOrNotRun) {
  DirectSite site({});
  site.Start();
  StoppedEntry entry(site);
  entry.OpenKept(kCallers);
  entry.SendWhileStopped(kCallers, {SIGTERM}, milliseconds(0));
  entry.ExpectUnreadNotRun("sigterm");
}

// Guards against requests that run though the idle timeout has closed their
// connections.
TEST(DirectUnread, RequestsThatCrossIdleTimeoutAreAnsweredOrNotRun) {
  DirectSite site({.idle_timeout_ms = 1'000});
  site.Start();
  StoppedEntry entry(site);
  entry.OpenKept(kCallers);
  entry.SendWhileStopped(kCallers, {}, milliseconds(1'500));
  entry.ExpectUnreadNotRun("idle");
}

// Guards against requests that run though their connections were closed as
// surplus.
TEST(DirectUnread, RequestsOnSurplusConnectionsAreAnsweredOrNotRun) {
  DirectSite site({.max_descriptors = 200 + 2 * kCallers});
  site.Start();
  StoppedEntry entry(site);
  entry.OpenKept(kCallers);
  entry.SendWhileStopped(kCallers, {}, milliseconds(0));
  entry.ExpectUnreadNotRun("surplus");
}

// Guards against requests that wait for a slow backend server, are refused by
// a leaving entry, and run.
TEST(DirectUnread, SlowRequestsOfLeavingEntryAreAnsweredOrNotRun) {
  DirectSite site({.grace_s = 4});
  site.Start();
  site.backend(0).SetManner(Manner::kLateAnswer);
  StoppedEntry entry(site);
  entry.SendWhileStopped(kCallers, {SIGTERM}, milliseconds(0));
  entry.ExpectUnreadNotRun("slow sigterm");
}

}  // namespace
}  // namespace mangohold::testing
