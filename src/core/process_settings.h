// The settings file of one process: who it is and where its peers are. All that
// operators change while the system runs lives in the settings tree instead.
#pragma once

#include <map>
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

// What the settings of a process say of its memory.
struct StatedMemory {
  int mb = 0;  // of the machine; 0: not stated
  bool is_unlimited = false;
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
  StatedMemory memory;
  int max_descriptors = 0;  // that the process may open; 0: unknown
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
  StatedMemory memory;
  int max_descriptors = 0;  // that the process may open; 0: unknown
};

// An entry that sends to backend servers directly, without agents as gates.
struct DirectEntrySettings {
  InstanceId instance;
  ZoneName zone;
  std::string platform_url;
  Endpoint caller_address;     // callers' requests
  Endpoint ready_address;      // readiness
  Endpoint directory_address;  // callers ask which addresses to use
  Endpoint peer_address;       // datagrams of other processes
  Endpoint metrics_address;
  LogLevel log_level = LogLevel::kInfo;
  int max_connections = 3'000;
  StatedMemory memory;
  int max_descriptors = 0;  // that the process may open; 0: unknown
  Millis address_max_age{1'000};
  // In a larger fleet two entries of a zone follow the store for the others.
  int most_direct_followers = 12;
  // A key that operators took away opens nothing after this.
  Millis revocation{5'000};
  double grace_s = 8;  // from SIGTERM to the end of the process
  // Retries of all entries together: a part of the requests, and some more, in
  // any window of this length.
  double retry_ratio = 0.2;
  double retry_slack = 0;
  double retry_window_s = 10;
  // All entries together send a cold backend server this times its rate, and
  // some more, in a second.
  double cold_overrun = 1;
  double cold_slack = 0;
  // Longest time that a pass of a group may take, as a fraction of the shortest
  // target gap of the routes to its service. Ranks get only so many requests;
  // 0: no limit.
  double pass_gap_fraction = 0;
  // At most this fraction of each backend server's slots stays free for more
  // urgent requests; 0: none.
  double priority_reserve = 0;
  // Time for which engines are believed to keep the beginning of a prompt after
  // its last use; 0: they keep none.
  double prompt_retention_s = 0;
  std::map<std::string, std::string> regions;  // of the zones, by zone
  double cpu_share = 0;  // of the machine, in cores; 0: unknown
};

// The agent of an engine that is a rank of a group, on the direct way.
struct RankAgentSettings {
  InstanceId instance;
  ZoneName zone;
  ServiceName service;
  std::string platform_url;
  Endpoint backend_address;  // the engine
  Endpoint peer_address;     // datagrams of other processes
  Endpoint metrics_address;
  LogLevel log_level = LogLevel::kInfo;
  double link_mbps = 1'000;  // of the machine
};

// All read a whole file; faults go to `findings`.
EntrySettings ParseEntrySettings(const std::string& file, std::string_view text,
                                 Findings& findings);
AgentSettings ParseAgentSettings(const std::string& file, std::string_view text,
                                 Findings& findings);
RankAgentSettings ParseRankAgentSettings(const std::string& file,
                                         std::string_view text,
                                         Findings& findings);
DirectEntrySettings ParseDirectEntrySettings(const std::string& file,
                                             std::string_view text,
                                             Findings& findings);

}  // namespace mangohold
