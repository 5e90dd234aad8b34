#include "core/machine_memory.h"

#include <algorithm>
#include <fstream>
#include <limits>
#include <string>
#include <string_view>

#include "core/log.h"

namespace mangohold {
namespace {

namespace fs = std::filesystem;

constexpr std::int64_t kKilobyte = 1 << 10;
constexpr std::int64_t kMegabyte = 1 << 20;
// Version 1 writes the largest number of whole pages for "no limit".
constexpr std::int64_t kNoLimit = std::int64_t{1} << 62;
// The smallest machine of the deployments, for systems that report nothing.
constexpr int kLeastMachineMb = 112;

using Bytes = std::optional<std::int64_t>;

Bytes Least(const Bytes& one, const Bytes& other) {
  if (!one) return other;
  return other ? std::min(*one, *other) : one;
}

Bytes ReadMachine(const fs::path& file) {
  std::ifstream in(file);
  std::string name;
  std::int64_t kilobytes = 0;
  while (in >> name) {
    if (name == "MemTotal:") {
      if (!(in >> kilobytes) || kilobytes <= 0) return std::nullopt;
      return kilobytes * kKilobyte;
    }
    in.ignore(std::numeric_limits<std::streamsize>::max(), '\n');
  }
  return std::nullopt;
}

// The file of one group; version 2 writes "max" for "no limit".
Bytes ReadLimit(const fs::path& file) {
  std::ifstream in(file);
  std::int64_t bytes = 0;
  if (!(in >> bytes) || bytes < 0 || bytes >= kNoLimit) return std::nullopt;
  return bytes;
}

// The least limit of the group and those above it. Inside a container the path
// may be the host's, of which only the mounted root is there.
Bytes ReadLimits(const fs::path& root, const std::string& group,
                 const char* file) {
  fs::path path = fs::path("/" + group).lexically_normal().relative_path();
  Bytes least = ReadLimit(root / file);
  for (; !path.empty(); path = path.parent_path()) {
    least = Least(least, ReadLimit(root / path / file));
  }
  return least;
}

// Whether a comma separated list of controllers has that of memory.
bool HasMemory(std::string_view controllers) {
  constexpr std::string_view kMemory = ",memory,";
  return ("," + std::string(controllers) + ",").find(kMemory) !=
         std::string::npos;
}

// A line is a number, a list of controllers and a path, between colons;
// version 2 has no controllers there.
Bytes ReadGroup(const MemoryFiles& files, const std::string& line) {
  const std::size_t first = line.find(':');
  if (first == std::string::npos) return std::nullopt;
  const std::size_t second = line.find(':', first + 1);
  if (second == std::string::npos) return std::nullopt;
  const std::string controllers = line.substr(first + 1, second - first - 1);
  const std::string group = line.substr(second + 1);
  if (HasMemory(controllers)) {
    return ReadLimits(files.version1, group, "memory.limit_in_bytes");
  }
  Bytes least;
  if (!controllers.empty()) return least;
  for (const fs::path& root : files.version2) {
    least = Least(least, ReadLimits(root, group, "memory.max"));
  }
  return least;
}

std::int64_t ToMb(const Bytes& bytes) { return bytes.value_or(0) / kMegabyte; }

}  // namespace

ReportedMemory ReadReportedMemory(const MemoryFiles& files) {
  ReportedMemory reported = {.machine_bytes = ReadMachine(files.machine)};
  std::ifstream in(files.groups);
  for (std::string line; std::getline(in, line);) {
    reported.group_bytes = Least(reported.group_bytes, ReadGroup(files, line));
  }
  return reported;
}

int MemoryInForceMb(const StatedMemory& stated,
                    const ReportedMemory& reported) {
  if (stated.is_unlimited) return 0;
  if (stated.mb > 0) return stated.mb;
  const Bytes least = Least(reported.machine_bytes, reported.group_bytes);
  if (!least) return kLeastMachineMb;
  // 0 would be no limit.
  constexpr std::int64_t kMost = std::numeric_limits<int>::max();
  return static_cast<int>(std::clamp<std::int64_t>(ToMb(least), 1, kMost));
}

int PutMemoryInForce(const StatedMemory& stated, Counters& counters) {
  const ReportedMemory reported = ReadReportedMemory();
  const int in_force_mb = MemoryInForceMb(stated, reported);
  Log(LogLevel::kInfo, "memory_in_force",
      {{"stated_mb", stated.mb},
       {"machine_mb", ToMb(reported.machine_bytes)},
       {"group_mb", ToMb(reported.group_bytes)},
       {"in_force_mb", in_force_mb}});
  counters.Set(Gauge::kMemoryInForceMb, in_force_mb);
  return in_force_mb;
}

}  // namespace mangohold
