#include "posthatch/routing/route_table.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "posthatch/util/string_view.h"

namespace posthatch::routing {
namespace {

std::string HostKey(std::string_view host) {
  return absl::AsciiStrToLower(util::ToAbsl(host.substr(0, host.find(':'))));
}

}  // namespace

void RouteTable::Rebuild(const control::TrafficConfiguration& configuration) {
  routes_.clear();
  tenants_.clear();
  services_.clear();
  for (const control::TrafficRoute& route : configuration.routes()) {
    routes_[HostKey(route.host())].push_back(&route);
  }
  for (auto& [host, routes] : routes_) {
    std::stable_sort(routes.begin(), routes.end(), [](const auto* left, const auto* right) {
      return left->path_prefix().size() > right->path_prefix().size();
    });
  }
  for (const control::TrafficTenant& tenant : configuration.tenants()) {
    for (const std::string& key : tenant.keys()) tenants_[key] = &tenant;
  }
  for (const control::TrafficService& service : configuration.services()) {
    services_[service.name()] = &service;
  }
  has_tenants_ = configuration.tenants_size() > 0;
}

const control::TrafficRoute* RouteTable::Find(std::string_view host,
                                              std::string_view target) const {
  const auto found = routes_.find(HostKey(host));
  if (found == routes_.end()) return nullptr;
  const std::string_view path = target.substr(0, target.find('?'));
  for (const control::TrafficRoute* route : found->second) {
    if (path.starts_with(route->path_prefix())) return route;
  }
  return nullptr;
}

const control::TrafficTenant* RouteTable::FindTenant(const std::string& key) const {
  const auto found = tenants_.find(key);
  return found == tenants_.end() ? nullptr : found->second;
}

const control::TrafficService* RouteTable::FindService(const std::string& name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : found->second;
}

}  // namespace posthatch::routing
