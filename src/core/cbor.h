// CBOR that comes from other processes.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace mangohold {

// Decodes one value. Throws nlohmann::json::exception if `bytes` aren't valid,
// or are nested so deeply that no message of ours can be meant.
nlohmann::json ParseCbor(std::string_view bytes);

}  // namespace mangohold
