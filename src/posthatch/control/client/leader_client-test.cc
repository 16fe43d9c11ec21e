#include "posthatch/control/client/leader_client.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

#include "posthatch/control/state/commands-test.h"
#include "posthatch/simulation/sim_world.h"

namespace posthatch::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class LeaderClientTest : public testing::TestWithParam<uint64_t> {
 protected:
  LeaderClientTest() : world_(GetParam()), host_(world_.AddHost("client", "z", "10.0.0.1")) {
    host_->SetBoot([](runtime::Runtime*) { return std::make_shared<int>(0); });
    host_->Start();
    locator_.emplace(host_->runtime(), [this] { return controllers_; });
    client_.emplace(host_->runtime(), LeaderClientOptions(), &*locator_,
                    [this](const std::string&, const ControlMessage&) { ++sent_; });
  }
  void Propose(runtime::Duration timeout) {
    client_->Propose(EvacuationChange("r", "z1", "z1", true), timeout, /*until_in_force=*/false,
                     [this](const absl::StatusOr<CommandResult>& result) { result_ = result; });
  }

  simulation::SimWorld world_;
  simulation::SimHost* host_;
  std::vector<std::string> controllers_;
  int sent_ = 0;
  std::optional<absl::StatusOr<CommandResult>> result_;
  std::optional<LeaderLocator> locator_;
  std::optional<LeaderClient> client_;
};

INSTANTIATE_TEST_SUITE_P(Seeds, LeaderClientTest, testing::Range<uint64_t>(1, 6));

// Guards against a command that its caller has abandoned being sent by a process that was frozen
// during a backoff.
TEST_P(LeaderClientTest, SendsNothingAfterTimeoutThatPassedDuringBackoff) {
  Propose(milliseconds(1500));
  world_.RunFor(milliseconds(250));
  EXPECT_EQ(sent_, 0);
  host_->Freeze();
  world_.RunFor(seconds(4));
  controllers_ = {"10.0.0.2:1"};
  host_->Thaw();
  world_.RunFor(seconds(1));
  EXPECT_EQ(sent_, 0);
  ASSERT_TRUE(result_.has_value());
  EXPECT_TRUE(absl::IsResourceExhausted(result_->status())) << result_->status();
}

TEST_P(LeaderClientTest, SendsOnceControllerIsKnown) {
  Propose(milliseconds(1500));
  world_.RunFor(milliseconds(250));
  controllers_ = {"10.0.0.2:1"};
  world_.RunFor(milliseconds(250));
  EXPECT_EQ(sent_, 1);
  EXPECT_FALSE(result_.has_value());
}

}  // namespace
}  // namespace posthatch::control
