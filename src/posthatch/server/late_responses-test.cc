#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "posthatch/server/platform_fleet-test.h"

// Workers that send a response a second time, late, in the place of the next one on that
// connection.
namespace posthatch::server {
namespace {

constexpr runtime::Duration kNetworkDelay = std::chrono::microseconds(500);

class LateResponsesTest : public testing::TestWithParam<uint64_t> {
 protected:
  static PlatformFleetPlan Plan() {
    PlatformFleetPlan plan;
    plan.controllers = 3;
    plan.gateways = 2;
    plan.zones = 1;
    plan.workers = 18;
    plan.service_instances = 2;
    // Longer than the time after which a command is repeated.
    plan.load_time = seconds(8);
    plan.status_time = milliseconds(200);
    return plan;
  }
  LateResponsesTest() : fleet_(GetParam(), Plan()) {
    // Equal delays: the parts of a response arrive together, as they do from a real server.
    fleet_.world.SetNetwork({.min_delay = kNetworkDelay, .max_delay = kNetworkDelay});
    fleet_.SendConfiguration(1);
    fleet_.world.RunUntil([this] { return fleet_.acknowledged.contains(1); }, seconds(10));
    fleet_.world.RunFor(seconds(3));
  }
  static void SendCopies(const std::vector<simulation::SimHost*>& hosts,
                         const simulation::ResponseCopies& copies) {
    for (simulation::SimHost* host : hosts) host->SetResponseCopies(copies);
  }

  PlatformFleet fleet_;
};

INSTANTIATE_TEST_SUITE_P(Seeds, LateResponsesTest, testing::Range<uint64_t>(1, 21));

// Incident 48: the copy of a rejection was taken for the rejection of a later dispatch of the same
// request, which ran: it was dispatched once more (rule TWICE), or answered as not run (REFUSED).
TEST_P(LateResponsesTest, CopyOfRejectionRejectsNoLaterDispatch) {
  fleet_.instances.rejected_share = 0.7;
  SendCopies(fleet_.instances.hosts, {.share = 0.8});
  fleet_.RunWithServiceRequests(seconds(30), 60);
  std::vector<std::string> repeated;
  for (const auto& [id, count] : fleet_.instances.executions) {
    if (count > 1) repeated.push_back(id);
  }
  EXPECT_THAT(repeated, testing::IsEmpty());
  const std::vector<std::string> rejected = fleet_.ServiceRequestsWithStatus(503);
  std::vector<std::string> executed;
  for (const std::string& id : rejected) {
    if (fleet_.instances.executions.contains(id)) executed.push_back(id);
  }
  EXPECT_THAT(executed, testing::IsEmpty()) << "answered as not run";
  EXPECT_GT(rejected.size(), 50U);
  EXPECT_GT(fleet_.instances.executions.size(), 200U);
  EXPECT_GT(fleet_.instances.rejections, 1000U);
}

// A copy of another request's response is followed by the request's own.
TEST_P(LateResponsesTest, CopyOfOtherResponseFailsNoDispatch) {
  SendCopies(fleet_.instances.hosts, {.share = 0.8});
  fleet_.RunWithServiceRequests(seconds(30), 60);
  EXPECT_EQ(fleet_.ServiceRequestsWithStatus(502).size(), 0U);
  EXPECT_GT(fleet_.ServiceRequestsWithStatus(200).size(), 1500U);
}

// Incident 48, same cause: the copy of a worker's status was taken for the response to a command,
// which it seemed to have carried out: the worker was left with outdated weights (rule VERSION).
TEST_P(LateResponsesTest, CopyOfStatusConfirmsNoCommand) {
  SendCopies(fleet_.worker_hosts, {.share = 0.8, .max_delay = milliseconds(400)});
  constexpr uint64_t kNewestRevision = 6;
  for (uint64_t revision = 2; revision <= kNewestRevision; ++revision) {
    fleet_.SetRevision(revision);
    fleet_.world.RunFor(seconds(8));
  }
  fleet_.world.RunFor(seconds(90));
  EXPECT_TRUE(fleet_.revision_acknowledged.contains(kNewestRevision));
  EXPECT_EQ(fleet_.OutdatedWorkers(kNewestRevision), 0U);
}

}  // namespace
}  // namespace posthatch::server
