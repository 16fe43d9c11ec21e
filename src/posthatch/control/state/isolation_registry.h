#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "google/protobuf/repeated_ptr_field.h"
#include "posthatch/control/control.pb.h"

namespace posthatch::control {

// Which tenants are isolated, and the generation of each isolation domain (see TenantIsolation). A
// generation is the log index of the domain's last change. When a tenant enters or leaves isolation
// both its own domain and the shared one get a new generation: its blocks in the shared domain must
// no longer be used by other tenants, nor theirs by this tenant. Removed tenants are remembered, so
// that a new tenant of the same name can't reach the blocks of the removed one. Part of the
// replicated state; owned by ControlState.
class IsolationRegistry {
 public:
  struct TenantStatus {
    std::string name;
    bool isolated = false;
  };

  // Applies the tenants in force since `log_index`. Returns the sorted names of those whose
  // domain or generation changed, "" for the shared domain.
  std::vector<std::string> Update(uint64_t log_index, const std::vector<TenantStatus>& tenants);

  // The tenants of a configuration, with whether its isolation rules isolate them.
  static std::vector<TenantStatus> EvaluateTenants(const Configuration& configuration);

  void Save(google::protobuf::RepeatedPtrField<TenantIsolation>* isolation) const;
  void Restore(const google::protobuf::RepeatedPtrField<TenantIsolation>& isolation);

 private:
  struct Domain {
    bool isolated = false;
    bool removed = false;  // not in the current configuration
    uint64_t generation = 0;
  };

  std::map<std::string, Domain> tenants_;
  uint64_t shared_generation_ = 0;
};

}  // namespace posthatch::control
