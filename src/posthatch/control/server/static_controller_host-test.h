#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "posthatch/control/client/leader_locator.h"
#include "posthatch/control/server/controller_host.h"

namespace posthatch::control {

// A ControllerHost that only provides the controllers' endpoints.
class StaticControllerHost : public ControllerHost {
 public:
  explicit StaticControllerHost(LeaderLocator::Endpoints controllers)
      : controllers_(std::move(controllers)) {}

  std::vector<std::string> ControllerEndpoints() const override { return controllers_(); }
  std::optional<std::string> ControllersView() const override { return std::nullopt; }
  void AnnotateInventory(Inventory*) override {}
  void OnLeadershipChange(bool, uint64_t) override {}
  void OnSectionsChanged() override {}

 private:
  const LeaderLocator::Endpoints controllers_;
};

}  // namespace posthatch::control
