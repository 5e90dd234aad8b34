// What the main functions of the daemons have in common.
#pragma once

#include <cstdio>
#include <string>
#include <string_view>

#include "core/command_line.h"
#include "core/findings.h"
#include "core/log.h"

namespace mangohold {

// Reads the command line and the settings, opens the log and calls `run`.
// Returns the exit code.
template <typename Settings>
int RunDaemon(int argc, char** argv, const char* program,
              Settings (*parse)(const std::string& file, std::string_view text,
                                Findings& findings),
              int (*run)(const Settings& settings)) {
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
  return run(settings);
}

}  // namespace mangohold
