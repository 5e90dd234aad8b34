// Runs the real programs as processes, with stand-ins around them, so that
// tests can kill, freeze and cut them.
#pragma once

#include <sys/types.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "caller/caller_client.h"
#include "net/http_client.h"
#include "relay.h"

namespace mangohold::testing {

// A child process. What it prints goes to a file; destruction kills it.
class Process {
 public:
  Process(const std::vector<std::string>& command, const std::string& log);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int signal) const;
  // SIGKILL, and waits for the end.
  void Kill();
  // Waits up to `limit` for the end; the exit code, or -1 if it still runs.
  int WaitForExit(Duration limit);
  bool is_running();
  pid_t pid() const { return pid_; }
  // The largest memory that it has had, in MB.
  double peak_memory_mb() const;

 private:
  pid_t pid_ = -1;
  int exit_code_ = -1;
};

// What a test site is made of.
struct SiteOptions {
  std::vector<std::string> zones = {"suva", "nadi", "lautoka"};
  int entries = 1;
  int engines = 0;   // backend servers of service "drafts" (kind model)
  int services = 0;  // backend servers of service "bookings" (kind plain)
  std::vector<std::string> engine_options;
  std::string drafts_document = R"({"kind": "model",
    "repeatable_calls": [{"method": "POST", "path_prefix": "/v1"}],
    "concurrency_limit": 8,
    "cold_start": {"initial_limit": 2, "successes_per_step": 2}})";
  std::string bookings_document = R"({"kind": "plain",
    "repeatable_calls": [{"method": "GET"}],
    "cold_start": {"initial_limit": 8, "successes_per_step": 1}})";
  std::string workspace_document = R"({"max_in_flight": 1000})";
  int address_max_age_ms = 300;
  std::string log_level = "debug";
  // All agents stand before backend server 0, which saves processes.
  bool has_one_backend = false;
  // Entries reach agents through relays, which tests can cut.
  bool has_relays = false;
  // Stated to entries and agents; 0: not stated.
  int memory_mb = 0;
  int max_descriptors = 0;
};

// A running deployment on loopback addresses of its own. Zones are dealt out
// in turn to entries and to the backend servers of each service.
class Site {
 public:
  explicit Site(SiteOptions options);
  ~Site();

  // Starts all processes, brings in the settings, and waits until each agent
  // is open and each entry knows it.
  void Start();

  Endpoint CallerAddress(int entry) const;
  std::vector<Endpoint> CallerAddresses() const;
  Endpoint OperatorAddress(int entry) const;
  // Where the agent takes streams of entries.
  Endpoint AgentAddress(int backend) const;
  // Health and metrics of the agent.
  Endpoint AdminAddress(int backend) const;
  std::string BackendUrl(int backend) const;
  std::string PlatformUrl() const;

  Process& entry(int index) { return *entries_[index]; }
  Process& agent(int index) { return *agents_[index]; }
  Process& backend(int index) { return *backends_[index]; }
  Process& platform() { return *platform_; }
  Relay& relay(int index) { return *relays_[index]; }
  void StartAgent(int index);
  void StartBackend(int index);
  void StartEntry(int index);

  // Replaces a document through an entry; the HTTP status of the answer.
  int PutDocument(const std::string& path, const std::string& text,
                  int entry = 0);
  void SetFaults(const std::string& json);
  // Publishes the instance list, with `leaving` backends marked so.
  void PublishInstances(const std::vector<int>& leaving_backends = {});
  std::string Metrics(int entry) const;
  std::string AgentMetrics(int backend) const;
  // What an engine stand-in says of itself.
  nlohmann::json BackendState(int backend) const;
  // Requests that a service stand-in has run.
  std::size_t RunsAt(int backend) const;
  std::string log_directory() const { return directory_; }

 private:
  // Adds the limits of the machine to the settings of a process.
  void StateLimits(nlohmann::json& settings) const;
  // Sets a document of the start, again until it is accepted.
  void BringIn(const std::string& path, const std::string& text);

  struct Backend {
    std::string zone;
    std::string service;
  };

  std::string Ip(int last) const;
  std::vector<std::string> Seeds() const;
  Endpoint PeerAddress(std::size_t backend) const;
  std::string WriteFile(const std::string& name, const std::string& text);

  SiteOptions options_;
  std::string directory_;
  std::string net_;
  std::vector<Backend> plan_;
  std::unique_ptr<Process> platform_;
  std::vector<std::unique_ptr<Process>> entries_;
  std::vector<std::unique_ptr<Process>> agents_;
  std::vector<std::unique_ptr<Process>> backends_;
  std::vector<std::unique_ptr<Relay>> relays_;
};

// One request to an address, with the fields of a caller.
HttpResponse Send(const Endpoint& address, const std::string& method,
                  const std::string& path, const std::string& body,
                  const HttpFields& fields = {});
// The sample of a metric in Prometheus text, or 0.
double Metric(const std::string& text, const std::string& name);
// Polls `condition` until it holds; false after `limit`.
bool WaitFor(const std::function<bool()>& condition,
             Duration limit = std::chrono::seconds(20));

}  // namespace mangohold::testing
