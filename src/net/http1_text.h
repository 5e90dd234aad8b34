// The text of HTTP/1.1 messages.
#pragma once

#include <string>
#include <string_view>

#include "net/http_message.h"

namespace mangohold {

// A request's line and fields with the empty line behind them.
std::string RequestText(std::string_view method, std::string_view target,
                        const HttpFields& fields);
// A response's status line and fields with the empty line behind them. In place
// of a number that isn't the status of a final response it says 502.
std::string ResponseText(int status, const HttpFields& fields);
// One chunk of a chunked body; an empty one ends it.
std::string ChunkText(std::string_view data);

}  // namespace mangohold
