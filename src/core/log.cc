#include "core/log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <array>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "core/line_budget.h"

namespace mangohold {
namespace {

// Lines in a second; those beyond are counted and dropped.
constexpr int kMostLinesPerS = 1'000;
// Lines that wait for a slow reader; older ones are given up.
constexpr std::size_t kMostWaiting = 512;

std::string Quote(std::string_view text) {
  return nlohmann::json(text).dump(-1, ' ', false,
                                   nlohmann::json::error_handler_t::replace);
}

spdlog::level::level_enum ToSpdlog(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarning:
      return spdlog::level::warn;
    case LogLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

}  // namespace

LogField::LogField(std::string_view name, std::string_view text)
    : name_(name), value_(Quote(text)) {}

LogField::LogField(std::string_view name, double value) : name_(name) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.6g", value);
  value_ = std::isfinite(value) ? text.data() : "null";
}

void InitLog(std::string_view program, std::string_view instance,
             LogLevel level) {
  spdlog::init_thread_pool(kMostWaiting, 1);
  auto logger =
      spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>("mangohold");
  logger->flush_on(spdlog::level::debug);
  std::string pattern = R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",)";
  pattern += "\"program\":" + Quote(program);
  pattern += ",\"instance\":" + Quote(instance) + ",%v}";
  logger->set_pattern(pattern, spdlog::pattern_time_type::utc);
  logger->set_level(ToSpdlog(level));
  spdlog::set_default_logger(std::move(logger));
}

void CloseLog() { spdlog::shutdown(); }

void SetLogLevel(LogLevel level) {
  spdlog::default_logger_raw()->set_level(ToSpdlog(level));
}

namespace {

void Write(LogLevel level, std::string_view event,
           std::initializer_list<LogField> fields) {
  std::string line = "\"event\":" + Quote(event);
  for (const LogField& field : fields) {
    line.append(",\"").append(field.name()).append("\":").append(field.json());
  }
  spdlog::default_logger_raw()->log(
      ToSpdlog(level), spdlog::string_view_t(line.data(), line.size()));
}

}  // namespace

void Log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields) {
  static LineBudget budget(kMostLinesPerS);
  if (!spdlog::default_logger_raw()->should_log(ToSpdlog(level))) return;
  std::uint64_t dropped = 0;
  const bool may_write = budget.Take(BootNow(), dropped);
  if (dropped > 0) {
    Write(LogLevel::kWarning, "log_lines_dropped", {{"lines", dropped}});
  }
  if (may_write) Write(level, event, fields);
}

}  // namespace mangohold
