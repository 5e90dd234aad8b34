#include "harness.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>

namespace mangohold::testing {
namespace {

// Ends a start that would only make a test fail later, at another place.
void Require(bool condition, const std::string& failure) {
  if (!condition) throw std::runtime_error("Site::Start: " + failure);
}

constexpr int kOk = 200;
constexpr int kPlatformHost = 1;
constexpr int kFirstEntryHost = 10;
constexpr int kFirstBackendHost = 100;
constexpr Duration kPollInterval = std::chrono::milliseconds(10);

std::string Program(const std::string& name) {
  return std::string(MANGOHOLD_BINARY_DIR) + "/" + name;
}

}  // namespace

Process::Process(const std::vector<std::string>& command,
                 const std::string& log) {
  // One place more than there are words, for the null pointer at the end.
  std::vector<char*> arguments(command.size() + 1);
  std::ranges::transform(command, arguments.begin(), [](const auto& word) {
    return const_cast<char*>(word.c_str());
  });
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDERR_FILENO, STDOUT_FILENO);
  const int error = posix_spawn(&pid_, arguments[0], &actions, nullptr,
                                arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) pid_ = -1;
}

Process::~Process() { Kill(); }

void Process::Signal(int signal) const {
  if (pid_ > 0) kill(pid_, signal);
}

void Process::Kill() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = -1;
}

double Process::peak_memory_mb() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
  std::string name;
  double kilobytes = 0;
  while (file >> name) {
    if (name == "VmHWM:" && file >> kilobytes) return kilobytes / 1024;
  }
  return 0;
}

bool Process::is_running() { return WaitForExit(Duration::zero()) < 0; }

int Process::WaitForExit(Duration limit) {
  const TimePoint end = Clock::now() + limit;
  while (pid_ > 0) {
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == pid_) {
      pid_ = -1;
      exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128;
    } else if (Clock::now() >= end) {
      return -1;
    } else {
      std::this_thread::sleep_for(kPollInterval);
    }
  }
  return exit_code_;
}

Site::Site(SiteOptions options) : options_(std::move(options)) {
  const int pid = getpid();
  net_ = "127." + std::to_string(16 + pid / 250 % 200) + "." +
         std::to_string(pid % 250) + ".";
  directory_ = std::filesystem::temp_directory_path() /
               ("mangohold-test-" + std::to_string(pid));
  std::filesystem::remove_all(directory_);
  std::filesystem::create_directories(directory_);
  const auto plan = [this](int count, const std::string& service) {
    for (int i = 0; i < count; ++i) {
      plan_.push_back({options_.zones[i % options_.zones.size()], service});
    }
  };
  plan(options_.engines, "drafts");
  plan(options_.services, "bookings");
}

Site::~Site() {
  entries_.clear();
  agents_.clear();
  backends_.clear();
  platform_.reset();
  if (std::getenv("MANGOHOLD_KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(directory_);
  }
}

std::string Site::Ip(int last) const { return net_ + std::to_string(last); }

Endpoint Site::CallerAddress(int entry) const {
  return Endpoint(Ip(kFirstEntryHost + entry) + ":8080");
}

std::vector<Endpoint> Site::CallerAddresses() const {
  std::vector<Endpoint> out(static_cast<std::size_t>(options_.entries));
  std::ranges::generate(out,
                        [this, i = 0]() mutable { return CallerAddress(i++); });
  return out;
}

Endpoint Site::OperatorAddress(int entry) const {
  return Endpoint(Ip(kFirstEntryHost + entry) + ":8081");
}

Endpoint Site::AgentAddress(int backend) const {
  return Endpoint(Ip(kFirstBackendHost + backend) + ":7070");
}

Endpoint Site::AdminAddress(int backend) const {
  return Endpoint(Ip(kFirstBackendHost + backend) + ":7071");
}

std::string Site::BackendUrl(int backend) const {
  return "http://" + Ip(kFirstBackendHost + backend) + ":8000";
}

std::string Site::PlatformUrl() const {
  return "http://" + Ip(kPlatformHost) + ":7000";
}

std::vector<std::string> Site::Seeds() const {
  std::vector<std::string> out(static_cast<std::size_t>(options_.entries));
  std::ranges::generate(out, [this, i = 0]() mutable {
    return Ip(kFirstEntryHost + i++) + ":8082";
  });
  return out;
}

// Where entries connect to reach the agent.
Endpoint Site::PeerAddress(std::size_t backend) const {
  const std::string port = options_.has_relays ? ":7060" : ":7070";
  return Endpoint(Ip(kFirstBackendHost + static_cast<int>(backend)) + port);
}

std::string Site::WriteFile(const std::string& name, const std::string& text) {
  std::string path = directory_ + "/" + name;
  std::ofstream(path) << text;
  return path;
}

void Site::StateLimits(nlohmann::json& settings) const {
  if (options_.memory_mb > 0) settings["memory_mb"] = options_.memory_mb;
  if (options_.max_descriptors > 0) {
    settings["max_descriptors"] = options_.max_descriptors;
  }
}

void Site::StartEntry(int index) {
  nlohmann::json settings = {
      {"instance", "entry-" + std::to_string(index)},
      {"zone", options_.zones[index % options_.zones.size()]},
      {"caller_address", CallerAddress(index).value()},
      {"operator_address", OperatorAddress(index).value()},
      {"control_address", Ip(kFirstEntryHost + index) + ":8082"},
      {"platform_url", PlatformUrl()},
      {"log_level", options_.log_level},
      {"address_max_age_ms", options_.address_max_age_ms},
      {"seeds", Seeds()},
      {"operators",
       {{{"name", "lead"}, {"token", "lead"}, {"subtree", "/"}},
        {{"name", "zones"}, {"token", "zones"}, {"subtree", "/zones/"}}}}};
  StateLimits(settings);
  const std::string name = "entry-" + std::to_string(index);
  entries_[index] = std::make_unique<Process>(
      std::vector<std::string>{Program("mangohold-entry"), "--config",
                               WriteFile(name + ".json", settings.dump())},
      directory_ + "/" + name + ".log");
}

void Site::StartAgent(int index) {
  const std::string ip = Ip(kFirstBackendHost + index);
  nlohmann::json settings = {
      {"instance", "backend-" + std::to_string(index)},
      {"zone", plan_[index].zone},
      {"service", plan_[index].service},
      {"peer_address", AgentAddress(index).value()},
      {"admin_address", AdminAddress(index).value()},
      {"backend_url", BackendUrl(options_.has_one_backend ? 0 : index)},
      {"log_level", options_.log_level},
      {"seeds", Seeds()},
      {"platform_url", PlatformUrl()}};
  StateLimits(settings);
  const std::string name = "agent-" + std::to_string(index);
  agents_[index] = std::make_unique<Process>(
      std::vector<std::string>{Program("mangohold-agent"), "--config",
                               WriteFile(name + ".json", settings.dump())},
      directory_ + "/" + name + ".log");
}

void Site::StartBackend(int index) {
  const bool is_engine = plan_[index].service == "drafts";
  std::vector<std::string> command = {
      Program(is_engine ? "engine_standin" : "service_standin"), "--listen",
      Ip(kFirstBackendHost + index) + ":8000"};
  if (is_engine) {
    command.insert(command.end(), options_.engine_options.begin(),
                   options_.engine_options.end());
  }
  backends_[index] = std::make_unique<Process>(
      command, directory_ + "/backend-" + std::to_string(index) + ".log");
}

void Site::Start() {
  platform_ = std::make_unique<Process>(
      std::vector<std::string>{Program("platform_standin"), "--listen",
                               Ip(kPlatformHost) + ":7000"},
      directory_ + "/platform.log");
  WaitFor([this] {
    return FetchAndWait({.url = PlatformUrl() + "/v1/instances"}).status == 200;
  });
  PublishInstances();
  backends_.resize(plan_.size());
  agents_.resize(plan_.size());
  entries_.resize(options_.entries);
  for (std::size_t i = 0; i < plan_.size(); ++i) {
    if (i == 0 || !options_.has_one_backend) StartBackend(static_cast<int>(i));
    StartAgent(static_cast<int>(i));
  }
  for (std::size_t i = 0; options_.has_relays && i < plan_.size(); ++i) {
    relays_.push_back(std::make_unique<Relay>(
        PeerAddress(i),
        Endpoint(Ip(kFirstBackendHost + static_cast<int>(i)) + ":7070")));
  }
  for (int i = 0; i < options_.entries; ++i) StartEntry(i);
  Require(WaitFor([this] {
            const auto status = nlohmann::json::parse(
                Send(OperatorAddress(0), "GET", "/v1/status", "").body, nullptr,
                false);
            return status.is_object() && status.value("hears_majority", false);
          }),
          "entry 0 hears no majority");
  BringIn("/fleet",
          "{\"expected_entries\": " + std::to_string(options_.entries) + "}");
  for (const std::string& zone : options_.zones) {
    BringIn("/zones/" + zone, R"({"state": "in"})");
  }
  BringIn("/services/drafts", options_.drafts_document);
  BringIn("/services/bookings", options_.bookings_document);
  BringIn("/workspaces/sales", options_.workspace_document);
  BringIn("/workspaces/rentals", options_.workspace_document);
  // Each entry has seen each agent open.
  Require(WaitFor([this] {
            for (int i = 0; i < options_.entries; ++i) {
              if (Metric(Metrics(i), "mangohold_backends_open") <
                  static_cast<double>(plan_.size())) {
                return false;
              }
            }
            return true;
          }),
          "an entry doesn't know all agents to be open");
}

// An entry that has just started may refuse a change.
void Site::BringIn(const std::string& path, const std::string& text) {
  int status = 0;
  const bool is_accepted = WaitFor([&] {
    status = PutDocument(path, text);
    return status == kOk;
  });
  Require(is_accepted, path + " got " + std::to_string(status));
}

int Site::PutDocument(const std::string& path, const std::string& text,
                      int entry) {
  const HttpResponse known =
      Send(OperatorAddress(entry), "GET", "/v1/tree" + path, "");
  const auto body = nlohmann::json::parse(known.body, nullptr, false);
  const std::uint64_t revision =
      body.is_object() ? body.value("revision", std::uint64_t{0}) : 0;
  return Send(OperatorAddress(entry), "PUT",
              "/v1/tree" + path + "?if_revision=" + std::to_string(revision),
              text, {{"Authorization", "Bearer lead"}})
      .status;
}

void Site::SetFaults(const std::string& json) {
  FetchAndWait({.method = "POST",
                .url = PlatformUrl() + "/standin/faults",
                .body = json});
}

void Site::PublishInstances(const std::vector<int>& leaving_backends) {
  nlohmann::json list = nlohmann::json::array();
  for (int i = 0; i < options_.entries; ++i) {
    list.push_back({{"id", "entry-" + std::to_string(i)},
                    {"role", "entry"},
                    {"state", "live"},
                    {"zone", options_.zones[i % options_.zones.size()]},
                    {"control", Ip(kFirstEntryHost + i) + ":8082"},
                    {"caller", CallerAddress(i).value()}});
  }
  for (std::size_t i = 0; i < plan_.size(); ++i) {
    const bool is_leaving =
        std::ranges::find(leaving_backends, static_cast<int>(i)) !=
        leaving_backends.end();
    list.push_back({{"id", "backend-" + std::to_string(i)},
                    {"role", "backend"},
                    {"state", is_leaving ? "leaving" : "live"},
                    {"zone", plan_[i].zone},
                    {"service", plan_[i].service},
                    {"peer", PeerAddress(i).value()}});
  }
  FetchAndWait({.method = "POST",
                .url = PlatformUrl() + "/standin/instances",
                .body = list.dump()});
}

std::string Site::Metrics(int entry) const {
  return Send(CallerAddress(entry), "GET", "/metrics", "").body;
}

std::string Site::AgentMetrics(int backend) const {
  return Send(AdminAddress(backend), "GET", "/metrics", "").body;
}

nlohmann::json Site::BackendState(int backend) const {
  return nlohmann::json::parse(
      FetchAndWait({.url = BackendUrl(backend) + "/standin/state"}).body);
}

std::size_t Site::RunsAt(int backend) const {
  return nlohmann::json::parse(
             FetchAndWait({.url = BackendUrl(backend) + "/standin/runs"}).body)
      .size();
}

HttpResponse Send(const Endpoint& address, const std::string& method,
                  const std::string& path, const std::string& body,
                  const HttpFields& fields) {
  return FetchAndWait({.method = method,
                       .url = "http://" + address.value() + path,
                       .fields = fields,
                       .body = body,
                       .fresh_connection = true});
}

double Metric(const std::string& text, const std::string& name) {
  const std::string start = "\n" + name + " ";
  const std::size_t at = ("\n" + text).find(start);
  return at == std::string::npos
             ? 0
             : std::strtod(text.c_str() + at + start.size() - 1, nullptr);
}

bool WaitFor(const std::function<bool()>& condition, Duration limit) {
  const TimePoint end = Clock::now() + limit;
  while (!condition()) {
    if (Clock::now() >= end) return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

}  // namespace mangohold::testing
