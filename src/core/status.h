// Bridges between absl::Status and standard types.
#pragma once

#include <string>

#include "absl/status/status.h"

namespace mangohold {

// The status's message. Abseil's own string view isn't the standard one here.
inline std::string MessageOf(const absl::Status& status) {
  const auto message = status.message();
  return {message.data(), message.size()};
}

}  // namespace mangohold
