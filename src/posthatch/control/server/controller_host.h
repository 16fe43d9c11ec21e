#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "posthatch/control/control.pb.h"

namespace posthatch::control {

// Interface through which a ControllerService uses the process that contains it. Implemented by the
// controller process; called on the event loop thread only, and only after the service's
// constructor has returned.
class ControllerHost {
 public:
  virtual ~ControllerHost() = default;
  // Internal endpoints of the known controllers; used while the replicated log knows no leader.
  virtual std::vector<std::string> ControllerEndpoints() const = 0;
  // JSON body of GET /admin/v1/controllers; nullopt if this process has no such view (404).
  virtual std::optional<std::string> ControllersView() const = 0;
  // Adds the leader's own data to an inventory read from the platform. Called before each
  // comparison with the replicated inventory.
  virtual void AnnotateInventory(Inventory* inventory) = 0;
  // Called after the service started or stopped acting as the leader.
  virtual void OnLeadershipChange(bool is_leader, uint64_t term) = 0;
  // Called after a command changed a section of the control state, and after a restore.
  virtual void OnSectionsChanged() = 0;
};

}  // namespace posthatch::control
