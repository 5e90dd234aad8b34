// The verbs of mangoholdctl.
#pragma once

#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"

namespace mangohold {

// The options of one invocation, from the command line and the environment.
struct CtlOptions {
  std::vector<Endpoint> operators{Endpoint("127.0.0.1:7080")};
  std::vector<Endpoint> entries{Endpoint("127.0.0.1:7081")};
  std::string token;
  std::string file;
  std::string revision;  // of --if-revision; empty: the present one
  std::string workspace;
  std::string method = "POST";
  std::string path = "/";
  std::string data;
  std::string priority;
  Millis deadline{30'000};
  bool is_repeatable = false;
  bool waits = false;  // zone: until it is in force at every instance
};

// Runs `words` (the verb and its operands). Returns an ExitCode.
int RunCtl(const CtlOptions& options, const std::vector<std::string>& words);

// The text for --help.
std::string CtlHelp();

}  // namespace mangohold
