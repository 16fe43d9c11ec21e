#include "posthatch/gateway/gateway.h"

#include <gtest/gtest.h>

#include "posthatch/gateway/gateway_fixture-test.h"

namespace posthatch::gateway {
namespace {

TEST_F(GatewayTest, RelaysCompleteResponse) {
  StartGateway();
  EXPECT_TRUE(gateway->Ready());
  const auto writer = Complete();
  ASSERT_EQ(client.calls.size(), 1u);
  EXPECT_EQ(LastCall().Field("X-Posthatch-Attempt-Number"), "1");
  EXPECT_EQ(LastCall().Field("X-Posthatch-Tenant"), "one");
  EXPECT_FALSE(LastCall().Field("X-Posthatch-Cache-Salt").empty());
  EXPECT_EQ(LastCall().Field("Authorization"), "");
  LastCall().GoodCompletion();
  EXPECT_EQ(writer->sent_response.status, 200);
  ASSERT_EQ(locator.recorded.size(), 1u);
}

TEST_F(GatewayTest, RelaysStream) {
  StartGateway();
  const auto writer = Complete(true);
  LastCall().Head();
  EXPECT_FALSE(writer->started);
  LastCall().Chunk(LastCall().Event(0));
  LastCall().Chunk(LastCall().Event(1) + "data: [DONE]\n\n");
  EXPECT_FALSE(writer->finished);
  LastCall().End();
  EXPECT_TRUE(writer->finished);
  EXPECT_EQ(writer->written, LastCall().Event(0) + LastCall().Event(1) + "data: [DONE]\n\n");
}

TEST_F(GatewayTest, OperationIsRecordedBeforeAndAfterDispatch) {
  StartGateway();
  const auto writer = Place("k");
  ASSERT_EQ(client.calls.size(), 1u);
  EXPECT_TRUE(LastCall().options.fresh_connection);
  LastCall().GoodOperation("place");
  EXPECT_EQ(writer->sent_response.status, 200);
  EXPECT_EQ(control.Outcome("k"), control::DeliveryOutcome::RESPONDED);
}

}  // namespace
}  // namespace posthatch::gateway
