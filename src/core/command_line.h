// The command line that the daemons share, and conventional exit codes.
#pragma once

#include <optional>
#include <string>

namespace mangohold {

inline constexpr char kVersion[] = "0.1.0";

// Exit codes, after sysexits.h where that has one.
enum ExitCode {
  kExitOk = 0,
  kExitFailure = 1,  // refused or not accepted
  kExitUnknown = 2,  // the outcome is not known
  kExitUsage = 64,   // the command line was wrong
  kExitData = 65,    // the settings were wrong
  kExitUnavailable = 69
};

struct DaemonCommand {
  std::string config_file;
  std::string config_text;  // the file's content
  bool check_only = false;  // --check-config
};

// Reads the daemon's options and its settings file. When the process is to end
// at once (--help, --version, a wrong option), gives no command and sets
// `exit_code`.
std::optional<DaemonCommand> ParseDaemonCommand(int argc, char** argv,
                                                const char* program,
                                                int& exit_code);

// The content of a file, or nothing if it can't be read.
std::optional<std::string> ReadFile(const std::string& path);

}  // namespace mangohold
