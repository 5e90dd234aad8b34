// What the drivers of the review's scripts share: a small deployment on
// loopback addresses. The store and the engines are stand-ins within the
// driver; entries and agents are the project's own programs, started as the
// deploy file says.
#pragma once

#include <sys/types.h>

#include <asio.hpp>
#include <atomic>
#include <chrono>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "net/http_message.h"
#include "nlohmann/json.hpp"

namespace mangohold::standin {
class KvStore;
}  // namespace mangohold::standin

namespace review {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;

// Exit codes of a script.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

// Writes lines with the time since the start to a file.
class Record {
 public:
  explicit Record(const std::string& file);
  void Write(const std::string& line);
  double Seconds() const;

 private:
  std::mutex mutex_;
  std::ofstream out_;
  SteadyClock::time_point begin_ = SteadyClock::now();
};

// A blocking connection that gives up after a time-out.
class Stream {
 public:
  explicit Stream(asio::ip::tcp::socket socket, asio::io_context* io = nullptr);

  // Connects to "ip:port"; absent: refused. `receive_buffer` bytes at most
  // wait unread in the kernel; 0: as many as it likes.
  static std::unique_ptr<Stream> Connect(const std::string& address,
                                         int receive_buffer = 0);

  bool Send(const std::string& text);
  // Appends what arrives within `limit` to `buffer()`. False at the end of the
  // connection, or if nothing has come; `has_ended()` tells which.
  bool Receive(milliseconds limit, std::size_t most = 65'536);
  std::string& buffer() { return buffer_; }
  bool has_ended() const { return has_ended_; }
  bool was_reset() const { return was_reset_; }
  // Closes it with a reset.
  void Reset();
  // The peer has closed, or sent something unasked.
  bool IsClosedByPeer();

 private:
  bool IsReadable(milliseconds limit);

  std::unique_ptr<asio::io_context> own_io_;
  asio::ip::tcp::socket socket_;
  std::string buffer_;
  bool has_ended_ = false;
  bool was_reset_ = false;
};

struct Answer {
  int status = 0;  // 0: none
  mangohold::HttpFields fields;
  std::string body;
  bool is_whole = false;
  std::string Field(const char* name) const {
    return std::string(mangohold::FieldValue(fields, name));
  }
};

// Reads one answer, with a length or in chunks.
Answer ReadAnswer(Stream& stream, milliseconds limit);
// Sends one request on a connection of its own.
Answer Call(const std::string& address, const std::string& request,
            milliseconds limit);
// The text of a request; `fields` are lines, each with its end.
std::string RequestText(const std::string& method, const std::string& target,
                        const std::string& fields,
                        const std::string& body = "");

// An engine: hands each request to a handler on its connection's thread. The
// handler answers on the stream, and returns false to close it.
class Engine {
 public:
  using Handler = std::function<bool(const mangohold::HttpRequest& request,
                                     Stream& stream)>;

  Engine(std::string id, Handler handler);
  ~Engine();
  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;

  const std::string& id() const { return id_; }
  const std::string& address() const { return address_; }

 private:
  void Accept();
  void Serve(Stream& stream);

  std::string id_;
  Handler handler_;
  asio::io_context io_;
  asio::ip::tcp::acceptor acceptor_;
  std::string address_;
  std::atomic<bool> is_ending_ = false;
  std::vector<std::thread> threads_;
  std::thread acceptor_thread_;
};

// A whole answer of an engine, with its signature.
std::string EngineAnswer(const std::string& engine, const std::string& request,
                         int status, const std::string& body,
                         const std::string& fields = "");

// A program of the project, as a process that ends with this one.
class Program {
 public:
  Program(const std::string& binary, const std::string& config,
          const std::string& log);
  ~Program();
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;

  void Signal(int signal) const;
  // Whether it still runs; `status()` tells how it ended.
  bool IsRunning();
  int status() const { return status_; }
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = -1;
  bool is_running_ = true;
  int status_ = 0;
};

// A route of the deployment.
struct RouteSpec {
  std::string name;
  std::string kind;
  std::string service;
  int timeout_ms = 8'000;
  int max_attempts = 1;
};

class Site {
 public:
  // `folder` takes the settings and logs.
  Site(std::string folder, Record& record);
  ~Site();
  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;

  // Writes the configuration, with a key "k" of tenant "sales".
  void PutConfig(const std::vector<RouteSpec>& routes,
                 const std::vector<std::string>& services);
  void PutEngine(const Engine& engine, const std::string& service, int slots);
  // Starts an entry with the settings that the platform fills in, and waits
  // until it is ready.
  bool StartEntry(const std::string& name);
  bool StartAgent(const std::string& name, const std::string& service,
                  const std::string& engine);

  // The configuration of a service of model engines alone.
  void PutModelConfig(const std::string& service, const Json& engine);
  // Starts the agent again with the settings that it had.
  void RestartAgent(const std::string& name);

  Program& program(const std::string& name) { return *programs_.at(name); }
  const std::string& caller_address(const std::string& entry) const {
    return callers_.at(entry);
  }

 private:
  std::string WriteConfig(const std::string& name, const Json& settings);

  std::string folder_;
  Record& record_;
  std::string store_address_;
  std::unique_ptr<mangohold::standin::KvStore> store_;
  std::map<std::string, std::unique_ptr<Program>> programs_;
  std::map<std::string, std::string> callers_;
};

// A free loopback address, "ip:port".
std::string FreeAddress();
// Header lines of a client's request.
std::string ClientFields(const std::string& id, int deadline_ms);
// False where the environment says TROUBLE=0.
bool HasTrouble();

}  // namespace review
