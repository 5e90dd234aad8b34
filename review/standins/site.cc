#include "site.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <csignal>
#include <cstdlib>
#include <utility>

#include "net/endpoint.h"
#include "standins/kv_store.h"

namespace review {
namespace {

using asio::ip::tcp;
using mangohold::HttpFields;
using mangohold::HttpRequest;

constexpr milliseconds kStep{20};
constexpr milliseconds kStartLimit{20'000};

tcp::endpoint ToEndpoint(const std::string& address) {
  const auto parts = mangohold::ParseEndpoint(mangohold::Endpoint(address));
  return {asio::ip::make_address(parts.host), parts.port};
}

// Takes a head off the front of `buffer`; its first line goes to `first`.
bool TakeHead(std::string& buffer, std::string& first, HttpFields& fields) {
  const std::size_t end = buffer.find("\r\n\r\n");
  if (end == std::string::npos) return false;
  std::string head = buffer.substr(0, end);
  buffer.erase(0, end + 4);
  std::size_t at = head.find("\r\n");
  first = head.substr(0, at);
  while (at != std::string::npos) {
    const std::size_t begin = at + 2;
    at = head.find("\r\n", begin);
    const std::string line = head.substr(begin, at - begin);
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    fields.push_back({line.substr(0, colon),
                      value == std::string::npos ? "" : line.substr(value)});
  }
  return true;
}

std::size_t ToNumber(std::string_view text, int base) {
  std::size_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value, base);
  return value;
}

}  // namespace

Record::Record(const std::string& file) : out_(file) {}

double Record::Seconds() const {
  return std::chrono::duration<double>(SteadyClock::now() - begin_).count();
}

void Record::Write(const std::string& line) {
  const std::lock_guard lock(mutex_);
  std::array<char, 32> time{};
  std::snprintf(time.data(), time.size(), "%9.3f ", Seconds());
  out_ << time.data() << line << '\n' << std::flush;
}

Stream::Stream(tcp::socket socket, asio::io_context* io)
    : own_io_(io), socket_(std::move(socket)) {
  asio::error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
}

std::unique_ptr<Stream> Stream::Connect(const std::string& address,
                                        int receive_buffer) {
  auto io = std::make_unique<asio::io_context>();
  tcp::socket socket(*io);
  asio::error_code error;
  socket.open(tcp::v4(), error);
  if (receive_buffer > 0) {
    socket.set_option(asio::socket_base::receive_buffer_size(receive_buffer),
                      error);
  }
  socket.connect(ToEndpoint(address), error);
  if (error) return nullptr;
  return std::make_unique<Stream>(std::move(socket), io.release());
}

bool Stream::Send(const std::string& text) {
  asio::error_code error;
  asio::write(socket_, asio::buffer(text), error);
  return !error;
}

bool Stream::IsReadable(milliseconds limit) {
  pollfd watched{.fd = socket_.native_handle(), .events = POLLIN, .revents = 0};
  return poll(&watched, 1, static_cast<int>(limit.count())) > 0;
}

bool Stream::Receive(milliseconds limit, std::size_t most) {
  if (has_ended_ || limit <= milliseconds(0) || !IsReadable(limit)) {
    return false;
  }
  std::string bytes(most, '\0');
  asio::error_code error;
  const std::size_t size = socket_.read_some(asio::buffer(bytes), error);
  if (error) {
    has_ended_ = true;
    was_reset_ = error != asio::error::eof;
    return false;
  }
  buffer_.append(bytes, 0, size);
  return true;
}

void Stream::Reset() {
  asio::error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  socket_.close(ignored);
}

bool Stream::IsClosedByPeer() {
  if (has_ended_) return true;
  if (IsReadable(milliseconds(0))) Receive(milliseconds(1));
  return has_ended_;
}

Answer ReadAnswer(Stream& stream, milliseconds limit) {
  const auto end = SteadyClock::now() + limit;
  const auto receive = [&] {
    return stream.Receive(
        std::chrono::duration_cast<milliseconds>(end - SteadyClock::now()));
  };
  Answer answer;
  std::string first;
  while (!TakeHead(stream.buffer(), first, answer.fields)) {
    if (!receive()) return answer;
  }
  const std::size_t space = first.find(' ');
  if (space == std::string::npos) return answer;
  answer.status = static_cast<int>(ToNumber(first.substr(space + 1), 10));
  if (answer.Field("Transfer-Encoding") != "chunked") {
    const std::size_t size = ToNumber(answer.Field("Content-Length"), 10);
    while (stream.buffer().size() < size) {
      if (!receive()) break;
    }
    answer.is_whole = stream.buffer().size() >= size;
    answer.body = stream.buffer().substr(0, size);
    stream.buffer().erase(0, size);
    return answer;
  }
  while (true) {
    std::size_t line = stream.buffer().find("\r\n");
    while (line == std::string::npos) {
      if (!receive()) return answer;
      line = stream.buffer().find("\r\n");
    }
    const std::size_t size = ToNumber(stream.buffer().substr(0, line), 16);
    const std::size_t whole = line + 2 + size + 2;
    while (stream.buffer().size() < whole) {
      if (!receive()) return answer;
    }
    answer.body.append(stream.buffer(), line + 2, size);
    stream.buffer().erase(0, whole);
    if (size > 0) continue;
    answer.is_whole = true;
    return answer;
  }
}

Answer Call(const std::string& address, const std::string& request,
            milliseconds limit) {
  const auto stream = Stream::Connect(address);
  if (stream == nullptr || !stream->Send(request)) return {};
  return ReadAnswer(*stream, limit);
}

std::string RequestText(const std::string& method, const std::string& target,
                        const std::string& fields, const std::string& body) {
  std::string text = method + " " + target + " HTTP/1.1\r\n" + fields;
  if (method != "GET") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

std::string ClientFields(const std::string& id, int deadline_ms) {
  return "Host: h.example\r\nX-Mangohold-Request-Id: " + id +
         "\r\nX-Mangohold-Deadline-Ms: " + std::to_string(deadline_ms) +
         "\r\nAuthorization: Bearer k\r\n";
}

Engine::Engine(std::string id, Handler handler)
    : id_(std::move(id)),
      handler_(std::move(handler)),
      acceptor_(io_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {
  address_ = "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  acceptor_thread_ = std::thread([this] { Accept(); });
}

Engine::~Engine() {
  is_ending_ = true;
  Stream::Connect(address_);  // wakes the acceptor
  acceptor_thread_.join();
  for (std::thread& thread : threads_) thread.join();
}

void Engine::Accept() {
  while (true) {
    asio::error_code error;
    tcp::socket socket = acceptor_.accept(error);
    if (is_ending_) return;
    if (error) continue;
    threads_.emplace_back([this, accepted = std::move(socket)]() mutable {
      Stream stream(std::move(accepted));
      Serve(stream);
    });
  }
}

void Engine::Serve(Stream& stream) {
  while (!is_ending_) {
    std::string first;
    HttpRequest request;
    if (!TakeHead(stream.buffer(), first, request.fields)) {
      stream.Receive(milliseconds(50));
      if (stream.has_ended()) return;
      continue;
    }
    const std::size_t space = first.find(' ');
    request.method = first.substr(0, space);
    request.path = first.substr(space + 1, first.rfind(' ') - space - 1);
    const std::size_t size = ToNumber(request.Field("Content-Length"), 10);
    while (stream.buffer().size() < size && !stream.has_ended()) {
      stream.Receive(milliseconds(1'000));
    }
    request.body = stream.buffer().substr(0, size);
    stream.buffer().erase(0, size);
    const std::string_view meant = request.Field("X-Mangohold-Expect-Instance");
    if (!meant.empty() && meant != id_) {
      stream.Send("HTTP/1.1 421 Misdirected\r\nX-Mangohold-Request-Id: " +
                  std::string(request.Field("X-Mangohold-Request-Id")) +
                  "\r\nX-Mangohold-Not-Executed: 1\r\n"
                  "Content-Length: 0\r\n\r\n");
      continue;
    }
    if (!handler_(request, stream)) return;
  }
}

std::string EngineAnswer(const std::string& engine, const std::string& request,
                         int status, const std::string& body,
                         const std::string& fields) {
  return "HTTP/1.1 " + std::to_string(status) +
         " Standin\r\nX-Mangohold-Request-Id: " + request +
         "\r\nX-Mangohold-Response-Signature: " + engine + "." + request +
         "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

Program::Program(const std::string& binary, const std::string& config,
                 const std::string& log) {
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ != 0) return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) _exit(kCouldNotRun);
  const int out =
      open(log.c_str(), O_CREAT | O_WRONLY | O_TRUNC | O_CLOEXEC, 0644);
  dup2(out, STDOUT_FILENO);
  dup2(out, STDERR_FILENO);
  execl(binary.c_str(), binary.c_str(), "--config", config.c_str(), nullptr);
  _exit(kCouldNotRun);
}

Program::~Program() {
  if (!IsRunning()) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, &status_, 0);
}

void Program::Signal(int signal) const { kill(pid_, signal); }

bool Program::IsRunning() {
  if (is_running_ && waitpid(pid_, &status_, WNOHANG) == pid_) {
    is_running_ = false;
  }
  return is_running_;
}

std::string FreeAddress() {
  static asio::io_context io;
  for (int tries = 0; tries < 100; ++tries) {
    tcp::acceptor acceptor(
        io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    const int port = acceptor.local_endpoint().port();
    static std::vector<int> given;
    if (std::ranges::find(given, port) != given.end()) continue;
    given.push_back(port);
    return "127.0.0.1:" + std::to_string(port);
  }
  std::abort();
}

bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

Site::Site(std::string folder, Record& record)
    : folder_(std::move(folder)),
      record_(record),
      store_address_(FreeAddress()),
      store_(std::make_unique<mangohold::standin::KvStore>(store_address_)) {}

Site::~Site() = default;

void Site::PutConfig(const std::vector<RouteSpec>& routes,
                     const std::vector<std::string>& services) {
  Json route_list = Json::array();
  for (const RouteSpec& route : routes) {
    route_list.push_back({{"name", route.name},
                          {"host", "h.example"},
                          {"prefix", "/" + route.name + "/"},
                          {"route_type", route.kind},
                          {"timeout_ms", route.timeout_ms},
                          {"target_latency_ms", 400},
                          {"target_gap_ms", 120},
                          {"priority", 1},
                          {"max_attempts", route.max_attempts},
                          {"anonymous", false},
                          {"sticky", false},
                          {"stream_resume", false},
                          {"service", route.service}});
  }
  Json service_list = Json::array();
  for (const std::string& service : services) {
    service_list.push_back({{"name", service}, {"max_connections", 96}});
  }
  store_->Put("op/config",
              Json{{"version", 1},
                   {"routes", route_list},
                   {"services", service_list},
                   {"limits",
                    {{"max_header_bytes", 16'000},
                     {"max_body_bytes", 4'194'304},
                     {"header_timeout_ms", 5'000},
                     {"idle_timeout_ms", 15'000}}},
                   {"tenants", {{{"name", "sales"}, {"api_keys", {"k"}}}}}}
                  .dump());
}

void Site::PutEngine(const Engine& engine, const std::string& service,
                     int slots) {
  store_->Put("servers/" + engine.id(), Json{{"service", service},
                                             {"address", engine.address()},
                                             {"zone", "gl-north"},
                                             {"version", 1},
                                             {"slots", slots},
                                             {"state", "ready"},
                                             {"cold_remaining_ms", 0},
                                             {"sequence", 1}}
                                            .dump());
}

std::string Site::WriteConfig(const std::string& name, const Json& settings) {
  std::string file = folder_ + "/" + name + ".jsonc";
  std::ofstream(file) << settings.dump(2);
  return file;
}

// The figures are those of a sheet's bounds.
bool Site::StartEntry(const std::string& name) {
  const std::string ready = FreeAddress();
  callers_[name] = FreeAddress();
  const std::string config =
      WriteConfig(name, {{"instance", name},
                         {"zone", "gl-north"},
                         {"platform_url", "http://" + store_address_},
                         {"caller_address", callers_[name]},
                         {"ready_address", ready},
                         {"directory_address", FreeAddress()},
                         {"peer_address", FreeAddress()},
                         {"metrics_address", FreeAddress()},
                         {"revocation_ms", 5'000},
                         {"grace_s", 8.0},
                         {"retry_ratio", 0.2},
                         {"retry_slack", 94.0},
                         {"retry_window_s", 10},
                         {"cold_overrun", 1.5},
                         {"cold_slack", 5},
                         {"regions", {{"gl-north", "great-lakes"}}}});
  programs_[name] = std::make_unique<Program>(
      "target/mangohold-direct-entry", config, folder_ + "/" + name + ".log");
  for (milliseconds waited{0}; waited < kStartLimit; waited += kStep) {
    const Answer answer =
        Call(ready, RequestText("GET", "/mangohold/readyz", "Host: ready\r\n"),
             milliseconds(500));
    if (answer.status == 200) {
      record_.Write(name + " is ready at " + callers_[name]);
      return true;
    }
    if (!programs_[name]->IsRunning()) break;
    std::this_thread::sleep_for(kStep);
  }
  record_.Write(name + " isn't ready");
  return false;
}

bool Site::StartAgent(const std::string& name, const std::string& service,
                      const std::string& engine) {
  const std::string config =
      WriteConfig(name, {{"instance", name},
                         {"zone", "gl-north"},
                         {"service", service},
                         {"platform_url", "http://" + store_address_},
                         {"backend_address", engine},
                         {"peer_address", FreeAddress()},
                         {"metrics_address", FreeAddress()},
                         {"link_mbps", 20}});
  programs_[name] = std::make_unique<Program>(
      "target/mangohold-rank-agent", config, folder_ + "/" + name + ".log");
  std::this_thread::sleep_for(milliseconds(300));
  return programs_[name]->IsRunning();
}

void Site::PutModelConfig(const std::string& service, const Json& engine) {
  store_->Put("op/config",
              Json{{"version", 1},
                   {"routes", Json::array()},
                   {"services", {{{"name", service}, {"engine", engine}}}}}
                  .dump());
}

void Site::RestartAgent(const std::string& name) {
  programs_.erase(name);
  programs_[name] = std::make_unique<Program>(
      "target/mangohold-rank-agent", folder_ + "/" + name + ".jsonc",
      folder_ + "/" + name + "-again.log");
}

}  // namespace review
