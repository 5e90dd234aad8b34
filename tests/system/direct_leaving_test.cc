// What an entry of the direct way owes its callers between SIGTERM and its end.
#include <gtest/gtest.h>
#include <signal.h>

#include <algorithm>
#include <asio.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "direct_site.h"
#include "net/endpoint.h"

namespace mangohold::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr int kSlots = 8;  // of a backend server
constexpr int kRefused = 503;
constexpr milliseconds kLongDeadline{30'000};
constexpr milliseconds kLongerThanGrace{20'000};
constexpr int kReceiveBuffer = 128 * 1024;
// Bytes per second that a caller takes.
constexpr std::size_t kFast = 1U << 30U;
constexpr std::size_t kSlow = 1U << 20U;
const std::vector<milliseconds> kDeadlines = {
    milliseconds(1'000), milliseconds(8'000), milliseconds(12'000),
    kLongDeadline};

// One caller with a connection of its own, opened at once.
class Caller {
 public:
  explicit Caller(const Endpoint& address) {
    const HostPort parts = ParseEndpoint(address);
    socket_.open(asio::ip::tcp::v4());
    socket_.set_option(asio::socket_base::receive_buffer_size(kReceiveBuffer));
    socket_.connect({asio::ip::make_address(parts.host), parts.port});
  }
  ~Caller() { Join(); }
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  void Send(const std::string& text) {
    asio::error_code ignored;  // shows as a missing answer
    asio::write(socket_, asio::buffer(text), ignored);
  }
  // Reads on a thread until the answer is whole or the connection ends, at an
  // even rate.
  void BeginReading(std::size_t bytes_per_s = kFast) {
    thread_ = std::thread([this, bytes_per_s] { Read(bytes_per_s); });
  }
  void Join() {
    if (thread_.joinable()) thread_.join();
  }
  // After `Join`: the status of the whole answer; 0 if the connection ended
  // without one.
  int status() const { return is_whole_ ? std::stoi(text_.substr(9, 3)) : 0; }
  const std::string& text() const { return text_; }

 private:
  void Read(std::size_t bytes_per_s) {
    constexpr milliseconds kStep{10};
    const auto begin = steady_clock::now();
    asio::error_code error;
    while (!is_whole_ && !error) {
      const std::chrono::duration<double> spent = steady_clock::now() - begin;
      const auto due = static_cast<std::size_t>(
          spent.count() * static_cast<double>(bytes_per_s));
      if (due <= text_.size()) {
        std::this_thread::sleep_for(kStep);
        continue;
      }
      std::string part(
          std::min<std::size_t>(due - text_.size(), kReceiveBuffer), '\0');
      text_.append(part, 0, socket_.read_some(asio::buffer(part), error));
      is_whole_ = IsWhole();
    }
  }

  bool IsWhole() const {
    const std::size_t head = text_.find("\r\n\r\n");
    if (head == std::string::npos) return false;
    const std::string length = "Content-Length: ";
    const std::size_t at = text_.find(length);
    if (at > head) return text_.ends_with("\r\n0\r\n\r\n");
    return text_.size() ==
           head + 4 + std::stoul(text_.substr(at + length.size()));
  }

  asio::io_context io_;
  asio::ip::tcp::socket socket_{io_};
  std::thread thread_;
  std::string text_;
  bool is_whole_ = false;
};
using Callers = std::vector<std::unique_ptr<Caller>>;

Callers Connect(const DirectSite& site, int entry, std::size_t count) {
  Callers callers;
  while (callers.size() < count) {
    callers.push_back(std::make_unique<Caller>(site.CallerAddress(entry)));
  }
  return callers;
}

void SleepUntil(steady_clock::time_point begin, milliseconds after) {
  std::this_thread::sleep_until(begin + after);
}

// Sends a request of each kind and deadline, on the callers from `first` on.
void SendAll(const Callers& callers, std::size_t first, const std::string& name,
             const std::vector<std::string>& paths) {
  for (const std::string& path : paths) {
    for (const milliseconds deadline : kDeadlines) {
      const std::string id = name + "-" + std::to_string(first);
      callers[first]->Send(
          DirectSite::RequestText("POST", path, id, deadline, "x"));
      callers[first++]->BeginReading();
    }
  }
}

const std::vector<std::string> kPlainPaths = {"/once/x", "/again/x"};

// Guards against requests that are dropped with their connections (LOST): they
// wait for a slot at an entry that has got SIGTERM when it ends.
TEST(DirectLeaving, WaitingRequestsAreRefusedInTime) {
  DirectSite site({.entries = 2, .timeout_ms = 30'000});
  site.Start();
  site.backend(0).SetWork(kLongerThanGrace);
  const Callers others = Connect(site, 1, kSlots);
  for (int i = 0; i < kSlots; ++i) {
    others[i]->Send(DirectSite::RequestText(
        "POST", "/once/x", "long-" + std::to_string(i), kLongDeadline, "x"));
  }
  ASSERT_TRUE(WaitFor([&] { return site.backend(0).runs_in_all() == kSlots; }));
  // The other entry's share is known by then.
  std::this_thread::sleep_for(seconds(1));
  const std::size_t per_time = kPlainPaths.size() * kDeadlines.size();
  const Callers callers = Connect(site, 0, 3 * per_time);
  SendAll(callers, 0, "before", kPlainPaths);
  std::this_thread::sleep_for(milliseconds(100));
  site.entry(0).Signal(SIGTERM);
  const auto begin = steady_clock::now();
  SleepUntil(begin, milliseconds(100));
  SendAll(callers, per_time, "early", kPlainPaths);
  SleepUntil(begin, milliseconds(2'600));
  SendAll(callers, 2 * per_time, "late", kPlainPaths);
  for (const auto& caller : callers) {
    caller->Join();
    EXPECT_EQ(caller->status(), kRefused) << caller->text();
  }
  // Early enough to be sent elsewhere, by callers that may wait for longer.
  EXPECT_LT(steady_clock::now() - begin, seconds(6));
  EXPECT_EQ(site.entry(0).WaitForExit(seconds(10)), 0);
  EXPECT_EQ(site.backend(0).runs_in_all(), kSlots);
}

// Guards against requests that are cut when the entry ends, though their
// backend servers are still at work: their outcome is unknown, and callers are
// told so. A stream in the middle is reset, so that it can't pass for complete.
TEST(DirectLeaving, RequestsInProgressGetTheTrueWordBeforeTheEnd) {
  DirectSite site({.backends = 3, .timeout_ms = 30'000});
  site.Start();
  for (int i = 0; i < 3; ++i) site.backend(i).SetManner(Manner::kStickStream);
  const Callers streams = Connect(site, 0, 1);
  streams[0]->Send(DirectSite::RequestText("POST", "/stream/x", "stream",
                                           kLongDeadline, "x"));
  ASSERT_TRUE(WaitFor([&] {
    return site.Log(0).find("\"request\":\"stream\"") != std::string::npos;
  }));
  std::this_thread::sleep_for(milliseconds(300));
  for (int i = 0; i < 3; ++i) site.backend(i).SetWork(kLongerThanGrace);
  streams[0]->BeginReading();
  const std::vector<std::string> paths = {"/once/x", "/again/x", "/again/y"};
  const Callers callers = Connect(site, 0, paths.size() * kDeadlines.size());
  SendAll(callers, 0, "sent", paths);
  std::this_thread::sleep_for(milliseconds(200));
  site.entry(0).Signal(SIGTERM);
  for (const auto& caller : callers) {
    caller->Join();
    const bool is_known = caller->status() == 502 || caller->status() == 504;
    EXPECT_TRUE(is_known) << caller->text();
  }
  streams[0]->Join();
  EXPECT_EQ(streams[0]->status(), 0);
  EXPECT_EQ(site.entry(0).WaitForExit(seconds(10)), 0);
  EXPECT_NE(site.Log(0).find("leaving_requests_ended"), std::string::npos);
}

// Guards against work that may not be repeated and is lost at a planned stop:
// it came late in the grace, was passed on though it takes longer than the
// entry lives, and was cut.
TEST(DirectLeaving, WorkThatCannotEndInTimeIsNotBegun) {
  constexpr milliseconds kLongWork{6'000};
  DirectSite site({.entries = 1, .timeout_ms = 30'000});
  site.Start();
  site.backend(0).SetWork(kLongWork);
  const Callers first = Connect(site, 0, 1);
  first[0]->Send(
      DirectSite::RequestText("POST", "/once/x", "first", kLongDeadline, "x"));
  first[0]->BeginReading();
  first[0]->Join();
  ASSERT_EQ(first[0]->status(), 200);
  const Callers callers = Connect(site, 0, 4);
  site.entry(0).Signal(SIGTERM);
  const auto begin = steady_clock::now();
  SleepUntil(begin, milliseconds(100));
  callers[0]->Send(
      DirectSite::RequestText("POST", "/once/x", "fits", kLongDeadline, "x"));
  callers[0]->BeginReading();
  SleepUntil(begin, milliseconds(2'600));
  int number = 1;
  for (const char* path : {"/once/x", "/again/x", "/stream/x"}) {
    callers[number]->Send(DirectSite::RequestText(
        "POST", path, "late-" + std::to_string(number), kLongDeadline, "x"));
    callers[number++]->BeginReading();
  }
  for (const auto& caller : callers) caller->Join();
  EXPECT_EQ(callers[0]->status(), 200) << callers[0]->text();
  for (int i = 1; i < 4; ++i) {
    EXPECT_EQ(callers[i]->status(), kRefused) << callers[i]->text();
  }
  EXPECT_EQ(site.backend(0).runs_in_all(), 2);
  EXPECT_EQ(site.entry(0).WaitForExit(seconds(10)), 0);
}

// Guards against answers that are cut at a leaving entry: they are whole in its
// memory, and callers take their bytes slowly.
TEST(DirectLeaving, AnswersAreWrittenToTheirEnd) {
  DirectSite site({.entries = 2, .backends = 3, .timeout_ms = 30'000});
  site.Start();
  for (int i = 0; i < 3; ++i) site.backend(i).SetManner(Manner::kHuge);
  const Callers callers = Connect(site, 0, 6);
  for (std::size_t i = 0; i < callers.size(); ++i) {
    callers[i]->Send(DirectSite::RequestText(
        "GET", "/again/x", "huge-" + std::to_string(i), kLongDeadline));
    callers[i]->BeginReading(kSlow);
  }
  std::this_thread::sleep_for(milliseconds(300));
  site.entry(0).Signal(SIGTERM);
  for (const auto& caller : callers) {
    caller->Join();
    EXPECT_EQ(caller->status(), 200) << caller->text().size() << " bytes";
  }
  EXPECT_EQ(site.entry(0).WaitForExit(seconds(10)), 0);
}

// A request of which a part was read before the entry stopped taking any.
TEST(DirectLeaving, ARequestThatIsBeingReadIsRefused) {
  DirectSite site({});
  site.Start();
  const std::string text = DirectSite::RequestText("POST", "/once/x", "slow",
                                                   seconds(10), "payload");
  const std::size_t half = text.size() - 3;
  const Callers callers = Connect(site, 0, 2);
  site.entry(0).Signal(SIGTERM);
  const auto begin = steady_clock::now();
  SleepUntil(begin, milliseconds(2'500));
  for (const auto& caller : callers) caller->Send(text.substr(0, half));
  SleepUntil(begin, milliseconds(3'500));
  callers[0]->Send(text.substr(half));
  callers[0]->BeginReading();
  SleepUntil(begin, milliseconds(7'300));
  callers[1]->Send(text.substr(half));
  callers[1]->BeginReading();
  for (const auto& caller : callers) {
    caller->Join();
    EXPECT_EQ(caller->status(), kRefused) << caller->text();
  }
  EXPECT_EQ(site.backend(0).runs_in_all(), 0);
  EXPECT_EQ(site.entry(0).WaitForExit(seconds(10)), 0);
}

// A second SIGTERM doesn't cut answers either.
TEST(DirectLeaving, ASecondSignalEndsRequestsWithTheTrueWord) {
  DirectSite site({.timeout_ms = 30'000});
  site.Start();
  site.backend(0).SetWork(kLongerThanGrace);
  const Callers callers = Connect(site, 0, kDeadlines.size() * 2);
  SendAll(callers, 0, "sent", kPlainPaths);
  std::this_thread::sleep_for(milliseconds(200));
  site.entry(0).Signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(300));
  site.entry(0).Signal(SIGTERM);
  const auto begin = steady_clock::now();
  for (const auto& caller : callers) {
    caller->Join();
    EXPECT_NE(caller->status(), 0) << caller->text();
  }
  EXPECT_EQ(site.entry(0).WaitForExit(seconds(10)), 0);
  EXPECT_LT(steady_clock::now() - begin, seconds(3));
}

}  // namespace
}  // namespace mangohold::testing
