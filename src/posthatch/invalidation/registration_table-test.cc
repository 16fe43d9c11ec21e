#include "posthatch/invalidation/registration_table.h"

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>

namespace posthatch::invalidation {
namespace {

using std::chrono::seconds;

class RegistrationTableTest : public testing::Test {
 protected:
  void Add(const std::string& channel, const std::string& endpoint, seconds next_heartbeat) {
    auto registration = std::make_unique<Registration>();
    registration->channel = channel;
    registration->endpoint = endpoint;
    registration->next_heartbeat_at = start_ + next_heartbeat;
    table_.Add(std::move(registration));
  }

  const runtime::MonotonicTime start_{};
  RegistrationTable table_;
};

TEST_F(RegistrationTableTest, ListsAChannelByEndpoint) {
  Add("models", "b", seconds(1));
  Add("models", "a", seconds(2));
  Add("stores", "a", seconds(3));
  const auto models = table_.FindByChannel("models");
  ASSERT_EQ(models.size(), 2U);
  EXPECT_EQ(models[0]->endpoint, "a");
  EXPECT_EQ(models[1]->endpoint, "b");
  EXPECT_EQ(table_.CountByChannel("models"), 2U);
  EXPECT_EQ(table_.CountByChannel("tenants"), 0U);
  EXPECT_EQ(table_.size(), 3U);
}

TEST_F(RegistrationTableTest, NextHeartbeatFollowsTheSchedule) {
  EXPECT_EQ(table_.NextHeartbeat(), nullptr);
  Add("models", "a", seconds(1));
  Add("models", "b", seconds(2));
  Registration* first = table_.NextHeartbeat();
  ASSERT_NE(first, nullptr);
  EXPECT_EQ(first->endpoint, "a");
  table_.ScheduleHeartbeat(first, start_ + seconds(3));
  EXPECT_EQ(table_.NextHeartbeat()->endpoint, "b");
}

TEST_F(RegistrationTableTest, EraseRemovesTheHeartbeatToo) {
  Add("models", "a", seconds(1));
  Add("models", "b", seconds(2));
  table_.Erase("models", "a");
  table_.Erase("models", "unknown");
  EXPECT_EQ(table_.Find("models", "a"), nullptr);
  EXPECT_EQ(table_.NextHeartbeat()->endpoint, "b");
  EXPECT_EQ(table_.CountByChannel("models"), 1U);
}

TEST(RegistrationTest, ListedObjectsAreIncludedOrExcluded) {
  Registration registration;
  registration.listed_objects.insert("model/a");
  EXPECT_TRUE(registration.Covers("model/a"));
  EXPECT_FALSE(registration.Covers("model/b"));
  registration.all_objects = true;
  EXPECT_FALSE(registration.Covers("model/a"));
  EXPECT_TRUE(registration.Covers("model/b"));
}

}  // namespace
}  // namespace posthatch::invalidation
