#include "posthatch/routing/prefix_stores.h"

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

TEST_F(PrefixStoresTest, UsedOnlyWhileReportedHealthy) {
  EXPECT_FALSE(IsUsable());
  stores_.RecordHealth("store:1", true);
  EXPECT_TRUE(IsUsable());
  clock_.now += seconds(3);
  EXPECT_FALSE(IsUsable());
}

TEST_F(PrefixStoresTest, OneUnhealthyReportSuffices) {
  stores_.RecordHealth("store:1", true);
  stores_.RecordHealth("store:1", false);
  stores_.RecordHealth("store:1", true);
  EXPECT_FALSE(IsUsable());
  clock_.now += milliseconds(1300);
  stores_.RecordHealth("store:1", true);
  EXPECT_TRUE(IsUsable());
}

TEST_F(PrefixStoresTest, DelayedFetchesBackOffAcrossConfigurations) {
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

TEST_F(PrefixStoresTest, RemovedStoreIsDropped) {
  stores_.RecordHealth("store:1", true);
  view_.fleet.mutable_traffic()->mutable_services()->RemoveLast();
  stores_.Rebuild(view_.fleet.traffic());
  EXPECT_FALSE(IsUsable());
  EXPECT_TRUE(stores_.Endpoints().empty());
}

}  // namespace
}  // namespace posthatch::routing
