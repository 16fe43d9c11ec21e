#include "posthatch/control/server/worker_lease_planner.h"

#include <gtest/gtest.h>

#include "posthatch/control/server/session_table.h"

namespace posthatch::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kTerm = 5;
constexpr runtime::Duration kLease = seconds(4);

class RestartedGatewayPlanTest : public testing::Test {
 protected:
  RestartedGatewayPlanTest() {
    for (const char* worker : {"w1", "w2"}) {
      WorkerLease* lease = fleet_.add_leases();
      lease->set_worker_id(worker);
      lease->set_holder(worker == std::string("w1") ? "g1" : "g2");
      lease->set_holder_incarnation(100);
    }
  }
  // Renews the session of a gateway's incarnation; `granted` is the last renewal whose grant it
  // received.
  void Renew(const std::string& gateway, uint64_t incarnation, uint64_t number, uint64_t granted,
             uint64_t granted_term = kTerm) {
    now_ += milliseconds(10);
    SessionRenewal renewal;
    renewal.set_gateway(gateway);
    renewal.set_incarnation(incarnation);
    renewal.set_renewal(number);
    renewal.set_granted_renewal(granted);
    renewal.set_granted_term(granted_term);
    sessions_.Renew(renewal, gateway + ":1", now_, kLease, 0, kTerm);
  }
  GrantWorkerLeases Plan() const {
    return WorkerLeasePlanner::PlanForRestartedGateways(fleet_, sessions_);
  }

  FleetState fleet_;
  SessionTable sessions_;
  runtime::MonotonicTime now_{std::chrono::hours(1)};
};

TEST_F(RestartedGatewayPlanTest, RestartedGatewayRegainsWorkersAfterAckingGrant) {
  Renew("g1", 7, 1, 0, 0);
  EXPECT_EQ(Plan().grants_size(), 0) << "its first renewal may have been delayed by a partition";
  Renew("g1", 7, 2, 1);
  const GrantWorkerLeases plan = Plan();
  ASSERT_EQ(plan.grants_size(), 1);
  EXPECT_EQ(plan.grants(0).worker_id(), "w1");
  EXPECT_EQ(plan.grants(0).holder(), "g1");
  EXPECT_EQ(plan.grants(0).holder_incarnation(), 7U);
  ASSERT_EQ(plan.released_size(), 1);
  EXPECT_EQ(plan.released(0), "w1");
}

TEST_F(RestartedGatewayPlanTest, RenewingIncarnationKeepsLeases) {
  Renew("g1", 100, 1, 0, 0);
  Renew("g1", 100, 2, 1);
  EXPECT_EQ(Plan().grants_size(), 0);
}

TEST_F(RestartedGatewayPlanTest, DelayedRenewalsOfPreviousIncarnationTakeNoLeases) {
  Renew("g1", 100, 1, 0, 0);
  Renew("g1", 100, 2, 1);
  // Renewals of the previous incarnation that acknowledge no grant of this leader, or one of
  // another term.
  Renew("g1", 3, 1, 0, 0);
  Renew("g1", 3, 2, 1, kTerm - 1);
  EXPECT_EQ(Plan().grants_size(), 0);
  EXPECT_NE(sessions_.Find({"g1", 100}), nullptr);
}

TEST_F(RestartedGatewayPlanTest, PreviousIncarnationSessionsExpire) {
  Renew("g1", 100, 1, 0, 0);
  Renew("g1", 7, 1, 0, 0);
  EXPECT_FALSE(sessions_.AckedByAllSessions(9, now_));
  EXPECT_NE(sessions_.Find({"g1", 100}), nullptr);
  Renew("g1", 7, 2, 1);
  EXPECT_EQ(sessions_.Find({"g1", 100}), nullptr);
  EXPECT_NE(sessions_.Find({"g1", 7}), nullptr);
}

TEST_F(RestartedGatewayPlanTest, IncarnationsOfUnknownOrderAreBothKept) {
  Renew("g1", 7, 1, 0, 0);
  Renew("g1", 100, 1, 0, 0);  // it is unknown which of the two is the later one
  Renew("g1", 7, 2, 1);
  EXPECT_NE(sessions_.Find({"g1", 100}), nullptr);
  EXPECT_EQ(Plan().grants_size(), 0);
}

}  // namespace
}  // namespace posthatch::control
