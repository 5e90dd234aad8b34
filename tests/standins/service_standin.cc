// Stands in for a plain service such as a bookings application. It records
// every run, so that a request that ran twice shows. A request may ask for
// trouble in its query: delay_ms=N, drop=1 (close without an answer after the
// run), refuse=1 (429, not run). GET /standin/runs lists the runs by request.
#include <map>
#include <nlohmann/json.hpp>
#include <random>

#include "standins/raw_http.h"

namespace mangohold::standin {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

struct Service {
  std::map<std::string, int> runs;  // by request id
  std::string boot;
  int running = 0;
};

Json Report(const Service& service) {
  return {
      {"boot_id", service.boot}, {"running", service.running}, {"queued", 0}};
}

Json Answer(const std::string& id, int run, const std::string& body) {
  return {{"request", id}, {"run", run}, {"body", body}};
}

asio::awaitable<void> Handle(Service& service, HttpRequest request,
                             Connection& connection) {
  if (request.path == "/load") {
    const Json report = Report(service);
    co_await connection.Reply(200, "application/json", report.dump());
    co_return;
  }
  if (request.path == "/standin/runs") {
    co_await connection.Reply(200, "application/json",
                              Json(service.runs).dump());
    co_return;
  }
  if (!request.QueryValue("refuse").empty()) {
    co_await connection.Reply(429, "application/json", "{}");
    co_return;
  }
  const std::string id(request.Field("Mangohold-Request-Id"));
  const int run = ++service.runs[id];
  ++service.running;
  const std::string delay = request.QueryValue("delay_ms");
  if (!delay.empty()) co_await Sleep(milliseconds(std::stoi(delay)));
  --service.running;
  if (!request.QueryValue("drop").empty()) {
    connection.Drop();
    co_return;
  }
  const Json answer = Answer(id, run, request.body);
  co_await connection.Reply(200, "application/json", answer.dump());
}

void Run(int argc, char** argv) {
  asio::io_context io;
  Service service;
  service.boot = std::to_string(std::random_device{}());
  Serve(io, Option(argc, argv, "--listen", "127.0.0.1:7020"),
        [&](HttpRequest request, Connection& connection) {
          return Handle(service, std::move(request), connection);
        });
  io.run();
}

}  // namespace
}  // namespace mangohold::standin

int main(int argc, char** argv) {
  mangohold::standin::Run(argc, argv);
  return 0;
}
