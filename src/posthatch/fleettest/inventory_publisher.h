#pragma once

#include <set>
#include <string>
#include <vector>

#include "posthatch/fleettest/fleet.h"
#include "posthatch/fleettest/process_control_client.h"

namespace posthatch::fleettest {

// Tells the inventory stand-in which back ends there are, when one is replaced or moved. The list
// it starts with comes from its settings. Event loop thread only.
class InventoryPublisher {
 public:
  InventoryPublisher(ProcessControlClient* control, const Scenario* scenario)
      : control_(control), scenario_(scenario) {}

  // Sends the list if it differs from the last one.
  void Publish(const std::vector<ProcessInfo>& processes);
  // Marks a back end as draining or not; later lists keep the mark.
  void SetDraining(const std::string& backend, bool draining, ProcessControlClient::Done done);

 private:
  ProcessControlClient* const control_;
  const Scenario* const scenario_;
  std::set<std::string> draining_;
  std::string inventory_endpoint_;
  std::string last_;
};

}  // namespace posthatch::fleettest
