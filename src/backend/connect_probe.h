// Opens one connection to a backend server and closes it, to find out whether
// anything listens there.
#pragma once

#include <asio/io_context.hpp>
#include <functional>

#include "core/clock.h"
#include "core/ids.h"

namespace mangohold {

enum class ProbeResult {
  kAccepted,
  kRefused,
  kUnknown  // no answer in time, or an address that can't be used
};

// Calls `on_result` once, on the thread of `io`.
void ProbeConnection(asio::io_context& io, const Endpoint& endpoint,
                     Duration timeout,
                     std::function<void(ProbeResult)> on_result);

}  // namespace mangohold
