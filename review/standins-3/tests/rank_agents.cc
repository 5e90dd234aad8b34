#include "review/standins-3/tests/rank_agents.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "review/standins-3/tests/store_reader.h"

namespace mangohold::review {
namespace {

using Json = nlohmann::json;

constexpr int kFirstAgent = 50;
constexpr int kFirstEngine = 100;

}  // namespace

RankAgents::RankAgents(Options options, Recorder& recorder)
    : options_(std::move(options)),
      recorder_(recorder),
      store_(Ip(1) + ":7000") {}

std::vector<std::string> RankAgents::EngineAddresses() const {
  std::vector<std::string> addresses;
  addresses.reserve(static_cast<std::size_t>(options_.ranks));
  for (int rank = 0; rank < options_.ranks; ++rank) {
    addresses.push_back(Ip(kFirstEngine + rank) + ":9000");
  }
  return addresses;
}

void RankAgents::PutDeployment(const Json& routes, const Json& more_services) {
  Json services = more_services;
  const Json engine = {{"slots", 12},
                       {"kv_capacity_tokens", 372'000},
                       {"link_mbps", 5'000.0},
                       {"stride", 5},
                       {"step_ms", 5.85},
                       {"per_seq_ms", 0.355},
                       {"context_per_k", 0.036},
                       {"read_per_s", 61'200.0},
                       {"pairs_per_m", 0.325},
                       {"chunk", 512},
                       {"usual", {{"prompt", 835}, {"answer", 138}}},
                       {"sets", 1},
                       {"experts", options_.experts},
                       {"placements", 11},
                       {"spare", 4},
                       {"expert_mb", 780.0},
                       {"expert_share", 0.85},
                       {"form_ms", 600.0}};
  const Json service = {{"name", "s"},
                        {"health_path", "/healthz"},
                        {"max_connections", 408},
                        {"cold_start_s", 0},
                        {"cold_per_s", 0},
                        {"engine", engine}};
  services.push_back(service);
  store_.Put("op/config", Json{{"version", 1},
                               {"routes", routes},
                               {"services", services},
                               {"limits", Json::object()},
                               {"tenants", Json::array()}}
                              .dump());
  const std::vector<std::string> addresses = EngineAddresses();
  for (int rank = 0; rank < options_.ranks; ++rank) {
    store_.Put("servers/i-" + std::to_string(rank),
               Json{{"service", "s"},
                    {"address", addresses[rank]},
                    {"zone", "suva"},
                    {"version", "v1"},
                    {"slots", 12},
                    {"state", "ready"},
                    {"cold_remaining_ms", 0},
                    {"sequence", 1}}
                   .dump());
  }
}

// The settings as the deploy file's template renders them.
void RankAgents::Start(int rank) {
  const std::string name = "side-" + std::to_string(rank);
  const std::string ip = Ip(kFirstAgent + rank);
  const Json settings = {{"instance", name},
                         {"zone", "suva"},
                         {"service", "s"},
                         {"platform_url", "http://" + Ip(1) + ":7000"},
                         {"backend_address", EngineAddresses()[rank]},
                         {"peer_address", ip + ":7355"},
                         {"metrics_address", ip + ":9465"},
                         {"link_mbps", 20}};
  const std::string file = folder_.Write(name + ".jsonc", settings.dump());
  agents_[rank] = std::make_unique<ChildProcess>(
      std::vector<std::string>{options_.program, "--config", file},
      folder_.Path(name + ".log"));
  recorder_.Note("agent " + name + " starts");
}

int RankAgents::Leader() const {
  const auto leader = ReadItem(Ip(1) + ":7000", "leaders/");
  return leader ? std::stoi(leader->substr(leader->find('-') + 1)) : -1;
}

}  // namespace mangohold::review
