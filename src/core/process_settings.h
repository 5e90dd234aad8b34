// The settings file of one process: who it is and where its peers are. All that
// operators change while the system runs lives in the settings tree instead.
#pragma once

#include <string>
#include <vector>

#include "core/clock.h"
#include "core/findings.h"
#include "core/ids.h"
#include "core/log.h"

namespace mangohold {

// An operator's token and the subtree that it opens, such as "/zones/".
struct OperatorToken {
  std::string name;
  std::string token;
  std::string subtree;
};

struct EntrySettings {
  InstanceId instance;
  ZoneName zone;
  Endpoint caller_address;         // callers' HTTP
  Endpoint operator_address;       // operators' HTTP
  Endpoint control_address;        // other processes ask for settings here
  std::vector<std::string> seeds;  // entries' control addresses
  std::string platform_url;
  LogLevel log_level = LogLevel::kInfo;
  int max_requests = 2'000;
  Millis address_max_age{5'000};
  // How long a leaving entry waits for requests in progress.
  Millis leave_limit{60'000};
  std::vector<OperatorToken> operators;
};

struct AgentSettings {
  InstanceId instance;
  ZoneName zone;
  ServiceName service;
  Endpoint peer_address;           // entries connect here
  Endpoint admin_address;          // health and metrics
  std::vector<std::string> seeds;  // entries' control addresses
  std::string backend_url;
  std::string platform_url;
  LogLevel log_level = LogLevel::kInfo;
  Millis confirmation_limit{2'500};
  Millis leave_limit{60'000};
};

// Both read a whole file; faults go to `findings`.
EntrySettings ParseEntrySettings(const std::string& file, std::string_view text,
                                 Findings& findings);
AgentSettings ParseAgentSettings(const std::string& file, std::string_view text,
                                 Findings& findings);

}  // namespace mangohold
