#include "posthatch/invalidation/server_selector.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

#include "posthatch/invalidation/fake_runtime-test.h"

namespace posthatch::invalidation {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;

constexpr char kRelay[] = "10.0.0.9:7000";

class ServerSelectorTest : public testing::Test {
 protected:
  FakeClock clock_;
  std::vector<std::string> controllers_{"a", "b"};
  ServerSelector selector_{&clock_, [this] { return controllers_; }};
};

TEST_F(ServerSelectorTest, TakesControllersInTurn) {
  EXPECT_EQ(selector_.Current(), "a");
  selector_.Advance();
  EXPECT_EQ(selector_.Current(), "b");
  selector_.Advance();
  EXPECT_EQ(selector_.Current(), "a");
  controllers_.clear();
  EXPECT_EQ(selector_.Current(), "");
}

TEST_F(ServerSelectorTest, FollowsRedirectionUntilItAdvances) {
  EXPECT_TRUE(selector_.Redirect("a", kRelay));
  EXPECT_EQ(selector_.Current(), kRelay);
  EXPECT_EQ(selector_.redirected_from(), "a");
  selector_.Advance();
  EXPECT_EQ(selector_.Current(), "b");
  EXPECT_EQ(selector_.redirected_from(), "");
}

TEST_F(ServerSelectorTest, RejectsTheFourthRedirectionInARow) {
  for (int i = 0; i < 3; ++i) EXPECT_TRUE(selector_.Redirect("a", kRelay));
  EXPECT_FALSE(selector_.Redirect("a", kRelay));
  selector_.OnRefused("a");
  EXPECT_TRUE(selector_.Redirect("a", kRelay))
      << "a refusal resets the number of consecutive redirections";
}

TEST_F(ServerSelectorTest, AvoidsAFailedRelayForAWhile) {
  selector_.OnNoResponse("a");
  EXPECT_THAT(selector_.AvoidedRelays(), IsEmpty()) << "controllers are never avoided";
  ASSERT_TRUE(selector_.Redirect("a", kRelay));
  selector_.OnNoResponse(kRelay);
  EXPECT_THAT(selector_.AvoidedRelays(), ElementsAre(kRelay));
  clock_.now += std::chrono::seconds(30);
  EXPECT_THAT(selector_.AvoidedRelays(), IsEmpty());
}

TEST_F(ServerSelectorTest, LeavesTheRelayWhoseRegistrationIsLost) {
  ASSERT_TRUE(selector_.Redirect("a", kRelay));
  selector_.OnRegistrationLost("a");
  EXPECT_EQ(selector_.Current(), kRelay) << "the lost registration was at another server";
  selector_.OnRegistrationLost(kRelay);
  EXPECT_EQ(selector_.Current(), "a");
  EXPECT_THAT(selector_.AvoidedRelays(), ElementsAre(kRelay));
}

}  // namespace
}  // namespace posthatch::invalidation
