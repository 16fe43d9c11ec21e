#include "posthatch/index/kv_events.h"

#include <gtest/gtest.h>

namespace posthatch::index {
namespace {

class MalformedKvEventsTest : public testing::TestWithParam<const char*> {};

TEST_P(MalformedKvEventsTest, IsRejected) { EXPECT_FALSE(ParseKvEvents(GetParam()).ok()); }

constexpr const char* kMalformedBodies[] = {
    "",
    "[]",
    "{",
    R"({"epoch":1})",
    R"({"epoch":1,"next":2,"events":[1]})",
    R"({"epoch":1,"next":2,"events":[{"seq":1,"type":"stored","first":0,"blocks":["xyz"]}]})",
    R"({"epoch":1,"next":2,"events":[{"seq":-1,"type":"lost"}]})",
    R"({"epoch":1,"next":2,"events":[{"seq":1,"type":"stored","blocks":["a"]}]})",
    R"({"epoch":1,"next":2,"events":[{"seq":1,"type":"removed","blocks":["00112233445566778"]}]})",
};

INSTANTIATE_TEST_SUITE_P(Bodies, MalformedKvEventsTest, testing::ValuesIn(kMalformedBodies));

TEST(KvEventsTest, UnknownTypeIsLoss) {
  const auto unknown = ParseKvEvents(R"({"epoch":1,"next":2,"events":[{"seq":1,"type":"new"}]})");
  ASSERT_TRUE(unknown.ok());
  EXPECT_EQ(unknown->events[0].type, KvEvent::Type::kLost);
}

}  // namespace
}  // namespace posthatch::index
