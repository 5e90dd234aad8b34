#include "backend/backend_monitor.h"

#include <optional>

#include "core/json_types.h"
#include "core/log.h"

namespace mangohold {
namespace {

std::optional<BackendReport> ToReport(const HttpResponse& response) {
  if (response.result != HttpResult::kComplete || response.status != 200) {
    return std::nullopt;
  }
  const auto body = nlohmann::json::parse(response.body, nullptr, false);
  if (!body.is_object() || !body.contains("boot_id")) return std::nullopt;
  BackendReport report;
  report.boot = Incarnation(body.value("boot_id", ""));
  report.running = body.value("running", 0);
  report.queued = body.value("queued", 0);
  report.is_leaving = body.value("leaving", false);
  return report;
}

}  // namespace

BackendMonitor::BackendMonitor(EventLoop& loop, HttpClient& http,
                               Options options, Handlers handlers,
                               Counters& counters)
    : loop_(loop),
      http_(http),
      options_(std::move(options)),
      handlers_(std::move(handlers)),
      counters_(counters) {}

void BackendMonitor::Start() {
  Poll();
  loop_.Every(options_.interval, [this] { Poll(); });
}

void BackendMonitor::Poll() {
  if (is_polling_) return;
  is_polling_ = true;
  HttpCall call{.url = options_.url + "/load",
                .timeout = 2 * options_.interval};
  Fetch(http_, std::move(call), [this](const HttpResponse& response) {
    is_polling_ = false;
    OnResponse(response);
  });
}

// A server that can't be reached has most likely restarted, and the boot id
// will tell. A report that is only late says nothing.
void BackendMonitor::OnResponse(const HttpResponse& response) {
  const auto report = ToReport(response);
  if (!report) {
    counters_.Count(Event::kBackendReportsLost);
    if (response.result == HttpResult::kNotSent) handlers_.on_cold();
    return;
  }
  counters_.Count(Event::kBackendReports);
  if (report->is_leaving) handlers_.on_leaving();
  if (report->boot == boot_) return;
  Log(LogLevel::kInfo, "backend_boot", {{"boot_id", report->boot.value()}});
  boot_ = report->boot;
  handlers_.on_cold();
}

}  // namespace mangohold
