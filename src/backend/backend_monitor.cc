#include "backend/backend_monitor.h"

#include <optional>

#include "core/json_types.h"
#include "core/log.h"

namespace mangohold {
namespace {

constexpr MaxBody kMaxReport{64U << 10U};

// Nothing if the response is no complete report.
std::optional<BackendReport> ToReport(const HttpResponse& response) {
  if (response.result != HttpResult::kComplete || response.status != 200) {
    return std::nullopt;
  }
  const auto body = nlohmann::json::parse(response.body, nullptr, false);
  if (!body.is_object() || !body.contains("boot_id")) return std::nullopt;
  BackendReport report;
  report.boot = Incarnation(body.value("boot_id", ""));
  report.is_leaving = body.value("leaving", false);
  return report;
}

// The "host:port" of an "http://host:port" URL.
Endpoint HostOf(const std::string& url) {
  const std::size_t slashes = url.find("//");
  const std::size_t start = slashes == std::string::npos ? 0 : slashes + 2;
  return Endpoint(url.substr(start, url.find('/', start) - start));
}

}  // namespace

BackendMonitor::BackendMonitor(EventLoop& loop, HttpClient& http,
                               Options options, Handlers handlers,
                               Counters& counters)
    : loop_(loop),
      http_(http),
      options_(std::move(options)),
      handlers_(std::move(handlers)),
      counters_(counters),
      watch_(loop, HostOf(options_.url), options_.reconnect,
             [this] { OnConnectionLost(); }) {}

void BackendMonitor::Start() {
  watch_.Start();
  Poll();
  loop_.Every(options_.interval, [this] { Poll(); });
}

void BackendMonitor::Poll() {
  if (is_polling_) return;
  is_polling_ = true;
  HttpCall call{.url = options_.url + "/load",
                .timeout = 2 * options_.interval};
  Fetch(http_, std::move(call), kMaxReport,
        [this](const HttpResponse& response) {
          is_polling_ = false;
          OnResponse(response);
        });
}

// A server may close an idle connection without having restarted, so the next
// report decides. Until then it is treated as cold.
void BackendMonitor::OnConnectionLost() {
  handlers_.on_suspect();
  Poll();
}

// An unreachable server has most likely restarted, so it is treated as cold
// before a new boot id confirms it. A report that is merely late is no evidence
// of a restart.
void BackendMonitor::OnResponse(const HttpResponse& response) {
  const auto report = ToReport(response);
  if (!report) {
    counters_.Count(Event::kBackendReportsLost);
    if (response.result == HttpResult::kNotSent) handlers_.on_cold();
    return;
  }
  counters_.Count(Event::kBackendReports);
  if (report->is_leaving) handlers_.on_leaving();
  if (report->boot == boot_) return handlers_.on_same_boot();
  Log(LogLevel::kInfo, "backend_boot", {{"boot_id", report->boot.value()}});
  boot_ = report->boot;
  handlers_.on_cold();
}

}  // namespace mangohold
