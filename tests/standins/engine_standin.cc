// Stands in for a model engine. POST /v1/generate streams {"tokens": n} tokens
// as server-sent events. The engine starts cold: it bears few requests at a
// time, more with each that it has served, and falls over when it gets more
// than it bears: it drops them all and is cold again under a new boot id.
// GET /load reports the state as it was --load-lag-ms ago.
#include <deque>
#include <nlohmann/json.hpp>
#include <random>

#include "standins/raw_http.h"

namespace mangohold::standin {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

struct Engine {
  int full_bearing = 16;
  int cold_bearing = 2;
  int successes_per_step = 2;
  milliseconds token_interval{5};
  std::chrono::microseconds first_token{0};

  int boot = 0;
  std::string boot_base;
  int running = 0;
  int served_since_boot = 0;
  int served = 0;
  int cancelled = 0;
  int fallen = 0;
  std::int64_t tokens_sent = 0;
  int most_running = 0;
  bool is_leaving = false;

  int bearing() const {
    return std::min(full_bearing,
                    cold_bearing + served_since_boot / successes_per_step);
  }
  void Reboot() {
    ++boot;
    served_since_boot = 0;
  }
  Json Load() const {
    return {{"boot_id", boot_base + "-" + std::to_string(boot)},
            {"running", running},
            {"queued", 0},
            {"leaving", is_leaving}};
  }
};

asio::awaitable<void> Generate(Engine& engine, const HttpRequest& request,
                               Connection& connection) {
  const Json body = Json::parse(request.body, nullptr, false);
  const int tokens = body.is_object() ? body.value("tokens", 8) : 8;
  const int boot = engine.boot;
  ++engine.running;
  engine.most_running = std::max(engine.most_running, engine.running);
  if (engine.running > engine.bearing()) {
    ++engine.fallen;
    engine.Reboot();
  }
  const std::string id(request.Field("Mangohold-Request-Id"));
  try {
    co_await connection.StartChunks(200, "text/event-stream");
    for (int i = 0; i < tokens && boot == engine.boot; ++i) {
      if (engine.token_interval.count() > 0) {
        co_await Sleep(engine.token_interval);
      }
      co_await connection.Chunk("data: {\"request\":\"" + id +
                                "\",\"token\":" + std::to_string(i) + "}\n\n");
      ++engine.tokens_sent;
    }
  } catch (const std::exception&) {
    --engine.running;
    ++engine.cancelled;
    connection.Drop();
    co_return;
  }
  --engine.running;
  if (boot != engine.boot) {
    connection.Drop();
    co_return;
  }
  ++engine.served;
  ++engine.served_since_boot;
  co_await connection.Chunk("data: [DONE]\n\n");
  co_await connection.EndChunks();
}

asio::awaitable<void> Handle(Engine& engine, HttpRequest request,
                             Connection& connection, milliseconds load_lag) {
  if (request.path == "/load") {
    const std::string report = engine.Load().dump();
    co_await Sleep(load_lag);
    co_await connection.Reply(200, "application/json", report);
  } else if (request.path == "/standin/state") {
    Json state = engine.Load();
    state.update({{"served", engine.served},
                  {"cancelled", engine.cancelled},
                  {"fallen", engine.fallen},
                  {"tokens_sent", engine.tokens_sent},
                  {"most_running", engine.most_running}});
    co_await connection.Reply(200, "application/json", state.dump());
  } else if (request.path == "/standin/reboot") {
    engine.Reboot();
    co_await connection.Reply(200, "application/json", "{}");
  } else if (request.path == "/standin/leave") {
    engine.is_leaving = true;
    co_await connection.Reply(200, "application/json", "{}");
  } else if (request.path == "/v1/echo") {
    // A short whole answer, for measuring the way to the engine and back.
    co_await connection.Reply(200, "application/json", request.body);
  } else {
    co_await Generate(engine, request, connection);
  }
}

void Run(int argc, char** argv) {
  asio::io_context io;
  const auto number = [&](const char* name, const char* otherwise) {
    return std::stoi(Option(argc, argv, name, otherwise));
  };
  Engine engine;
  engine.full_bearing = number("--bearing", "16");
  engine.cold_bearing = number("--cold-bearing", "2");
  engine.successes_per_step = number("--successes-per-step", "2");
  engine.token_interval = milliseconds(number("--token-ms", "5"));
  engine.boot_base = std::to_string(std::random_device{}());
  const milliseconds load_lag(number("--load-lag-ms", "50"));
  Serve(io, Option(argc, argv, "--listen", "127.0.0.1:7010"),
        [&](HttpRequest request, Connection& connection) {
          return Handle(engine, std::move(request), connection, load_lag);
        });
  io.run();
}

}  // namespace
}  // namespace mangohold::standin

int main(int argc, char** argv) {
  mangohold::standin::Run(argc, argv);
  return 0;
}
