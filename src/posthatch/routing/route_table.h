#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "posthatch/control/control.pb.h"

namespace posthatch::routing {

// Look-ups in one traffic configuration. Refers to the configuration that it was built from, which
// must outlive the table. Owned by TrafficGateway; event loop thread only.
class RouteTable {
 public:
  void Rebuild(const control::TrafficConfiguration& configuration);

  // The route of `host` (a port in it is ignored) with the longest prefix of `target`; null if
  // there is none.
  const control::TrafficRoute* Find(std::string_view host, std::string_view target) const;
  // Null if the key is not known.
  const control::TrafficTenant* FindTenant(const std::string& key) const;
  const control::TrafficService* FindService(const std::string& name) const;

  // Whether calls need a key at all.
  bool has_tenants() const { return has_tenants_; }

 private:
  // Routes of one host, longest prefix first.
  using Routes = std::vector<const control::TrafficRoute*>;

  absl::flat_hash_map<std::string, Routes> routes_;
  absl::flat_hash_map<std::string, const control::TrafficTenant*> tenants_;
  absl::flat_hash_map<std::string, const control::TrafficService*> services_;
  bool has_tenants_ = false;
};

}  // namespace posthatch::routing
