#include "core/log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <nlohmann/json.hpp>

namespace mangohold {
namespace {

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

void InitLog(std::string_view program, std::string_view instance,
             LogLevel level) {
  auto logger = spdlog::stdout_logger_mt("mangohold");
  std::string pattern = R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",)";
  pattern += "\"program\":" + Quote(program);
  pattern += ",\"instance\":" + Quote(instance) + ",%v}";
  logger->set_pattern(pattern, spdlog::pattern_time_type::utc);
  logger->set_level(ToSpdlog(level));
  spdlog::set_default_logger(std::move(logger));
}

void SetLogLevel(LogLevel level) {
  spdlog::default_logger_raw()->set_level(ToSpdlog(level));
}

void Log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields) {
  auto* logger = spdlog::default_logger_raw();
  if (!logger->should_log(ToSpdlog(level))) return;
  std::string line = "\"event\":" + Quote(event);
  for (const LogField& field : fields) {
    line.append(",\"").append(field.name()).append("\":").append(field.json());
  }
  logger->log(ToSpdlog(level), spdlog::string_view_t(line.data(), line.size()));
}

}  // namespace mangohold
