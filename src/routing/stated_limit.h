// What the head of an answer says of the request rate that its backend bears.
#pragma once

namespace mangohold {

struct StatedLimit {
  enum class Kind {
    kNone,       // no limit
    kLimited,    // `requests_per_s` from all entries together, 0 or more
    kUnreadable  // neither a limit nor the end of one
  };
  Kind kind = Kind::kNone;
  double requests_per_s = 0;
};

}  // namespace mangohold
