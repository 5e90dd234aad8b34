// Structured logs: one JSON object on each line of standard output.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

namespace mangohold {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// One named value of a log line.
class LogField {
 public:
  LogField(std::string_view name, std::string_view text);
  template <typename Integer>
  requires std::is_integral_v<Integer> LogField(std::string_view name,
                                                Integer value)
      : name_(name), value_(std::to_string(value)) {}

  // With six digits; a number that JSON can't hold is null.
  LogField(std::string_view name, double value);

  std::string_view name() const { return name_; }
  // The value as JSON text.
  std::string_view json() const { return value_; }

 private:
  std::string_view name_;
  std::string value_;
};

// Opens the log. `program` and `instance` are repeated on each line.
void InitLog(std::string_view program, std::string_view instance,
             LogLevel level);
void SetLogLevel(LogLevel level);
// Writes what waits; nothing may be logged afterwards.
void CloseLog();
// Writes one line with a time, the level, `event` and the fields. Safe from any
// thread; never waits for the reader. Beyond 1,000 lines in a second lines are
// dropped, and a line says how many.
void Log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields = {});

}  // namespace mangohold
