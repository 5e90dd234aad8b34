// What an entry says about itself and its peers to those who ask.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "net/http_server.h"

namespace mangohold {

// A caller's question for addresses.
struct DirectoryQuestion {
  ZoneName zone;  // the caller's; empty if it doesn't say
  std::string remote_ip;
};

struct DirectoryAnswer {
  std::vector<Endpoint> addresses;  // empty: none is known to be well
  Millis max_age{0};                // how long callers may use them
};

// The adapter's handlers of an entry's calls. Each is given the source of its
// answers.
struct EntryCalls {
  std::function<HttpServer::Handler(std::function<bool()> is_ready)> ready;
  std::function<HttpServer::Handler(
      std::function<DirectoryAnswer(const DirectoryQuestion&)> answer)>
      directory;
};

}  // namespace mangohold
