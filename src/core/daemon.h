// What the main functions of the daemons have in common.
#pragma once

#include <cstdio>
#include <cstdlib>
#include <initializer_list>
#include <string>
#include <string_view>

#include "core/command_line.h"
#include "core/findings.h"
#include "core/log.h"
#include "core/status.h"

namespace mangohold {

// True if all of a daemon's parts have started; logs the first that has not.
inline bool HaveStarted(std::initializer_list<absl::Status> parts) {
  for (const absl::Status& status : parts) {
    if (status.ok()) continue;
    Log(LogLevel::kError, "start_failed", {{"error", MessageOf(status)}});
    return false;
  }
  return true;
}

// Ends the process. The operating system releases what is left; destroying it
// would run the handlers of connections that are still open.
[[noreturn]] inline void EndProcess() {
  CloseLog();
  std::quick_exit(kExitOk);
}

// Reads the settings again after SIGHUP and puts the log level in force; all
// else takes a restart. Faulty settings change nothing.
template <typename Settings>
void ReloadLogLevel(const std::string& file,
                    Settings (*parse)(const std::string& file,
                                      std::string_view text,
                                      Findings& findings)) {
  Findings findings;
  const auto text = ReadFile(file);
  if (!text) {
    return Log(LogLevel::kError, "reload_failed", {{"file", file}});
  }
  const Settings settings = parse(file, *text, findings);
  if (!findings.empty()) {
    return Log(LogLevel::kError, "reload_failed",
               {{"findings", findings.ToString()}});
  }
  SetLogLevel(settings.log_level);
  Log(LogLevel::kInfo, "reloaded", {{"file", file}});
}

// Reads the command line and the settings, opens the log and calls `run`.
// Returns the exit code.
template <typename Settings>
int RunDaemon(int argc, char** argv, const char* program,
              Settings (*parse)(const std::string& file, std::string_view text,
                                Findings& findings),
              int (*run)(const Settings& settings, const std::string& file)) {
  int exit_code = kExitOk;
  const auto command = ParseDaemonCommand(argc, argv, program, exit_code);
  if (!command) return exit_code;
  Findings findings;
  const Settings settings =
      parse(command->config_file, command->config_text, findings);
  if (!findings.empty()) {
    std::fputs(findings.ToString().c_str(), stderr);
    return kExitData;
  }
  if (command->check_only) return kExitOk;
  InitLog(program, settings.instance.value(), settings.log_level);
  return run(settings, command->config_file);
}

// The same for daemons that don't read their settings again.
template <typename Settings>
int RunDaemon(int argc, char** argv, const char* program,
              Settings (*parse)(const std::string& file, std::string_view text,
                                Findings& findings),
              int (*run)(const Settings& settings)) {
  static int (*const run_once)(const Settings&) = run;
  return RunDaemon<Settings>(
      argc, argv, program, parse,
      [](const Settings& settings, const std::string& /*file*/) {
        return run_once(settings);
      });
}

}  // namespace mangohold
