#include "caller/answer_status.h"

#include <array>
#include <cstdio>
#include <string_view>

#include "net/field_rules.h"

namespace mangohold {

bool IsSuccess(int status) { return status >= 200 && status < 300; }

bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

bool IsEventStream(int status, const HttpFields& fields) {
  constexpr int kOk = 200;
  constexpr std::string_view kType = "text/event-stream";
  const std::string_view type = FieldValue(fields, "Content-Type");
  const std::string_view name = type.substr(0, type.find(';'));
  return status == kOk && (type.empty() || EqualsIgnoringCase(name, kType));
}

std::string SecondsText(Millis millis) {
  std::array<char, 16> text{};
  std::snprintf(text.data(), text.size(), "%.3f",
                static_cast<double>(millis.count()) / 1000.0);
  return text.data();
}

}  // namespace mangohold
