#include "soak/kept_caller.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <utility>

#include "net/endpoint.h"

namespace mangohold::testing {
namespace {

constexpr int kFirstFinalStatus = 200;
constexpr std::size_t kReadBytes = 64U << 10U;

constexpr std::array<std::string_view, static_cast<int>(CallEnd::kCount)>
    kNames = {"answered", "not_connected", "not_sent", "closed",
              "reset",    "timed_out",     "cut"};

}  // namespace

std::string_view Name(CallEnd end) {
  return kNames[static_cast<std::size_t>(end)];
}

bool KeptCaller::Connect(const Endpoint& address) {
  if (socket_ >= 0 && address == address_) return true;
  Close();
  const HostPort target = ParseEndpoint(address);
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(target.port);
  inet_pton(AF_INET, target.host.c_str(), &name.sin_addr);
  socket_ = socket(AF_INET, SOCK_STREAM, 0);
  const auto micros =
      std::chrono::duration_cast<std::chrono::microseconds>(timeout_).count();
  const timeval limit{.tv_sec = micros / 1'000'000,
                      .tv_usec = micros % 1'000'000};
  setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  setsockopt(socket_, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  address_ = address;
  const bool is_connected =
      connect(socket_, reinterpret_cast<sockaddr*>(&name), sizeof(name)) == 0;
  if (!is_connected) Close();
  return is_connected;
}

void KeptCaller::Close() {
  if (socket_ >= 0) close(socket_);
  socket_ = -1;
}

void KeptCaller::OnHead(Http1Head head) {
  is_interim_ = head.status < kFirstFinalStatus;
  if (!is_interim_) result_.status = head.status;
  stays_open_ = head.keeps_alive;
}

std::size_t KeptCaller::Write(std::string_view data) const {
  std::size_t written = 0;
  while (written < data.size()) {
    const ssize_t size = send(socket_, data.data() + written,
                              data.size() - written, MSG_NOSIGNAL);
    if (size <= 0) break;
    written += static_cast<std::size_t>(size);
  }
  return written;
}

CallEnd KeptCaller::ReadAnswer() {
  parser_.Reset();
  bool has_bytes = false;
  std::vector<char> bytes(kReadBytes);
  while (true) {
    const ssize_t size = recv(socket_, bytes.data(), bytes.size(), 0);
    const bool is_late = size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    if (size <= 0) {
      if (has_bytes) return CallEnd::kCut;
      if (is_late) return CallEnd::kTimedOut;
      return size == 0 ? CallEnd::kClosed : CallEnd::kReset;
    }
    has_bytes = true;
    std::string_view left(bytes.data(), static_cast<std::size_t>(size));
    while (!left.empty()) {
      is_whole_ = false;
      left.remove_prefix(parser_.Feed(left));
      if (parser_.has_failed()) return CallEnd::kCut;
      if (!is_whole_) continue;
      if (!is_interim_) {
        result_.has_more = !left.empty();
        return CallEnd::kAnswered;
      }
      parser_.Reset();
    }
  }
}

CallResult KeptCaller::Call(const Endpoint& address,
                            const std::vector<std::string>& request) {
  result_ = {};
  if (!Connect(address)) return std::exchange(result_, {});
  bool has_written = false;
  bool has_failed = false;
  for (const std::string& piece : request) {
    const std::size_t size = Write(piece);
    has_written |= size > 0;
    has_failed = size < piece.size();
    if (has_failed) break;
  }
  // An answer may have come before the end of the request.
  result_.end = has_written ? ReadAnswer() : CallEnd::kNotSent;
  const bool is_answered = result_.end == CallEnd::kAnswered;
  if (!is_answered || !stays_open_ || has_failed) Close();
  return std::exchange(result_, {});
}

}  // namespace mangohold::testing
