#include "small_site.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <csignal>
#include <cstdlib>
#include <filesystem>

namespace mangohold::review {
namespace {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr char kEntryProgram[] = "target/mangohold-direct-entry";
constexpr int kCallerPort = 8080;
constexpr int kReadyPort = 8081;

std::string Lower(std::string text) {
  std::ranges::transform(text, text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

void SetNoDelay(int socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

std::size_t SizeOf(const std::string& text, int base) {
  std::size_t size = 0;
  std::from_chars(text.data(), text.data() + text.size(), size, base);
  return size;
}

Message ParseHead(std::string_view head) {
  Message message;
  std::size_t at = head.find("\r\n");
  message.first_line = std::string(head.substr(0, at));
  while (at != std::string_view::npos) {
    const std::size_t begin = at + 2;
    at = head.find("\r\n", begin);
    const std::string line(
        head.substr(begin, at == std::string_view::npos ? at : at - begin));
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    message.fields[Lower(line.substr(0, colon))] =
        value == std::string::npos ? "" : line.substr(value);
  }
  return message;
}

}  // namespace

void Pause(milliseconds duration) { std::this_thread::sleep_for(duration); }

Record::Record(const std::string& file) : out_(file), began_(Clock::now()) {}

void Record::Add(const std::string& line) {
  const std::lock_guard lock(mutex_);
  const auto ms =
      std::chrono::duration_cast<milliseconds>(Clock::now() - began_);
  out_ << ms.count() << " ms  " << line << std::endl;
}

std::string Message::Field(const std::string& name) const {
  const auto it = fields.find(Lower(name));
  return it == fields.end() ? "" : it->second;
}

int Message::Status() const {
  const std::size_t space = first_line.find(' ');
  if (space == std::string::npos) return 0;
  return static_cast<int>(SizeOf(first_line.substr(space + 1), 10));
}

Stream::~Stream() { Close(); }

std::unique_ptr<Stream> Stream::Connect(const std::string& ip, int port,
                                        int receive_bytes) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_bytes > 0) {
    setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
               sizeof(receive_bytes));
  }
  const sockaddr_in address = AddressOf(ip, port);
  // NOLINTNEXTLINE: the interface of the system
  const auto* to = reinterpret_cast<const sockaddr*>(&address);
  if (connect(socket, to, sizeof(address)) != 0) {
    close(socket);
    return nullptr;
  }
  SetNoDelay(socket);
  return std::make_unique<Stream>(socket);
}

bool Stream::Fill(Clock::time_point end) {
  const auto left =
      std::chrono::duration_cast<milliseconds>(end - Clock::now()).count();
  pollfd wait{.fd = socket_, .events = POLLIN, .revents = 0};
  if (left <= 0 || poll(&wait, 1, static_cast<int>(left)) <= 0) return false;
  std::array<char, 16384> bytes{};
  const ssize_t size = recv(socket_, bytes.data(), bytes.size(), 0);
  if (size <= 0) return false;
  buffer_.append(bytes.data(), static_cast<std::size_t>(size));
  return true;
}

std::optional<Message> Stream::Read(milliseconds limit) {
  const auto end = Clock::now() + limit;
  std::size_t head = std::string::npos;
  while ((head = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill(end)) return std::nullopt;
  }
  Message message = ParseHead(buffer_.substr(0, head));
  buffer_.erase(0, head + 4);
  if (Lower(message.Field("Transfer-Encoding")) == "chunked") {
    if (!TakeChunks(message, end)) return std::nullopt;
    return message;
  }
  const std::size_t size = SizeOf(message.Field("Content-Length"), 10);
  while (buffer_.size() < size) {
    if (!Fill(end)) return std::nullopt;
  }
  message.body = buffer_.substr(0, size);
  buffer_.erase(0, size);
  return message;
}

bool Stream::TakeChunks(Message& message, Clock::time_point end) {
  while (true) {
    std::size_t line = std::string::npos;
    while ((line = buffer_.find("\r\n")) == std::string::npos) {
      if (!Fill(end)) return false;
    }
    const std::size_t size = SizeOf(buffer_.substr(0, line), 16);
    while (buffer_.size() < line + 2 + size + 2) {
      if (!Fill(end)) return false;
    }
    message.body += buffer_.substr(line + 2, size);
    buffer_.erase(0, line + 2 + size + 2);
    if (size == 0) return true;
  }
}

bool Stream::Write(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t size =
        send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (size <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(size));
  }
  return true;
}

bool Stream::IsClosedWithin(milliseconds duration) const {
  pollfd wait{.fd = socket_, .events = POLLIN, .revents = 0};
  if (poll(&wait, 1, static_cast<int>(duration.count())) <= 0) return false;
  char byte = 0;
  return recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
}

void Stream::Close() {
  if (socket_ >= 0) close(socket_);
  socket_ = -1;
}

void Stream::Reset() {
  const linger now{.l_onoff = 1, .l_linger = 0};
  setsockopt(socket_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  Close();
}

Server::Server(const std::string& ip, int port, Handler handler)
    : listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)),
      handler_(std::move(handler)) {
  const int on = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = AddressOf(ip, port);
  // NOLINTNEXTLINE: the interface of the system
  const auto* at = reinterpret_cast<const sockaddr*>(&address);
  const bool is_bound = bind(listener_, at, sizeof(address)) == 0;
  if (!is_bound || listen(listener_, 256) != 0) std::exit(2);
  acceptor_ = std::thread([this] { Accept(); });
}

Server::~Server() {
  is_ended_ = true;
  shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  close(listener_);
  {
    const std::lock_guard lock(mutex_);
    for (const int socket : sockets_) shutdown(socket, SHUT_RDWR);
  }
  for (std::thread& thread : threads_) thread.join();
}

void Server::Accept() {
  while (!is_ended_) {
    const int socket = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) continue;
    SetNoDelay(socket);
    const std::lock_guard lock(mutex_);
    sockets_.insert(socket);
    threads_.emplace_back([this, socket] {
      Stream stream(socket);
      while (const auto request = stream.Read(milliseconds(20'000))) {
        handler_(*request, stream);
        if (is_ended_) break;
      }
      const std::lock_guard end(mutex_);
      sockets_.erase(socket);
    });
  }
}

Program::Program(const std::string& program, const std::string& settings,
                 const std::string& log) {
  pid_ = fork();
  if (pid_ != 0) return;
  if (std::freopen(log.c_str(), "a", stdout) == nullptr) _exit(2);
  dup2(STDOUT_FILENO, STDERR_FILENO);
  execl(program.c_str(), program.c_str(), "--config", settings.c_str(),
        nullptr);
  _exit(2);
}

Program::~Program() { Kill(); }

void Program::Signal(int signal) const {
  if (!end_) kill(pid_, signal);
}

void Program::Kill() {
  if (!IsRunning()) return;
  kill(pid_, SIGKILL);
  int status = 0;
  waitpid(pid_, &status, 0);
  end_ = status;
}

bool Program::IsRunning() {
  if (end_) return false;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) == pid_) end_ = status;
  return !end_;
}

SmallSite::SmallSite(Record& record) : record_(record) {
  const int pid = getpid();
  net_ = "127." + std::to_string(100 + pid / 250 % 100) + "." +
         std::to_string(1 + pid % 250) + ".";
  directory_ = (std::filesystem::temp_directory_path() /
                ("mangohold-review-" + std::to_string(pid)))
                   .string();
  std::filesystem::create_directories(directory_);
  store_ = std::make_unique<standin::KvStore>(Ip(1) + ":7000");
}

SmallSite::~SmallSite() {
  entries_.clear();
  std::filesystem::remove_all(directory_);
}

std::string SmallSite::Ip(int last) const {
  return net_ + std::to_string(last);
}

void SmallSite::PutConfiguration(int version) {
  const auto route = [](const char* name, const char* kind, int timeout_ms,
                        const char* service) {
    return Json{{"name", name},
                {"host", "h.example"},
                {"prefix", std::string("/") + name + "/"},
                {"route_type", kind},
                {"timeout_ms", timeout_ms},
                {"target_latency_ms", 300},
                {"target_gap_ms", 120},
                {"priority", 1},
                {"max_attempts", 2},
                {"anonymous", false},
                {"sticky", std::string(kind) == "streaming"},
                {"stream_resume", std::string(kind) == "streaming"},
                {"service", service}};
  };
  const Json routes = {route("book", "non_idempotent", 4'000, "desk"),
                       route("look", "idempotent", 4'000, "desk"),
                       route("draft", "streaming", 8'000, "model")};
  const Json services = {{{"name", "desk"}, {"max_connections", 96}},
                         {{"name", "model"}, {"max_connections", 408}}};
  store_->Put("op/config",
              Json{{"version", version},
                   {"routes", routes},
                   {"services", services},
                   {"limits",
                    {{"max_header_bytes", 8'192},
                     {"max_body_bytes", 4'194'304},
                     {"header_timeout_ms", 2'000},
                     {"idle_timeout_ms", 15'000}}},
                   {"tenants", {{{"name", "sales"}, {"api_keys", {"k"}}}}}}
                  .dump());
}

void SmallSite::ListServer(const std::string& id, const std::string& service,
                           const std::string& address, const std::string& zone,
                           int slots) {
  store_->Put("servers/" + id, Json{{"service", service},
                                    {"address", address},
                                    {"zone", zone},
                                    {"version", "1"},
                                    {"slots", slots},
                                    {"state", "ready"},
                                    {"cold_remaining_ms", 0},
                                    {"sequence", 1}}
                                   .dump());
}

// The settings that deploy/entry.jsonc makes of the sheet of a small site.
void SmallSite::StartEntry(int index) {
  const std::string ip = Ip(10 + index);
  const std::string name = "entry-" + std::to_string(index);
  const std::string file = directory_ + "/" + name + ".jsonc";
  std::ofstream(file) << Json{
      {"instance", name},
      {"zone", "suva"},
      {"platform_url", "http://" + Ip(1) + ":7000"},
      {"caller_address", ip + ":" + std::to_string(kCallerPort)},
      {"ready_address", ip + ":" + std::to_string(kReadyPort)},
      {"directory_address", ip + ":8082"},
      {"peer_address", ip + ":8083"},
      {"metrics_address", ip + ":8084"},
      {"memory_mb", 260},
      {"max_descriptors", 4'100},
      {"revocation_ms", 5'000},
      {"grace_s", 8},
      {"retry_ratio", 0.2},
      {"retry_slack", 88},
      {"retry_window_s", 10},
      {"cold_overrun", 1.5},
      {"cold_slack", 5},
      {"regions", {{"suva", "viti-levu"}, {"nadi", "viti-levu"}}}};
  const char* kept = std::getenv("REVIEW_LOGS");
  const std::string log =
      (kept == nullptr ? directory_ : std::string(kept)) + "/" + name + ".log";
  entries_[index] = std::make_unique<Program>(kEntryProgram, file, log);
  record_.Add("started " + name);
}

bool SmallSite::IsReady(int index) const {
  for (int i = 0; i < 200; ++i) {
    const auto stream = Stream::Connect(Ip(10 + index), kReadyPort);
    if (stream != nullptr) {
      stream->Write("GET /mangohold/readyz HTTP/1.1\r\nHost: h\r\n\r\n");
      const auto answer = stream->Read(milliseconds(1'000));
      if (answer && answer->Status() == 200) return true;
    }
    Pause(milliseconds(50));
  }
  return false;
}

std::unique_ptr<Stream> SmallSite::ConnectTo(int entry,
                                             int receive_bytes) const {
  return Stream::Connect(Ip(10 + entry), kCallerPort, receive_bytes);
}

std::string RequestText(const std::string& method, const std::string& path,
                        const std::string& id, int deadline_ms,
                        const std::string& body) {
  return method + " " + path +
         " HTTP/1.1\r\nHost: h.example\r\nX-Mangohold-Request-Id: " + id +
         "\r\nX-Mangohold-Deadline-Ms: " + std::to_string(deadline_ms) +
         "\r\nAuthorization: Bearer k\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string AnswerText(int status, const std::string& id,
                       const std::string& body, const std::string& fields) {
  return "HTTP/1.1 " + std::to_string(status) +
         " Standin\r\nX-Mangohold-Request-Id: " + id +
         "\r\nX-Mangohold-Response-Signature: s." + id + "\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace mangohold::review
