#pragma once

#include <set>
#include <string>
#include <vector>

#include "posthatch/fleettest/fleet.h"
#include "posthatch/fleettest/process_control_client.h"

namespace posthatch::fleettest {

// Updates the inventory emulator when a back end is replaced or moved. Its initial inventory comes
// from its settings. Event loop thread only.
class InventoryPublisher {
 public:
  InventoryPublisher(ProcessControlClient* control, const Scenario* scenario)
      : control_(control), scenario_(scenario) {}

  // Sends the inventory if it differs from the last one sent.
  void Publish(const std::vector<ProcessInfo>& processes);
  // Sets or clears a back end's draining mark, which later updates retain.
  void SetDraining(const std::string& backend, bool draining, ProcessControlClient::Done done);

 private:
  ProcessControlClient* const control_;
  const Scenario* const scenario_;
  std::set<std::string> draining_;
  std::string inventory_endpoint_;
  std::string last_inventory_;
};

}  // namespace posthatch::fleettest
