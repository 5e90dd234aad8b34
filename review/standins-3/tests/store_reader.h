// Reads the stand-in of the platform's store as anyone may.
#pragma once

#include <optional>
#include <string>

namespace mangohold::review {

// The value of the first item whose key begins with `prefix`; absent: there is
// none. `address` is "ip:port".
std::optional<std::string> ReadItem(const std::string& address,
                                    const std::string& prefix);

}  // namespace mangohold::review
