// How much memory a process may count on: what its settings state, or what its
// machine and its control groups report.
#pragma once

#include <cstdint>
#include <filesystem>
#include <optional>
#include <vector>

#include "core/counters.h"
#include "core/process_settings.h"

namespace mangohold {

// Where the system reports memory.
struct MemoryFiles {
  std::filesystem::path machine = "/proc/meminfo";
  // The control groups that the process belongs to.
  std::filesystem::path groups = "/proc/self/cgroup";
  // Where the hierarchies are mounted. Version 2 has a place of its own on
  // machines that use both.
  std::filesystem::path version1 = "/sys/fs/cgroup/memory";
  std::vector<std::filesystem::path> version2 = {"/sys/fs/cgroup",
                                                 "/sys/fs/cgroup/unified"};
};

// What the system reports; without a value where nothing is readable, and for
// control groups also where none has a limit.
struct ReportedMemory {
  std::optional<std::int64_t> machine_bytes;
  // The least limit of the process's control groups and those above them.
  std::optional<std::int64_t> group_bytes;
};

ReportedMemory ReadReportedMemory(const MemoryFiles& files = {});

// The memory that a process counts on, in MB: what is stated, else the least
// that is reported. 0, no limit, only if that is stated.
int MemoryInForceMb(const StatedMemory& stated, const ReportedMemory& reported);

// The same by the reports of this system; logs it and sets its gauge.
int PutMemoryInForce(const StatedMemory& stated, Counters& counters);

}  // namespace mangohold
