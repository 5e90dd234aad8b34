// Finds the route and the workspace of a request in one deployment.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "config/deployment.h"

namespace mangohold {

// Immutable, so that threads may share it.
class RouteTable {
 public:
  explicit RouteTable(Deployment deployment);
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  // The route of `host` with the longest prefix that begins `path`, or null.
  // A port in `host` and its case are passed over.
  const Route* Find(std::string_view host, std::string_view path) const;
  // The workspace that holds `key`, or null.
  const Workspace* FindWorkspace(const std::string& key) const;
  const ServiceSpec* FindService(const ServiceName& name) const;
  bool needs_keys() const { return !deployment_.workspaces.empty(); }
  const Deployment& deployment() const { return deployment_; }

 private:
  Deployment deployment_;
  // By host, then by prefix.
  std::unordered_map<std::string, std::unordered_map<std::string, const Route*>>
      routes_;
  std::unordered_map<std::string, const Workspace*> workspaces_;
  std::unordered_map<ServiceName, const ServiceSpec*> services_;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

}  // namespace mangohold
