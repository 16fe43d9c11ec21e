#include "posthatch/traffic/prompt_stores.h"

#include "posthatch/traffic/store_watch.h"
#include "posthatch/traffic/traffic_fixture-test.h"

namespace posthatch::traffic {
namespace {

class PromptStoresTest : public TrafficTest {
 protected:
  PromptStoresTest() {
    control::TrafficService* service = view_.fleet.mutable_traffic()->add_services();
    service->set_name("store");
    service->mutable_store()->set_endpoint("store:1");
    stores_.Rebuild(view_.fleet.traffic());
    clock_.now += seconds(100);
  }
  bool Usable() const { return stores_.For(1) != nullptr; }

  PromptStores stores_{&runtime_};
};

TEST_F(PromptStoresTest, StoreIsUsedOnlyWhileItIsHeardOf) {
  EXPECT_FALSE(Usable());
  stores_.OnHealth("store:1", true);
  EXPECT_TRUE(Usable());
  clock_.now += seconds(3);
  EXPECT_FALSE(Usable());
}

TEST_F(PromptStoresTest, OneWatcherThatCannotReachItIsEnough) {
  stores_.OnHealth("store:1", true);
  stores_.OnHealth("store:1", false);
  stores_.OnHealth("store:1", true);
  EXPECT_FALSE(Usable());
  clock_.now += milliseconds(1300);
  stores_.OnHealth("store:1", true);
  EXPECT_TRUE(Usable());
}

TEST_F(PromptStoresTest, LateFetchesPauseItAndANewConfigurationKeepsThat) {
  stores_.OnHealth("store:1", true);
  stores_.OnFetched("store:1", true);
  EXPECT_TRUE(Usable());
  stores_.OnFetched("store:1", true);
  EXPECT_FALSE(Usable());
  stores_.Rebuild(view_.fleet.traffic());
  EXPECT_FALSE(Usable());
  clock_.now += milliseconds(1100);
  EXPECT_TRUE(Usable());
  stores_.OnFetched("elsewhere:1", true);
  EXPECT_TRUE(Usable());
}

TEST_F(PromptStoresTest, StoreThatLeavesTheConfigurationIsForgotten) {
  stores_.OnHealth("store:1", true);
  view_.fleet.mutable_traffic()->mutable_services()->RemoveLast();
  stores_.Rebuild(view_.fleet.traffic());
  EXPECT_FALSE(Usable());
  EXPECT_TRUE(stores_.Endpoints().empty());
}

class StoreWatchTest : public TrafficTest {
 protected:
  StoreWatchTest() {
    StoreWatch::Parts parts;
    parts.stores = [] { return std::vector<std::string>{"store:1"}; };
    parts.is_responsible = [this] { return responsible_; };
    parts.report = [this](const std::string&, bool alive) { reports_.push_back(alive); };
    watch_ = std::make_unique<StoreWatch>(&runtime_, StoreWatchOptions(), std::move(parts));
    watch_->Start();
  }

  bool responsible_ = true;
  std::vector<bool> reports_;
  std::unique_ptr<StoreWatch> watch_;
};

TEST_F(StoreWatchTest, AnswersAndFailuresAreReportedAndThePollsGoOn) {
  ASSERT_EQ(client_.calls.size(), 1U);
  EXPECT_EQ(Last().endpoint, "store:1");
  Last().observer.on_head({});
  Last().Piece(R"({"epoch":4,"next":9,"events":[]})");
  Last().End();
  EXPECT_EQ(reports_, std::vector<bool>{true});
  timers_.Advance(milliseconds(400));
  ASSERT_EQ(client_.calls.size(), 2U);
  Last().observer.on_error({absl::UnavailableError("test"), http::CallProgress::kNotSent});
  EXPECT_EQ(reports_, (std::vector<bool>{true, false}));
  timers_.Advance(milliseconds(400));
  EXPECT_EQ(client_.calls.size(), 3U);
}

TEST_F(StoreWatchTest, GatewayThatIsNoCollectorAnyMoreStops) {
  responsible_ = false;
  timers_.Advance(seconds(3));
  EXPECT_EQ(client_.calls.size(), 1U);
  responsible_ = true;
  timers_.Advance(seconds(1));
  EXPECT_GE(client_.calls.size(), 2U);
}

}  // namespace
}  // namespace posthatch::traffic
