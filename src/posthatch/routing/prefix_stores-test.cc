#include "posthatch/routing/prefix_stores.h"

#include "posthatch/routing/store_health_checker.h"
#include "posthatch/routing/traffic_fixture-test.h"

namespace posthatch::routing {
namespace {

class PrefixStoresTest : public TrafficTest {
 protected:
  PrefixStoresTest() {
    control::TrafficService* service = view_.fleet.mutable_traffic()->add_services();
    service->set_name("store");
    service->mutable_store()->set_endpoint("store:1");
    stores_.Rebuild(view_.fleet.traffic());
    clock_.now += seconds(100);
  }
  bool IsUsable() const { return stores_.StoreFor(1) != nullptr; }

  PrefixStores stores_{&runtime_};
};

TEST_F(PrefixStoresTest, StoreIsUsedOnlyWhileItIsHeardOf) {
  EXPECT_FALSE(IsUsable());
  stores_.RecordHealth("store:1", true);
  EXPECT_TRUE(IsUsable());
  clock_.now += seconds(3);
  EXPECT_FALSE(IsUsable());
}

TEST_F(PrefixStoresTest, OneWatcherThatCannotReachItIsEnough) {
  stores_.RecordHealth("store:1", true);
  stores_.RecordHealth("store:1", false);
  stores_.RecordHealth("store:1", true);
  EXPECT_FALSE(IsUsable());
  clock_.now += milliseconds(1300);
  stores_.RecordHealth("store:1", true);
  EXPECT_TRUE(IsUsable());
}

TEST_F(PrefixStoresTest, LateFetchesPauseItAndANewConfigurationKeepsThat) {
  stores_.RecordHealth("store:1", true);
  stores_.RecordFetch("store:1", true);
  EXPECT_TRUE(IsUsable());
  stores_.RecordFetch("store:1", true);
  EXPECT_FALSE(IsUsable());
  stores_.Rebuild(view_.fleet.traffic());
  EXPECT_FALSE(IsUsable());
  clock_.now += milliseconds(1100);
  EXPECT_TRUE(IsUsable());
  stores_.RecordFetch("elsewhere:1", true);
  EXPECT_TRUE(IsUsable());
}

TEST_F(PrefixStoresTest, StoreThatLeavesTheConfigurationIsForgotten) {
  stores_.RecordHealth("store:1", true);
  view_.fleet.mutable_traffic()->mutable_services()->RemoveLast();
  stores_.Rebuild(view_.fleet.traffic());
  EXPECT_FALSE(IsUsable());
  EXPECT_TRUE(stores_.Endpoints().empty());
}

class StoreHealthCheckerTest : public TrafficTest {
 protected:
  StoreHealthCheckerTest() {
    StoreHealthChecker::Parts parts;
    parts.stores = [] { return std::vector<std::string>{"store:1"}; };
    parts.is_responsible = [this] { return responsible_; };
    parts.report = [this](const std::string&, bool alive) { reports_.push_back(alive); };
    watch_ = std::make_unique<StoreHealthChecker>(&runtime_, StoreHealthCheckerOptions(),
                                                  std::move(parts));
    watch_->Start();
  }

  bool responsible_ = true;
  std::vector<bool> reports_;
  std::unique_ptr<StoreHealthChecker> watch_;
};

TEST_F(StoreHealthCheckerTest, AnswersAndFailuresAreReportedAndThePollsGoOn) {
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

TEST_F(StoreHealthCheckerTest, GatewayThatIsNoCollectorAnyMoreStops) {
  responsible_ = false;
  timers_.Advance(seconds(3));
  EXPECT_EQ(client_.calls.size(), 1U);
  responsible_ = true;
  timers_.Advance(seconds(1));
  EXPECT_GE(client_.calls.size(), 2U);
}

}  // namespace
}  // namespace posthatch::routing
