// The operators' command line: reads the options and runs one verb.
#include <getopt.h>

#include <array>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <cstring>

#include "core/command_line.h"
#include "operator/ctl.h"

namespace mangohold {
namespace {

enum LongOnly { kPriority = 1000, kDeadline, kRepeatable, kWait };

std::vector<Endpoint> SplitAddresses(std::string_view list) {
  std::vector<Endpoint> out;
  while (!list.empty()) {
    const std::size_t end = std::min(list.find(','), list.size());
    out.emplace_back(std::string(list.substr(0, end)));
    list.remove_prefix(std::min(end + 1, list.size()));
  }
  return out;
}

bool ParseDeadline(const char* text, Millis& deadline) {
  std::int64_t millis = 0;
  const char* end = text + std::strlen(text);
  const auto result = std::from_chars(text, end, millis);
  deadline = Millis(millis);
  return result.ec == std::errc() && result.ptr == end && millis > 0;
}

// Takes one option in; false if it is wrong.
bool Apply(int choice, CtlOptions& options) {
  switch (choice) {
    case 'o':
      options.operators = SplitAddresses(optarg);
      return !options.operators.empty();
    case 'e':
      options.entries = SplitAddresses(optarg);
      return !options.entries.empty();
    case 't':
      options.token = optarg;
      return true;
    case 'f':
      options.file = optarg;
      return true;
    case 'r':
      options.revision = optarg;
      return true;
    case 'w':
      options.workspace = optarg;
      return true;
    case 'X':
      options.method = optarg;
      return true;
    case 'p':
      options.path = optarg;
      return true;
    case 'd':
      options.data = optarg;
      return true;
    case kPriority:
      options.priority = optarg;
      return true;
    case kDeadline:
      return ParseDeadline(optarg, options.deadline);
    case kRepeatable:
      options.is_repeatable = true;
      return true;
    case kWait:
      options.waits = true;
      return true;
    default:
      return false;
  }
}

int Main(int argc, char** argv) {
  const std::array<option, 16> kOptions = {
      {{"operator", required_argument, nullptr, 'o'},
       {"entry", required_argument, nullptr, 'e'},
       {"token", required_argument, nullptr, 't'},
       {"file", required_argument, nullptr, 'f'},
       {"if-revision", required_argument, nullptr, 'r'},
       {"workspace", required_argument, nullptr, 'w'},
       {"method", required_argument, nullptr, 'X'},
       {"path", required_argument, nullptr, 'p'},
       {"data", required_argument, nullptr, 'd'},
       {"priority", required_argument, nullptr, kPriority},
       {"deadline-ms", required_argument, nullptr, kDeadline},
       {"repeatable", no_argument, nullptr, kRepeatable},
       {"wait", no_argument, nullptr, kWait},
       {"help", no_argument, nullptr, 'h'},
       {"version", no_argument, nullptr, 'V'},
       {nullptr, 0, nullptr, 0}}};
  CtlOptions options;
  if (const char* token = std::getenv("MANGOHOLD_TOKEN")) options.token = token;
  int choice = 0;
  while ((choice = getopt_long(argc, argv, "o:e:t:f:r:w:X:p:d:hV",
                               kOptions.data(), nullptr)) != -1) {
    if (choice == 'h') {
      std::fputs(CtlHelp().c_str(), stdout);
      return kExitOk;
    }
    if (choice == 'V') {
      std::printf("mangoholdctl %s\n", kVersion);
      return kExitOk;
    }
    if (!Apply(choice, options)) return kExitUsage;
  }
  return RunCtl(options, {argv + optind, argv + argc});
}

}  // namespace
}  // namespace mangohold

int main(int argc, char** argv) { return mangohold::Main(argc, argv); }
