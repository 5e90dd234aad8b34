#include "review/standins-3/tests/standin_site.h"

#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

#include "review/standins-3/tests/plain_client.h"

namespace mangohold::review {
namespace {

using Json = nlohmann::json;

}  // namespace

DirectEntries::DirectEntries(std::string program)
    : program_(std::move(program)), store_(Ip(1) + ":7000") {}

Json DirectEntries::DefaultLimits() {
  return {{"max_header_bytes", 16'384},
          {"max_body_bytes", 1'048'576},
          {"header_timeout_ms", 5'000},
          {"idle_timeout_ms", 15'000}};
}

void DirectEntries::PutDeployment(int version, const std::vector<Route>& routes,
                                  const Json& limits) {
  Json list = Json::array();
  for (const Route& route : routes) {
    list.push_back({{"name", route.name},
                    {"host", "h.example"},
                    {"prefix", "/" + route.name + "/"},
                    {"route_type", route.kind},
                    {"timeout_ms", route.timeout_ms},
                    {"target_latency_ms", 400},
                    {"target_gap_ms", 120},
                    {"priority", 1},
                    {"max_attempts", 2},
                    {"anonymous", false},
                    {"sticky", false},
                    {"stream_resume", route.resumes},
                    {"service", "s"}});
  }
  const Json service = {{"name", "s"},
                        {"health_path", "/healthz"},
                        {"max_connections", 96},
                        {"cold_start_s", 0},
                        {"cold_per_s", 0}};
  store_.Put("op/config",
             Json{{"version", version},
                  {"routes", list},
                  {"services", {service}},
                  {"limits", limits},
                  {"tenants", {{{"name", "suva"}, {"api_keys", {"key"}}}}}}
                 .dump());
}

void DirectEntries::List(const Listed& server) {
  store_.Put("servers/" + server.id, Json{{"service", server.service},
                                          {"address", server.address},
                                          {"zone", "suva"},
                                          {"version", "v1"},
                                          {"slots", server.slots},
                                          {"state", server.state},
                                          {"cold_remaining_ms", 0},
                                          {"sequence", 1}}
                                         .dump());
}

// The settings as the deploy file's template renders them for a machine of
// naidu-listings.
void DirectEntries::StartEntry(int index, const Json& more) {
  const std::string name = "edge-" + std::to_string(index);
  const std::string ip = Ip(10 + index);
  Json settings = {{"instance", name},
                   {"zone", "suva"},
                   {"platform_url", "http://" + Ip(1) + ":7000"},
                   {"caller_address", ip + ":8080"},
                   {"ready_address", ip + ":8081"},
                   {"directory_address", ip + ":8082"},
                   {"peer_address", ip + ":7340"},
                   {"metrics_address", ip + ":9464"},
                   {"memory_mb", 260},
                   {"max_descriptors", 4'100},
                   {"revocation_ms", 5'000},
                   {"grace_s", 8},
                   {"retry_ratio", 0.2},
                   {"retry_slack", 88},
                   {"retry_window_s", 10},
                   {"cold_overrun", 1.5},
                   {"cold_slack", 5},
                   {"regions", {{"suva", "viti-levu"}}}};
  settings.update(more);
  const std::string file = folder_.Write(name + ".jsonc", settings.dump());
  entries_[index] = std::make_unique<ChildProcess>(
      std::vector<std::string>{program_, "--config", file},
      folder_.Path(name + ".log"));
}

bool DirectEntries::WaitUntilReady(int index) const {
  constexpr int kTries = 200;
  constexpr std::chrono::milliseconds kPause{50};
  const std::string address = Ip(10 + index) + ":8081";
  for (int tries = 0; tries < kTries; ++tries) {
    try {
      PlainClient client(address);
      client.Send("GET /mangohold/readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
      if (client.ReadAnswer().status == 200) return true;
    } catch (const std::exception&) {
      // It doesn't listen yet.
    }
    std::this_thread::sleep_for(kPause);
  }
  return false;
}

std::string DirectEntries::Log(int index) const {
  std::ifstream file(folder_.Path("edge-" + std::to_string(index) + ".log"));
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace mangohold::review
