#include "posthatch/routing/store_health_checker.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "posthatch/routing/traffic_fixture-test.h"

namespace posthatch::routing {
namespace {

class StoreHealthCheckerTest : public TrafficTest {
 protected:
  StoreHealthCheckerTest() {
    StoreHealthChecker::Dependencies dependencies;
    dependencies.stores = [] { return std::vector<std::string>{"store:1"}; };
    dependencies.is_responsible = [this] { return responsible_; };
    dependencies.report = [this](const std::string&, bool alive) { reports_.push_back(alive); };
    checker_ = std::make_unique<StoreHealthChecker>(&runtime_, StoreHealthCheckerOptions(),
                                                    std::move(dependencies));
    checker_->Start();
  }

  bool responsible_ = true;
  std::vector<bool> reports_;
  std::unique_ptr<StoreHealthChecker> checker_;
};

TEST_F(StoreHealthCheckerTest, ReportsResponsesAndFailures) {
  ASSERT_EQ(client_.calls.size(), 1U);
  EXPECT_EQ(Last().endpoint, "store:1");
  Last().observer.on_head({});
  Last().Chunk(R"({"epoch":4,"next":9,"events":[]})");
  Last().End();
  EXPECT_EQ(reports_, std::vector<bool>{true});
  timers_.Advance(milliseconds(400));
  ASSERT_EQ(client_.calls.size(), 2U);
  Last().observer.on_error({absl::UnavailableError("test"), http::CallProgress::kNotSent});
  EXPECT_EQ(reports_, (std::vector<bool>{true, false}));
  timers_.Advance(milliseconds(400));
  EXPECT_EQ(client_.calls.size(), 3U);
}

TEST_F(StoreHealthCheckerTest, StopsWhenNotAggregator) {
  responsible_ = false;
  timers_.Advance(seconds(3));
  EXPECT_EQ(client_.calls.size(), 1U);
  responsible_ = true;
  timers_.Advance(seconds(1));
  EXPECT_GE(client_.calls.size(), 2U);
}

}  // namespace
}  // namespace posthatch::routing
