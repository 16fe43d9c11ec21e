#include "posthatch/control/state/traffic_validator.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"

namespace posthatch::control {
namespace {

using Errors = std::vector<std::string>;

template <typename Entries>
absl::flat_hash_set<std::string> CheckNames(const Entries& entries, const char* kind,
                                            Errors* errors) {
  absl::flat_hash_set<std::string> names;
  for (const auto& entry : entries) {
    if (entry.name().empty()) errors->push_back(absl::StrCat(kind, ": an entry without a name"));
    if (!names.insert(entry.name()).second) {
      errors->push_back(absl::StrCat(kind, " ", entry.name(), ": named twice"));
    }
  }
  return names;
}

bool IsPathPrefix(const std::string& prefix) {
  return !prefix.empty() && prefix.front() == '/' && prefix.back() == '/';
}

void CheckTargets(const TrafficRoute& route, const absl::flat_hash_set<std::string>& services,
                  Errors* errors) {
  uint64_t weight = 0;
  for (const RouteTarget& target : route.targets()) {
    weight += target.weight();
    if (!services.contains(target.service())) {
      errors->push_back(
          absl::StrCat("route ", route.name(), ": unknown service ", target.service()));
    }
  }
  if (weight == 0) {
    errors->push_back(absl::StrCat("route ", route.name(), ": the weights add up to 0"));
  }
}

void CheckRoutes(const TrafficConfiguration& configuration,
                 const absl::flat_hash_set<std::string>& services, Errors* errors) {
  CheckNames(configuration.routes(), "route", errors);
  absl::flat_hash_set<std::string> hosts_and_prefixes;
  for (const TrafficRoute& route : configuration.routes()) {
    CheckTargets(route, services, errors);
    if (route.timeout_ms() == 0) {
      errors->push_back(absl::StrCat("route ", route.name(), ": the time-out is 0"));
    }
    if (route.kind() == ROUTE_KIND_UNSPECIFIED) {
      errors->push_back(absl::StrCat("route ", route.name(), ": unknown kind"));
    }
    if (!IsPathPrefix(route.path_prefix())) {
      errors->push_back(
          absl::StrCat("route ", route.name(), ": the path prefix must begin and end with '/'"));
    }
    if (!hosts_and_prefixes.insert(absl::StrCat(route.host(), " ", route.path_prefix())).second) {
      errors->push_back(
          absl::StrCat("route ", route.name(), ": another one has the same host and prefix"));
    }
  }
}

void CheckTenants(const TrafficConfiguration& configuration, Errors* errors) {
  CheckNames(configuration.tenants(), "tenant", errors);
  absl::flat_hash_map<std::string, std::string> owners;
  for (const TrafficTenant& tenant : configuration.tenants()) {
    for (const std::string& key : tenant.keys()) {
      const auto [owner, is_new] = owners.try_emplace(key, tenant.name());
      if (!is_new && owner->second != tenant.name()) {
        errors->push_back(
            absl::StrCat("tenant ", tenant.name(), ": shares a key with ", owner->second));
      }
    }
  }
}

}  // namespace

std::vector<std::string> ValidateTraffic(const TrafficConfiguration& configuration) {
  Errors errors;
  const auto services = CheckNames(configuration.services(), "service", &errors);
  CheckRoutes(configuration, services, &errors);
  CheckTenants(configuration, &errors);
  return errors;
}

}  // namespace posthatch::control
