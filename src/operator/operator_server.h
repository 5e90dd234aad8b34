// The operators' HTTP interface of an entry: reading and changing the settings
// tree.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "core/process_settings.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "operator/tree_editor.h"
#include "spread/config_replicator.h"

namespace mangohold {

// Belongs to the control thread, but for the constructor.
class OperatorServer {
 public:
  struct Options {
    Endpoint listen;
    InstanceId instance;
    std::vector<OperatorToken> operators;
  };

  OperatorServer(EventLoop& loop, Options options, ConfigReplicator& node,
                 PlatformClient& client, Counters& counters);

  absl::Status Start();

 private:
  using Exchange = std::shared_ptr<HttpExchange>;

  void Handle(const HttpRequest& request, const Exchange& exchange);
  void HandleRead(const std::string& path, const Exchange& exchange);
  void HandleList(const Exchange& exchange);
  void HandleChange(const HttpRequest& request, const std::string& path,
                    const Exchange& exchange);
  // Waits for a stored change to come into force at a majority.
  void Follow(const ChangeReply& stored, TimePoint sent_at,
              std::function<void(ChangeReply)> on_reply);
  void HandleStatus(const Exchange& exchange);
  // The operator whose token opens `path`, or null.
  const OperatorToken* Authorise(const HttpRequest& request,
                                 const std::string& path) const;

  Options options_;
  ConfigReplicator& node_;
  TreeEditor editor_;
  HttpServer http_;
};

}  // namespace mangohold
