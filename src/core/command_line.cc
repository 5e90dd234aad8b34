#include "core/command_line.h"

#include <getopt.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <sstream>

namespace mangohold {
namespace {

void PrintHelp(const char* program) {
  std::printf(
      "Usage: %s --config FILE [--check-config]\n\n"
      "  -c, --config FILE    settings, in JSON with comments\n"
      "      --check-config   check the settings and exit\n"
      "  -h, --help           print this help and exit\n"
      "  -V, --version        print the version and exit\n",
      program);
}

}  // namespace

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) return std::nullopt;
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

std::optional<DaemonCommand> ParseDaemonCommand(int argc, char** argv,
                                                const char* program,
                                                int& exit_code) {
  constexpr int kCheckConfig = 1000;
  const std::array<option, 5> options = {
      {{"config", required_argument, nullptr, 'c'},
       {"check-config", no_argument, nullptr, kCheckConfig},
       {"help", no_argument, nullptr, 'h'},
       {"version", no_argument, nullptr, 'V'},
       {nullptr, 0, nullptr, 0}}};
  DaemonCommand command;
  int choice = 0;
  while ((choice = getopt_long(argc, argv, "c:hV", options.data(), nullptr)) !=
         -1) {
    switch (choice) {
      case 'c':
        command.config_file = optarg;
        break;
      case kCheckConfig:
        command.check_only = true;
        break;
      case 'h':
        PrintHelp(program);
        exit_code = kExitOk;
        return std::nullopt;
      case 'V':
        std::printf("%s %s\n", program, kVersion);
        exit_code = kExitOk;
        return std::nullopt;
      default:
        exit_code = kExitUsage;
        return std::nullopt;
    }
  }
  if (command.config_file.empty() || optind < argc) {
    std::fprintf(stderr, "%s: --config FILE is needed and nothing else\n",
                 program);
    exit_code = kExitUsage;
    return std::nullopt;
  }
  auto text = ReadFile(command.config_file);
  if (!text) {
    std::fprintf(stderr, "%s: can't read %s\n", program,
                 command.config_file.c_str());
    exit_code = kExitData;
    return std::nullopt;
  }
  command.config_text = std::move(*text);
  return command;
}

}  // namespace mangohold
