#include "store/backend_record.h"

#include <string_view>

#include "core/text.h"
#include "net/endpoint.h"

namespace mangohold {
namespace {

constexpr std::size_t kMaxNameLength = 200;  // bytes
constexpr int kMaxSlots = 10'000;
constexpr Millis kMaxColdStart = std::chrono::hours(1);

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength && IsPlainText(text);
}

absl::Status Unusable(std::string_view member) {
  return absl::InvalidArgumentError("unusable " + std::string(member));
}

}  // namespace

absl::Status CheckBackendRecord(const BackendRecord& record) {
  if (!IsName(record.id.value())) return Unusable("id");
  if (!IsName(record.service.value())) return Unusable("service");
  if (!IsName(record.zone.value())) return Unusable("zone");
  if (!IsUsable(record.address)) return Unusable("address");
  if (record.slots < 1 || record.slots > kMaxSlots) return Unusable("slots");
  const bool is_cold_time = record.cold_remaining >= Millis(0) &&
                            record.cold_remaining <= kMaxColdStart;
  return is_cold_time ? absl::OkStatus() : Unusable("cold time");
}

}  // namespace mangohold
