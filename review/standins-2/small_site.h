// A small deployment for the scripts of the review: the entry's program as
// separate processes on loopback addresses, before the project's stand-in of
// the store, and servers and clients whose bytes a script decides.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "standins/kv_store.h"

namespace mangohold::review {

using std::chrono::milliseconds;

// Waits for `duration`.
void Pause(milliseconds duration);

// The lines of record.txt, with the time since the start.
class Record {
 public:
  explicit Record(const std::string& file);
  void Add(const std::string& line);

 private:
  std::mutex mutex_;
  std::ofstream out_;
  std::chrono::steady_clock::time_point began_;
};

// The head and the body of a request or an answer.
struct Message {
  std::string first_line;
  std::map<std::string, std::string> fields;  // by the name in lower case
  std::string body;

  std::string Field(const std::string& name) const;
  int Status() const;  // of an answer
};

// One TCP connection, with blocking reads and writes.
class Stream {
 public:
  explicit Stream(int socket) : socket_(socket) {}
  ~Stream();
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  // Null if nobody listens. `receive_bytes` is the size of the buffer for
  // what hasn't been read yet; 0: as the system chooses.
  static std::unique_ptr<Stream> Connect(const std::string& ip, int port,
                                         int receive_bytes = 0);
  // Nothing if the peer closes first, or after `limit`.
  std::optional<Message> Read(milliseconds limit);
  bool Write(std::string_view bytes);
  // True if the peer closes within `duration`. Reads nothing.
  bool IsClosedWithin(milliseconds duration) const;
  void Close();
  void Reset();

 private:
  bool Fill(std::chrono::steady_clock::time_point end);
  bool TakeChunks(Message& message, std::chrono::steady_clock::time_point end);

  int socket_;
  std::string buffer_;
};

// Serves one address with a thread for each connection, until its end.
class Server {
 public:
  using Handler = std::function<void(const Message&, Stream&)>;

  Server(const std::string& ip, int port, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

 private:
  void Accept();

  int listener_;
  Handler handler_;
  std::atomic<bool> is_ended_ = false;
  std::mutex mutex_;
  std::set<int> sockets_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

// A program of the deploy file. Its output goes to a file.
class Program {
 public:
  Program(const std::string& program, const std::string& settings,
          const std::string& log);
  ~Program();
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;

  void Signal(int signal) const;
  // SIGKILL, and waits for the end.
  void Kill();
  bool IsRunning();
  // How it ended, as `waitpid` says; nothing while it runs.
  std::optional<int> end() const { return end_; }

 private:
  pid_t pid_ = -1;
  std::optional<int> end_;
};

// The whole deployment.
class SmallSite {
 public:
  explicit SmallSite(Record& record);
  ~SmallSite();
  SmallSite(const SmallSite&) = delete;
  SmallSite& operator=(const SmallSite&) = delete;

  // An address of this deployment alone.
  std::string Ip(int last) const;
  standin::KvStore& store() { return *store_; }
  const std::string& directory() const { return directory_; }
  // Writes a configuration with the plain service "desk", the model service
  // "model", and one key, "k", of the tenant "sales".
  void PutConfiguration(int version);
  void ListServer(const std::string& id, const std::string& service,
                  const std::string& address, const std::string& zone,
                  int slots);
  void StartEntry(int index);
  // Waits until the entry is ready.
  bool IsReady(int index) const;
  Program& entry(int index) { return *entries_.at(index); }
  std::unique_ptr<Stream> ConnectTo(int entry, int receive_bytes = 0) const;

 private:
  Record& record_;
  std::string net_;
  std::string directory_;
  std::unique_ptr<standin::KvStore> store_;
  std::map<int, std::unique_ptr<Program>> entries_;
};

// The text of a request of a proper client.
std::string RequestText(const std::string& method, const std::string& path,
                        const std::string& id, int deadline_ms,
                        const std::string& body);
// The text of a proper answer of a server.
std::string AnswerText(int status, const std::string& id,
                       const std::string& body, const std::string& fields = "");

}  // namespace mangohold::review
