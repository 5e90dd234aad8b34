#include "config/route_table.h"

#include <algorithm>
#include <cctype>

namespace mangohold {
namespace {

std::string NormalizedHost(std::string_view host) {
  std::string out(host.substr(0, host.find(':')));
  std::ranges::transform(out, out.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return out;
}

bool LeadsTo(const Route& route, const ServiceName& service) {
  return std::ranges::find(route.shares, service, &RouteShare::service) !=
         route.shares.end();
}

// The shortest target gap of the routes to the service; 0: none states one.
Millis ShortestGap(const Deployment& deployment, const ServiceName& service) {
  Millis shortest{0};
  for (const Route& route : deployment.routes) {
    if (route.target_gap <= Millis(0) || !LeadsTo(route, service)) continue;
    shortest = shortest == Millis(0) ? route.target_gap
                                     : std::min(shortest, route.target_gap);
  }
  return shortest;
}

}  // namespace

RouteTable::RouteTable(Deployment deployment)
    : deployment_(std::move(deployment)) {
  for (ServiceSpec& service : deployment_.services) {
    service.target_gap = ShortestGap(deployment_, service.name);
  }
  for (const Route& route : deployment_.routes) {
    routes_[NormalizedHost(route.host)][route.prefix] = &route;
  }
  for (const Workspace& workspace : deployment_.workspaces) {
    for (const std::string& key : workspace.keys) {
      workspaces_[key] = &workspace;
    }
  }
  for (const ServiceSpec& service : deployment_.services) {
    services_[service.name] = &service;
  }
}

// Prefixes end with a slash, so only the parts of the path up to each of its
// slashes can match; the longest goes first.
const Route* RouteTable::Find(std::string_view host,
                              std::string_view path) const {
  const auto of_host = routes_.find(NormalizedHost(host));
  if (of_host == routes_.end()) return nullptr;
  path = path.substr(0, path.find('?'));
  for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;
       slash = slash == 0 ? std::string_view::npos
                          : path.rfind('/', slash - 1)) {
    const auto it =
        of_host->second.find(std::string(path.substr(0, slash + 1)));
    if (it != of_host->second.end()) return it->second;
  }
  return nullptr;
}

const Workspace* RouteTable::FindWorkspace(const std::string& key) const {
  const auto it = workspaces_.find(key);
  return it == workspaces_.end() ? nullptr : it->second;
}

const ServiceSpec* RouteTable::FindService(const ServiceName& name) const {
  const auto it = services_.find(name);
  return it == services_.end() ? nullptr : it->second;
}

}  // namespace mangohold
