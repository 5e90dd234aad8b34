// Clients that fill the memory of an entry on the direct way, or take all of
// its file descriptors.
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <asio.hpp>
#include <chrono>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <string_view>
#include <system_error>
#include <thread>
#include <vector>

#include "direct_site.h"
#include "net/endpoint.h"
#include "raw_caller.h"

namespace mangohold::testing {
namespace {

using std::chrono::seconds;

// The smallest machine of the deployments, and their limit of bodies.
constexpr int kMemoryMb = 112;
constexpr std::size_t kMostBody = 4U << 20U;
constexpr int kClients = 40;
// Bodies stop this far before their end.
constexpr std::size_t kPartOfBody = kMostBody / 64 * 63;
// What a client sends of a body without end.
constexpr std::size_t kManyBytes = 16U << 20U;
constexpr std::size_t kPieceBytes = 64U << 10U;
// Answers of this size are gathered before they go on.
constexpr std::size_t kAnswerBytes = 900U << 10U;
// How long clients stay connected before the entry is looked at.
constexpr seconds kHeldFor(5);

// What the body of a client is made of.
struct Body {
  std::string length;     // the field that states it
  std::string piece;      // sent again and again
  std::size_t bytes = 0;  // sent, framing included
  // Of a client that never reads; 0: the system's usual one.
  int receive_buffer = 0;
};

std::string Chunks(std::size_t size, std::size_t all) {
  std::stringstream head;
  head << std::hex << size << "\r\n";
  const std::string chunk = head.str() + std::string(size, 'x') + "\r\n";
  std::string chunks;
  for (std::size_t done = 0; done < all; done += size) chunks += chunk;
  return chunks;
}

Body Declared(std::size_t length, std::size_t sent) {
  return {.length = "Content-Length: " + std::to_string(length),
          .piece = std::string(kPieceBytes, 'x'),
          .bytes = sent};
}

// `sent` bytes of a body in chunks of `size`.
Body Chunked(std::size_t size, std::size_t sent) {
  std::string piece = Chunks(size, kPieceBytes);
  const std::size_t pieces = sent / kPieceBytes;
  return {.length = "Transfer-Encoding: chunked",
          .piece = piece,
          .bytes = pieces * piece.size()};
}

// Sends a part of a request and leaves the connection open. Ends at the first
// error.
class BodySender : public std::enable_shared_from_this<BodySender> {
 public:
  BodySender(asio::io_context& io, const Endpoint& address, int number,
             Body body)
      : socket_(io), body_(std::move(body)) {
    const HostPort target = ParseEndpoint(address);
    socket_.open(asio::ip::tcp::v4());
    if (body_.receive_buffer > 0) {
      socket_.set_option(
          asio::socket_base::receive_buffer_size(body_.receive_buffer));
    }
    socket_.connect({asio::ip::make_address(target.host), target.port});
    head_ =
        "POST /again/x HTTP/1.1\r\nHost: h.example\r\n"
        "X-Mangohold-Request-Id: sender-" +
        std::to_string(number) +
        "\r\nX-Mangohold-Deadline-Ms: 3000\r\nAuthorization: Bearer "
        "k\r\n" +
        body_.length + "\r\n\r\n";
  }

  void Start() { Write(head_); }

 private:
  void Write(std::string_view text) {
    asio::async_write(socket_, asio::buffer(text),
                      [self = shared_from_this()](const std::error_code& error,
                                                  std::size_t /*size*/) {
                        if (!error) self->WriteNext();
                      });
  }
  void WriteNext() {
    const std::size_t left = body_.bytes - sent_;
    if (left == 0) return;
    std::string_view piece = body_.piece;
    piece = piece.substr(0, std::min(left, piece.size()));
    sent_ += piece.size();
    Write(piece);
  }

  asio::ip::tcp::socket socket_;
  Body body_;
  std::string head_;
  std::size_t sent_ = 0;
};

int OpenDescriptors(pid_t pid) {
  int count = 0;
  const std::string path = "/proc/" + std::to_string(pid) + "/fd";
  for ([[maybe_unused]] const auto& file :
       std::filesystem::directory_iterator(path)) {
    ++count;
  }
  return count;
}

// The processor time that a process has used.
double ProcessorSeconds(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string text;
  std::getline(file, text);
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  constexpr int kFieldsBefore = 11;  // between the name and the times
  std::string skipped;
  for (int i = 0; i < kFieldsBefore; ++i) fields >> skipped;
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

// The processor time that a busy thread gets in `duration`, which on a loaded
// machine is less.
double SpinFor(seconds duration) {
  const auto used = [] {
    std::timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_nsec) / 1e9;
  };
  const double before = used();
  const auto end = std::chrono::steady_clock::now() + duration;
  while (std::chrono::steady_clock::now() < end) continue;
  return used() - before;
}

// Clients whose bodies are `bodies` in turn stay connected after they have sent
// them. The entry has to stay inside its memory, and to answer another client.
void ExpectBounded(const std::vector<Body>& bodies, int clients = kClients) {
  DirectSite site(
      {.memory_mb = kMemoryMb, .max_body_bytes = static_cast<int>(kMostBody)});
  site.Start();
  asio::io_context io;
  std::vector<std::shared_ptr<BodySender>> senders;
  for (int i = 0; i < clients; ++i) {
    const auto kind = static_cast<std::size_t>(i) % bodies.size();
    senders.push_back(std::make_shared<BodySender>(io, site.CallerAddress(0), i,
                                                   bodies[kind]));
  }
  for (const auto& sender : senders) sender->Start();
  // The entry still reads after all has been sent.
  const auto work = asio::make_work_guard(io);
  io.run_for(kHeldFor);
  ASSERT_TRUE(site.entry(0).is_running());
  EXPECT_EQ(site.Call("POST", "/again/x", "ordinary", "b").status, 200);
  const double peak = site.entry(0).peak_memory_mb();
  EXPECT_LT(peak, kMemoryMb);
  EXPECT_GT(peak, 0);
  std::cout << "peak memory " << peak << " MB\n";
}

// Guards against an entry that is killed for its memory, as clients send large
// bodies and stop just before their end.
TEST(DirectMemory, LargeDeclaredBodies) {
  ExpectBounded({Declared(kMostBody, kPartOfBody)});
}

// The same with chunks, whose length isn't known before.
TEST(DirectMemory, LargeChunks) {
  ExpectBounded({Chunked(kPieceBytes, kPartOfBody)});
}

TEST(DirectMemory, SmallChunks) { ExpectBounded({Chunked(16, kPartOfBody)}); }

// Guards against an entry that reads or keeps a body which is over the limit.
TEST(DirectMemory, DeclaredFarOverTheLimit) {
  ExpectBounded({Declared(1U << 30U, kManyBytes)});
}

TEST(DirectMemory, ChunksWithoutEnd) {
  ExpectBounded({Chunked(kPieceBytes, kManyBytes)});
}

TEST(DirectMemory, AllKindsAtOnce) {
  ExpectBounded({Declared(kMostBody, kPartOfBody),
                 Chunked(kPieceBytes, kPartOfBody), Chunked(16, kPartOfBody),
                 Declared(1U << 30U, kManyBytes),
                 Chunked(kPieceBytes, kManyBytes)});
}

// Guards against answers that pile up for clients that never read them. The
// backend server sends each body back.
TEST(DirectMemory, AnswersThatNobodyReads) {
  Body body = Declared(kAnswerBytes, kAnswerBytes);
  body.receive_buffer = 4'096;
  ExpectBounded({body}, 150);
}

// Guards against limits that refuse what the specification allows: the largest
// body, when nothing else is in progress.
TEST(DirectMemory, TheLargestLegalBodyIsServed) {
  DirectSite site(
      {.memory_mb = kMemoryMb, .max_body_bytes = static_cast<int>(kMostBody)});
  site.Start();
  const std::string body(kMostBody, 'x');
  const HttpResponse answer = site.Call("POST", "/again/x", "large", body);
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(answer.body, "large:" + body);
}

// Sends a request whose body comes in `count` pieces of `size`, 200 ms apart.
// Returns what the entry answers first.
std::string StatusOfSlowBody(const DirectSite& site, std::size_t size,
                             int count) {
  RawCaller caller(site.CallerAddress(0));
  caller.Send(
      "POST /again/x HTTP/1.1\r\nHost: h.example\r\n"
      "X-Mangohold-Request-Id: slow\r\nAuthorization: Bearer k\r\n"
      "Content-Length: " +
      std::to_string(size * static_cast<std::size_t>(count)) + "\r\n\r\n");
  for (int i = 0; i < count; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    try {
      caller.Send(std::string(size, 'x'));
    } catch (const std::system_error&) {
      break;  // the entry has closed the connection
    }
  }
  return caller.ReadUntil("\r\n").substr(0, 12);
}

// Guards against a limit on the time of a whole body, which refuses large
// bodies on slow links: this one takes 3 s, `idle_timeout_ms` is 1 s.
TEST(DirectMemory, ABodyThatComesSteadilyIsServed) {
  DirectSite site({.max_body_bytes = static_cast<int>(kMostBody),
                   .idle_timeout_ms = 1'000});
  site.Start();
  EXPECT_EQ(StatusOfSlowBody(site, 16U << 10U, 15), "HTTP/1.1 200");
}

// Guards against bodies that stay in memory by a few bytes at a time.
TEST(DirectMemory, ABodyThatTricklesIsRefused) {
  DirectSite site({.max_body_bytes = static_cast<int>(kMostBody),
                   .idle_timeout_ms = 1'000});
  site.Start();
  EXPECT_EQ(StatusOfSlowBody(site, 10, 10), "HTTP/1.1 408");
  EXPECT_EQ(site.backend(0).runs_in_all(), 0);
  EXPECT_NE(site.Metrics(0).find("reason=\"body_too_slow\"} 1"),
            std::string::npos);
}

std::vector<asio::ip::tcp::socket> ConnectMany(asio::io_context& io,
                                               const Endpoint& address,
                                               int count) {
  const HostPort target = ParseEndpoint(address);
  std::vector<asio::ip::tcp::socket> sockets;
  for (int i = 0; i < count; ++i) {
    sockets.emplace_back(io).connect(
        {asio::ip::make_address(target.host), target.port});
  }
  return sockets;
}

// Guards against idle connections that take all descriptors.
TEST(DirectMemory, IdleConnectionsLeaveDescriptorsFree) {
  constexpr int kMostDescriptors = 400;
  DirectSite site({.max_descriptors = kMostDescriptors});
  site.Start();
  asio::io_context io;
  const auto sockets = ConnectMany(io, site.CallerAddress(0), 450);
  EXPECT_EQ(site.Call("POST", "/again/x", "ordinary", "b").status, 200);
  const int open = OpenDescriptors(site.entry(0).pid());
  EXPECT_LT(open, kMostDescriptors);
  std::cout << "open descriptors " << open << "\n";
}

// Guards against requests that never end and take all connections of callers.
TEST(DirectMemory, UnendedRequestsLeaveConnectionsFree) {
  constexpr int kMostDescriptors = 400;
  DirectSite site({.max_descriptors = kMostDescriptors});
  site.Start();
  asio::io_context io;
  auto sockets = ConnectMany(io, site.CallerAddress(0), 150);
  for (auto& socket : sockets) {
    std::error_code ignored;  // some have been closed
    asio::write(socket,
                asio::buffer(std::string("POST /again/x HTTP/1.1\r\n"
                                         "Host: h.example\r\n"
                                         "Content-Length: 9\r\n\r\nx")),
                ignored);
  }
  std::this_thread::sleep_for(seconds(2));
  EXPECT_EQ(site.Call("POST", "/again/x", "ordinary", "b").status, 200);
  EXPECT_LT(OpenDescriptors(site.entry(0).pid()), kMostDescriptors);
}

// Guards against an entry that tries again and again to accept a connection
// while it has no descriptor for one.
TEST(DirectMemory, AcceptWithoutDescriptorsDoesNotSpin) {
  DirectSite site({});
  site.Start();
  const pid_t pid = site.entry(0).pid();
  constexpr rlim_t kDescriptors = 40;
  const rlimit limit = {.rlim_cur = kDescriptors, .rlim_max = kDescriptors};
  ASSERT_EQ(prlimit(pid, RLIMIT_NOFILE, &limit, nullptr), 0);
  asio::io_context io;
  auto sockets = ConnectMany(io, site.CallerAddress(0), 60);
  const double before = ProcessorSeconds(pid);
  const double busy = SpinFor(seconds(2));
  const double used = ProcessorSeconds(pid) - before;
  std::cout << "processor time " << used << " s, busy thread " << busy
            << " s\n";
  EXPECT_LT(used, busy / 4);
  sockets.clear();
  EXPECT_TRUE(WaitFor([&] {
    return site.Call("POST", "/again/x", "ordinary", "b").status == 200;
  }));
}

}  // namespace
}  // namespace mangohold::testing
