#include "core/findings.h"

namespace mangohold {

std::string Findings::ToString() const {
  std::string out;
  for (const Finding& finding : items_) {
    out += finding.file + ':' + std::to_string(finding.line) + ": " +
           (finding.pointer.empty() ? "/" : finding.pointer) + ": " +
           finding.message + '\n';
  }
  return out;
}

absl::Status Findings::ToStatus() const {
  if (items_.empty()) return absl::OkStatus();
  return absl::InvalidArgumentError(ToString());
}

}  // namespace mangohold
