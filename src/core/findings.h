// Faults found in a settings document, collected with their place so that an
// operator sees all of them at once.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"

namespace mangohold {

// One fault in a document.
struct Finding {
  std::string file;
  std::string pointer;  // RFC 6901 JSON pointer of the faulty value
  int line = 0;         // 1-based; 0 when the place is unknown
  std::string message;
};

// The faults found so far.
class Findings {
 public:
  void Add(Finding finding) { items_.push_back(std::move(finding)); }
  bool empty() const { return items_.empty(); }
  const std::vector<Finding>& items() const { return items_; }
  // One "file:line: pointer: message" line for each finding.
  std::string ToString() const;
  // OK without findings, else an invalid-argument status with all of them.
  absl::Status ToStatus() const;

 private:
  std::vector<Finding> items_;
};

}  // namespace mangohold
