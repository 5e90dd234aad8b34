// Access to the platform: its key-value service with compare-and-swap and
// watches, and its lagging list of instances.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "config/tree.h"
#include "core/clock.h"
#include "core/counters.h"
#include "core/ids.h"
#include "net/http_client.h"
#include "platform/instance.h"

namespace mangohold {

// The fate of a compare-and-swap.
enum class WriteResult {
  kWritten,   // in the store under `revision`
  kConflict,  // another write came first; `revision` is the present one
  kRefused,   // the store did not take it: nothing has changed
  kUnknown    // no answer came back: it may have been written
};

struct WriteReply {
  WriteResult result = WriteResult::kUnknown;
  Revision revision;
};

// All calls and callbacks belong to the thread of the client's event loop.
class PlatformClient {
 public:
  struct Options {
    std::string url;      // e.g. "http://127.0.0.1:7000"
    InstanceId instance;  // named in each call, for the platform's accounts
    Duration timeout = std::chrono::seconds(2);
  };

  PlatformClient(HttpClient& http, Options options, Counters& counters);

  // Waits up to `wait` for documents that changed after `after`. An empty
  // update confirms that there are none.
  void Watch(Revision after, Duration wait,
             std::function<void(absl::StatusOr<TreeUpdate>)> on_update);
  // Reads one document as it stands in the store.
  void Read(const std::string& path,
            std::function<void(absl::StatusOr<DocumentVersion>)> on_read);
  // Replaces the document if its revision is still `expected` (0: absent).
  void Write(const std::string& path, const std::string& text,
             Revision expected, std::function<void(WriteReply)> on_reply);
  void Instances(
      std::function<void(absl::StatusOr<std::vector<Instance>>)> on_list);

 private:
  void Call(HttpCall call, std::function<void(HttpResponse)> on_response);

  HttpClient& http_;
  Options options_;
  Counters& counters_;
};

}  // namespace mangohold
