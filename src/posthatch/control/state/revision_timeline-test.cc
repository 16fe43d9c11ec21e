#include "posthatch/control/state/revision_timeline.h"

#include <gtest/gtest.h>

namespace posthatch::control {
namespace {

using runtime::MonotonicTime;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart{seconds(1000)};

FleetState StateWithRevision(uint64_t revision) {
  FleetState state;
  ModelRevision* newest = state.add_revisions();
  newest->set_model("m");
  newest->set_revision(revision);
  return state;
}

TEST(RevisionTimelineTest, NewestIsNotOutdated) {
  RevisionTimeline timeline;
  EXPECT_EQ(timeline.OutdatedSince("m", 1), std::nullopt);
  timeline.Observe(StateWithRevision(2), kStart);
  EXPECT_EQ(timeline.OutdatedSince("m", 2), std::nullopt);
  EXPECT_EQ(timeline.OutdatedSince("m", 1), kStart);
  EXPECT_EQ(timeline.OutdatedSince("other", 1), std::nullopt);
}

// Incident 34: the second of two new revisions restarted the deadline of workers that were outdated
// since the first one.
TEST(RevisionTimelineTest, LaterRevisionDoesNotRestartDeadline) {
  RevisionTimeline timeline;
  timeline.Observe(StateWithRevision(2), kStart);
  timeline.Observe(StateWithRevision(3), kStart + seconds(8));
  EXPECT_EQ(timeline.OutdatedSince("m", 1), kStart);
  EXPECT_EQ(timeline.OutdatedSince("m", 2), kStart + seconds(8));
}

// Incident 34: a restarted process counted the deadline from when it first received the revision.
TEST(RevisionTimelineTest, ReportedAgeMayPrecedeProcessStart) {
  RevisionTimeline leader;
  leader.Observe(StateWithRevision(2), kStart);
  leader.Observe(StateWithRevision(3), kStart + seconds(3));
  FleetState grant = StateWithRevision(3);
  leader.SaveAges(kStart + seconds(9), grant.mutable_revision_ages());

  constexpr MonotonicTime kOtherClock{seconds(50)};
  RevisionTimeline restarted;
  restarted.Observe(grant, kOtherClock);
  EXPECT_EQ(restarted.OutdatedSince("m", 1), kOtherClock - seconds(9));
  EXPECT_EQ(restarted.OutdatedSince("m", 2), kOtherClock - seconds(6));
}

TEST(RevisionTimelineTest, LargestReportedAgeApplies) {
  RevisionTimeline timeline;
  timeline.Observe(StateWithRevision(2), kStart);
  FleetState report;
  RevisionAge* age = report.add_revision_ages();
  age->set_model("m");
  age->set_revision(2);
  age->set_age_ms(500);
  timeline.Observe(report, kStart + seconds(2));
  EXPECT_EQ(timeline.OutdatedSince("m", 1), kStart);
  age->set_age_ms(2500);
  timeline.Observe(report, kStart + seconds(2));
  EXPECT_EQ(timeline.OutdatedSince("m", 1), kStart - milliseconds(500));
}

TEST(RevisionTimelineTest, MergesOldestRevisionsWithoutExtendingDeadline) {
  RevisionTimeline timeline;
  for (int revision = 1; revision <= 40; ++revision) {
    timeline.Observe(StateWithRevision(revision), kStart + seconds(revision));
  }
  google::protobuf::RepeatedPtrField<RevisionAge> ages;
  timeline.SaveAges(kStart + seconds(60), &ages);
  EXPECT_LE(ages.size(), 8);
  for (int revision = 1; revision < 40; ++revision) {
    const auto since = timeline.OutdatedSince("m", revision);
    ASSERT_TRUE(since.has_value());
    EXPECT_LE(*since, kStart + seconds(revision + 1));
  }
  EXPECT_EQ(timeline.OutdatedSince("m", 39), kStart + seconds(40));
}

}  // namespace
}  // namespace posthatch::control
