#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "posthatch/fleettest/fleet.h"
#include "posthatch/fleettest/process_control_client.h"

namespace posthatch::fleettest {

// Polls /readyz of every process until each has returned 200 once. Event loop thread only.
class ReadinessWatch {
 public:
  ReadinessWatch(ProcessControlClient* control, runtime::Runtime* runtime);
  ReadinessWatch(const ReadinessWatch&) = delete;
  ReadinessWatch& operator=(const ReadinessWatch&) = delete;

  void Start(const std::vector<ProcessInfo>& processes);
  bool AllReady() const { return state_->pending.empty(); }
  // Names of the processes that are not ready, for messages.
  std::string NotReady() const;

 private:
  // Outlives the watch while responses are pending.
  struct State {
    std::set<std::string> pending;
  };
  void Poll();

  ProcessControlClient* const control_;
  std::shared_ptr<State> state_ = std::make_shared<State>();
  std::vector<ProcessInfo> processes_;
  runtime::Timer timer_;
};

}  // namespace posthatch::fleettest
