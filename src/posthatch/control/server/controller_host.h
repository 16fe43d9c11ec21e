#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "posthatch/control/control.pb.h"

namespace posthatch::control {

// What the process around a ControllerService contributes to it. Implemented by the controller
// process; called on the event loop thread only, and not before the service's constructor returned.
class ControllerHost {
 public:
  virtual ~ControllerHost() = default;
  // Internal endpoints of the controllers believed to exist; used while the log knows no leader.
  virtual std::vector<std::string> ControllerEndpoints() const = 0;
  // JSON body of GET /admin/v1/controllers; nothing if this process has no such view (404).
  virtual std::optional<std::string> ControllersView() const = 0;
  // Adds to a reading of the platform's inventory what the leader knows besides. Called before each
  // comparison with the replicated inventory.
  virtual void AnnotateInventory(Inventory* inventory) = 0;
  // Called after the service began or ended to act as the leader.
  virtual void OnLeadershipChange(bool is_leader, uint64_t term) = 0;
};

}  // namespace posthatch::control
