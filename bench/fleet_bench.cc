// The cost and the speed of spreading settings, on real processes: the time
// from a change's acceptance to its being in force at the last instance, calls
// on the store, and each role's control bytes, processor time and memory,
// against the number of processes. Prints JSON lines.
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "harness.h"

namespace mangohold::testing {
namespace {

constexpr int kChanges = 20;
constexpr std::chrono::seconds kIdleTime{5};

// Milliseconds within the day of a log line's "HH:MM:SS.mmm".
std::int64_t MillisOfDay(const std::string& time) {
  const std::string clock = time.substr(time.find('T') + 1);
  return std::stoi(clock.substr(0, 2)) * 3'600'000LL +
         std::stoi(clock.substr(3, 2)) * 60'000LL +
         std::stoi(clock.substr(6, 2)) * 1'000LL +
         std::stoi(clock.substr(9, 3));
}

// By revision: when it came into force at the last process, and when it was
// reported as accepted.
struct Change {
  std::int64_t accepted = 0;
  std::int64_t last_in_force = 0;
  int processes = 0;
};

std::map<std::uint64_t, Change> ReadLogs(const std::string& directory) {
  std::map<std::uint64_t, Change> changes;
  for (const auto& file : std::filesystem::directory_iterator(directory)) {
    if (file.path().extension() != ".log") continue;
    std::ifstream in(file.path());
    for (std::string line; std::getline(in, line);) {
      const auto json = nlohmann::json::parse(line, nullptr, false);
      if (!json.is_object()) continue;
      const std::string event = json.value("event", "");
      if (event != "configuration_in_force" && event != "change_done") continue;
      Change& change = changes[json.value("revision", std::uint64_t{0})];
      const std::int64_t time = MillisOfDay(json["time"]);
      if (event == "change_done") {
        change.accepted = time;
      } else {
        change.last_in_force = std::max(change.last_in_force, time);
        ++change.processes;
      }
    }
  }
  return changes;
}

double CpuSeconds(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
  std::string text;
  std::getline(in, text);
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skipped;
  for (int i = 0; i < 11; ++i) fields >> skipped;
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double ResidentMb(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/statm");
  double size = 0;
  double resident = 0;
  in >> size >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

double StoreCalls(const Site& site) {
  const HttpResponse response =
      FetchAndWait({.method = "POST",
                    .url = site.PlatformUrl() + "/standin/faults",
                    .body = "{}"});
  return nlohmann::json::parse(response.body)["calls"].get<double>();
}

void Measure(int entries, int agents) {
  SiteOptions options{.entries = entries, .services = agents};
  options.has_one_backend = true;
  options.log_level = "info";
  Site site(options);
  site.Start();
  // 1. At rest.
  std::this_thread::sleep_for(std::chrono::seconds(2));
  const double calls = StoreCalls(site);
  const double entry_cpu = CpuSeconds(site.entry(0).pid());
  const double agent_cpu = CpuSeconds(site.agent(0).pid());
  const double entry_bytes =
      Metric(site.Metrics(0), "mangohold_control_bytes_total");
  const double agent_bytes =
      Metric(site.AgentMetrics(0), "mangohold_control_bytes_total");
  std::this_thread::sleep_for(kIdleTime);
  const double time = ToSeconds(kIdleTime);
  nlohmann::json line = {
      {"entries", entries},
      {"agents", agents},
      {"store_calls_per_s", (StoreCalls(site) - calls) / time},
      {"entry_cpu_percent",
       100 * (CpuSeconds(site.entry(0).pid()) - entry_cpu) / time},
      {"agent_cpu_percent",
       100 * (CpuSeconds(site.agent(0).pid()) - agent_cpu) / time},
      {"entry_control_bytes_per_s",
       (Metric(site.Metrics(0), "mangohold_control_bytes_total") -
        entry_bytes) /
           time},
      {"agent_control_bytes_per_s",
       (Metric(site.AgentMetrics(0), "mangohold_control_bytes_total") -
        agent_bytes) /
           time},
      {"entry_mb", ResidentMb(site.entry(0).pid())},
      {"agent_mb", ResidentMb(site.agent(0).pid())}};
  // 2. Changes.
  const std::uint64_t before = nlohmann::json::parse(
      Send(site.OperatorAddress(0), "GET", "/v1/status", "").body)["revision"];
  for (int i = 0; i < kChanges; ++i) {
    site.PutDocument("/workspaces/sales",
                     "{\"max_in_flight\": " + std::to_string(1'000 + i) + "}");
    std::this_thread::sleep_for(Millis(100));
  }
  std::this_thread::sleep_for(std::chrono::seconds(1));
  std::vector<std::int64_t> delays;
  int missing = 0;
  for (const auto& [revision, change] : ReadLogs(site.log_directory())) {
    if (revision <= before || change.accepted == 0) continue;
    delays.push_back(
        std::max<std::int64_t>(0, change.last_in_force - change.accepted));
    if (change.processes < entries + agents) ++missing;
  }
  std::ranges::sort(delays);
  line["changes"] = delays.size();
  line["changes_not_everywhere"] = missing;
  if (!delays.empty()) {
    line["in_force_p50_ms"] = delays[delays.size() / 2];
    line["in_force_max_ms"] = delays.back();
  }
  std::printf("%s\n", line.dump().c_str());
  std::fflush(stdout);
}

}  // namespace
}  // namespace mangohold::testing

int main() {
  using mangohold::testing::Measure;
  Measure(3, 15);
  Measure(9, 15);
  Measure(9, 60);
  Measure(9, 145);
  Measure(30, 60);
}
