#include "posthatch/routing/sse_framer.h"

#include <gtest/gtest.h>

#include <string>

namespace posthatch::routing {
namespace {

TEST(SseFramerTest, FramesAreIndependentOfChunks) {
  const std::string stream =
      "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: note\n\nid: 3\ndata: c\n\n";
  for (size_t cut = 0; cut <= stream.size(); ++cut) {
    SseFramer framer;
    std::string out = framer.Feed(stream.substr(0, cut));
    out += framer.Feed(stream.substr(cut));
    EXPECT_EQ(out, stream) << cut;
    EXPECT_TRUE(framer.at_event_boundary());
    EXPECT_EQ(framer.last_event_id(), "3");
  }
}

TEST(SseFramerTest, SkipsEventsBeforeResumePoint) {
  SseFramer framer;
  framer.SetLastEventId("7");
  EXPECT_EQ(framer.Feed("id: 6\n\nid: 7\n\nid: 8\n\n"), "id: 8\n\n");
}

TEST(SseFramerTest, DiscardsPartialEventOnResume) {
  SseFramer framer;
  EXPECT_EQ(framer.Feed("id: 1\n\nid: 2\nda"), "id: 1\n\n");
  EXPECT_FALSE(framer.at_event_boundary());
  framer.DiscardPartial();
  EXPECT_EQ(framer.Feed("id: 2\ndata: x\n\n"), "id: 2\ndata: x\n\n");
}

}  // namespace
}  // namespace posthatch::routing
