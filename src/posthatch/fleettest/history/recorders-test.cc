#include "posthatch/fleettest/history/recorders.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <string>

namespace posthatch::fleettest {
namespace {

class FixedClock : public runtime::Clock {
 public:
  runtime::MonotonicTime Now() const override { return now; }
  int64_t WallNanoseconds() const override { return 0; }
  runtime::MonotonicTime now = runtime::FromNanoseconds(1000);
};

class JsonlHistoryRecorderTest : public ::testing::Test {
 protected:
  JsonlHistoryRecorderTest()
      : path_(::testing::TempDir() + "history-" +
              ::testing::UnitTest::GetInstance()->current_test_info()->name() + ".jsonl") {
    std::filesystem::remove(path_);
  }
  ~JsonlHistoryRecorderTest() override { std::filesystem::remove(path_); }

  void WriteRuns(uint32_t count) {
    auto recorder = JsonlHistoryRecorder::Open(&clock_, "worker-1", path_);
    ASSERT_TRUE(recorder.ok()) << recorder.status();
    for (uint32_t i = 0; i < count; ++i) {
      HistoryEvent event;
      event.mutable_run_started()->set_run("run \"quoted\"\n" + std::to_string(i));
      event.mutable_run_started()->set_backend_epoch(UINT64_MAX - i);
      event.mutable_run_started()->add_reused()->set_blocks(i);
      (*recorder)->Record(event);
      clock_.now += std::chrono::nanoseconds(1);
    }
    EXPECT_EQ((*recorder)->lost_events(), 0u);
  }

  FixedClock clock_;
  const std::string path_;
};

TEST_F(JsonlHistoryRecorderTest, EventsComeBackAsRecorded) {
  WriteRuns(100);
  WriteRuns(1);  // appends
  const auto history = LoadHistory(path_);
  ASSERT_TRUE(history.ok()) << history.status();
  ASSERT_EQ(history->events.size(), 101u);
  EXPECT_FALSE(history->truncated_end);
  const HistoryEvent& event = history->events[42];
  EXPECT_EQ(event.time_ns(), 1042);
  EXPECT_EQ(event.recorder(), "worker-1");
  EXPECT_EQ(event.run_started().run(), "run \"quoted\"\n42");
  EXPECT_EQ(event.run_started().backend_epoch(), UINT64_MAX - 42);
  EXPECT_EQ(event.run_started().reused(0).blocks(), 42u);
}

TEST_F(JsonlHistoryRecorderTest, EventsAreWrittenImmediately) {
  auto recorder = JsonlHistoryRecorder::Open(&clock_, "worker-1", path_);
  ASSERT_TRUE(recorder.ok());
  HistoryEvent event;
  event.mutable_run_ended()->set_run("r");
  (*recorder)->Record(event);
  const auto history = LoadHistory(path_);
  ASSERT_TRUE(history.ok());
  EXPECT_EQ(history->events.size(), 1u);
}

TEST_F(JsonlHistoryRecorderTest, DistinguishesTruncatedFromMalformedLines) {
  WriteRuns(2);
  std::ofstream(path_, std::ios::app) << "{\"timeNs\": \"5";
  const auto truncated = LoadHistory(path_);
  ASSERT_TRUE(truncated.ok()) << truncated.status();
  EXPECT_EQ(truncated->events.size(), 2u);
  EXPECT_TRUE(truncated->truncated_end);

  std::ofstream(path_, std::ios::app) << "\n";
  EXPECT_EQ(LoadHistory(path_).status().code(), absl::StatusCode::kDataLoss);
  EXPECT_EQ(LoadHistory(path_ + ".none").status().code(), absl::StatusCode::kNotFound);
}

TEST_F(JsonlHistoryRecorderTest, ReopenedFileContinuesAfterLastCompleteLine) {
  WriteRuns(2);
  std::ofstream(path_, std::ios::app) << "{\"timeNs\": \"5" << std::string(10000, 'x');
  WriteRuns(1);
  const auto history = LoadHistory(path_);
  ASSERT_TRUE(history.ok()) << history.status();
  EXPECT_EQ(history->events.size(), 3u);
  EXPECT_FALSE(history->truncated_end);
}

TEST(MemoryHistoryRecorderTest, SharedListKeepsTimeAndName) {
  FixedClock clock;
  std::vector<HistoryEvent> events;
  MemoryHistoryRecorder late(&clock, "late", &events);
  MemoryHistoryRecorder early(&clock, "early", &events);
  late.Record({});
  clock.now -= std::chrono::nanoseconds(10);
  early.Record({});
  SortByTime(&events);
  EXPECT_EQ(events[0].recorder(), "early");
  EXPECT_EQ(events[1].time_ns(), 1000);
}

}  // namespace
}  // namespace posthatch::fleettest
