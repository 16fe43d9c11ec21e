#pragma once

#include <string>

#include "posthatch/fleettest/fleet.h"
#include "posthatch/fleettest/process_control_client.h"

namespace posthatch::fleettest {

// Polls a controller for the current leader, for faults that target it. The result is a hint:
// another controller may lead when a fault begins. Event loop thread only.
class LeaderWatch {
 public:
  LeaderWatch(ProcessControlClient* control, runtime::Runtime* runtime, Fleet* fleet);
  LeaderWatch(const LeaderWatch&) = delete;
  LeaderWatch& operator=(const LeaderWatch&) = delete;

  // Name of the leading controller; empty if unknown.
  const std::string& leader() const { return leader_; }

 private:
  void Poll();

  ProcessControlClient* const control_;
  runtime::Runtime* const runtime_;
  Fleet* const fleet_;
  std::string leader_;
  runtime::Timer timer_;
};

// The leader's node id in the body of GET /admin/v1/controllers; empty if it names none.
std::string ParseLeader(const std::string& controllers_json);

}  // namespace posthatch::fleettest
