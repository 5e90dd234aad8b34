#include "core/process_settings.h"

#include "core/document_reader.h"

namespace mangohold {
namespace {

constexpr Range kLeaveLimitMs = {100, 3'600'000};
constexpr Range kLinkMbps = {1, 1'000'000};
constexpr Range kCpuShare = {0, 1'000};
constexpr Range kMemoryMb = {0, 1'000'000};
constexpr Range kMaxDescriptors = {0, 10'000'000};

void ReadLogLevel(ObjectReader& reader, LogLevel& target) {
  int level = static_cast<int>(target);
  reader.OptionalChoice("log_level", {"debug", "info", "warning", "error"},
                        level);
  target = static_cast<LogLevel>(level);
}

// Reads the members that all daemons have in common.
template <typename Settings>
void ReadProcess(ObjectReader& reader, Settings& settings) {
  reader.Required("instance", settings.instance);
  reader.Required("zone", settings.zone);
  reader.Required("platform_url", settings.platform_url);
  ReadLogLevel(reader, settings.log_level);
}

// Reads what the machine has; 0: not stated.
template <typename Settings>
void ReadMachineLimits(ObjectReader& reader, Settings& settings) {
  StatedMemory& memory = settings.memory;
  reader.Optional("memory_mb", memory.mb, kMemoryMb);
  reader.Optional("unlimited_memory", memory.is_unlimited);
  if (memory.is_unlimited && memory.mb > 0) {
    reader.Report("unlimited_memory", "contradicts memory_mb");
  }
  reader.Optional("max_descriptors", settings.max_descriptors, kMaxDescriptors);
}

// Reads the members that entries and agents have in common.
template <typename Settings>
void ReadCommon(ObjectReader& reader, Settings& settings) {
  ReadProcess(reader, settings);
  ReadMachineLimits(reader, settings);
  reader.OptionalMillis("leave_limit_ms", settings.leave_limit, kLeaveLimitMs);
  reader.Optional("seeds", settings.seeds);
}

void ReadEndpoint(ObjectReader& reader, std::string_view name,
                  Endpoint& target) {
  reader.Required(name, target);
  const std::size_t colon = target.value().rfind(':');
  const bool is_endpoint = colon != std::string::npos && colon > 0 &&
                           target.value().find_first_not_of(
                               "0123456789", colon + 1) == std::string::npos &&
                           colon + 1 < target.value().size();
  if (!target.empty() && !is_endpoint) {
    reader.Report(name, "must be an IP address and a port, as 10.0.0.1:7000");
  }
}

// Reads the members that the daemons of the direct way have in common.
template <typename Settings>
void ReadDirect(ObjectReader& reader, Settings& settings) {
  ReadProcess(reader, settings);
  ReadEndpoint(reader, "peer_address", settings.peer_address);
  ReadEndpoint(reader, "metrics_address", settings.metrics_address);
}

std::vector<OperatorToken> ReadOperators(ObjectReader& reader) {
  std::vector<OperatorToken> operators;
  for (ObjectReader& element : reader.Objects("operators")) {
    OperatorToken token;
    element.Required("name", token.name);
    element.Required("token", token.token);
    element.Required("subtree", token.subtree);
    element.RejectUnknown();
    operators.push_back(std::move(token));
  }
  return operators;
}

}  // namespace

EntrySettings ParseEntrySettings(const std::string& file, std::string_view text,
                                 Findings& findings) {
  return ReadDocument<EntrySettings>(
      file, text, findings, [&](ObjectReader& reader, EntrySettings& settings) {
        ReadCommon(reader, settings);
        ReadEndpoint(reader, "caller_address", settings.caller_address);
        ReadEndpoint(reader, "operator_address", settings.operator_address);
        ReadEndpoint(reader, "control_address", settings.control_address);
        reader.Optional("max_requests", settings.max_requests, {1, 1'000'000});
        reader.OptionalMillis("address_max_age_ms", settings.address_max_age,
                              {100, 3'600'000});
        settings.operators = ReadOperators(reader);
      });
}

AgentSettings ParseAgentSettings(const std::string& file, std::string_view text,
                                 Findings& findings) {
  return ReadDocument<AgentSettings>(
      file, text, findings, [&](ObjectReader& reader, AgentSettings& settings) {
        ReadCommon(reader, settings);
        reader.Required("service", settings.service);
        ReadEndpoint(reader, "peer_address", settings.peer_address);
        ReadEndpoint(reader, "admin_address", settings.admin_address);
        reader.Required("backend_url", settings.backend_url);
        reader.OptionalMillis("confirmation_limit_ms",
                              settings.confirmation_limit, {500, 60'000});
      });
}

RankAgentSettings ParseRankAgentSettings(const std::string& file,
                                         std::string_view text,
                                         Findings& findings) {
  return ReadDocument<RankAgentSettings>(
      file, text, findings,
      [&](ObjectReader& reader, RankAgentSettings& settings) {
        ReadDirect(reader, settings);
        reader.Required("service", settings.service);
        ReadEndpoint(reader, "backend_address", settings.backend_address);
        reader.Optional("link_mbps", settings.link_mbps, kLinkMbps);
      });
}

DirectEntrySettings ParseDirectEntrySettings(const std::string& file,
                                             std::string_view text,
                                             Findings& findings) {
  constexpr Range kSeconds = {0, 3'600};
  constexpr Range kCount = {0, 1'000'000};
  return ReadDocument<DirectEntrySettings>(
      file, text, findings,
      [&](ObjectReader& reader, DirectEntrySettings& settings) {
        ReadDirect(reader, settings);
        ReadEndpoint(reader, "caller_address", settings.caller_address);
        ReadEndpoint(reader, "ready_address", settings.ready_address);
        ReadEndpoint(reader, "directory_address", settings.directory_address);
        reader.Optional("max_connections", settings.max_connections,
                        {1, 1'000'000});
        ReadMachineLimits(reader, settings);
        reader.OptionalMillis("address_max_age_ms", settings.address_max_age,
                              {100, 60'000});
        reader.Optional("most_direct_followers", settings.most_direct_followers,
                        {0, 1'000'000});
        reader.OptionalMillis("revocation_ms", settings.revocation,
                              {1'000, 60'000});
        reader.Optional("grace_s", settings.grace_s, kSeconds);
        reader.Optional("retry_ratio", settings.retry_ratio, {0, 1});
        reader.Optional("retry_slack", settings.retry_slack, kCount);
        reader.Optional("retry_window_s", settings.retry_window_s, kSeconds);
        reader.Optional("cold_overrun", settings.cold_overrun, {0, 100});
        reader.Optional("cold_slack", settings.cold_slack, kCount);
        reader.Optional("pass_gap_fraction", settings.pass_gap_fraction,
                        {0, 1});
        reader.Optional("priority_reserve", settings.priority_reserve, {0, 1});
        reader.Optional("prompt_retention_s", settings.prompt_retention_s,
                        kSeconds);
        reader.Optional("regions", settings.regions);
        reader.Optional("cpu_share", settings.cpu_share, kCpuShare);
      });
}

}  // namespace mangohold
