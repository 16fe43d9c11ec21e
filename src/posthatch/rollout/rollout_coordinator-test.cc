#include "posthatch/rollout/rollout_coordinator.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "posthatch/simulation/sim_world.h"

namespace posthatch::rollout {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class TestWorkerCommandFormat : public WorkerCommandFormat {
 public:
  http::Request MakeLoadWeightsRequest(const LoadWeightsCommand& command) const override {
    http::Request request;
    request.method = "POST";
    request.target = "/order/" + std::to_string(command.revision);
    request.headers.Add("Token", std::to_string(command.fencing_token));
    return request;
  }
  WorkerCommandResult ParseCommandResult(const http::Response& head) const override {
    return head.status == 202   ? WorkerCommandResult::kAccepted
           : head.status == 412 ? WorkerCommandResult::kFenced
                                : WorkerCommandResult::kUnknown;
  }
  http::Request MakeStatusRequest(const std::string&) const override {
    http::Request request;
    request.method = "GET";
    request.target = "/report";
    return request;
  }
  absl::StatusOr<WorkerStatus> ParseStatus(const std::string& body,
                                           const std::string&) const override {
    WorkerStatus status;
    status.revision = std::stoull(body);
    status.busy = status.revision == 0;
    return status;
  }
};

// A leading controller, and workers that take `load_time_` to load weights.
class RolloutCoordinatorTest : public testing::Test {
 protected:
  static constexpr int kWorkers = 10;

  RolloutCoordinatorTest() : world_(3) {
    controller_ = world_.AddHost("controller", "a", "10.0.0.1");
    for (int i = 0; i < kWorkers; ++i) AddWorker("w" + std::to_string(i), i);
    controller_->SetBoot([this](runtime::Runtime* runtime) {
      RolloutOptions options;
      options.issuer = "controller";
      RolloutCoordinator::Dependencies dependencies;
      dependencies.format = &format_;
      dependencies.fleet = [this]() -> const control::FleetState& { return fleet_; };
      dependencies.revisions = &revision_timeline_;
      dependencies.may_command = [this] { return may_command_; };
      dependencies.publish = [this] { Publish(); };
      coordinator_ = std::make_shared<RolloutCoordinator>(runtime, options, dependencies);
      return coordinator_;
    });
    controller_->Start();
    control::ModelRevision* revision = fleet_.add_revisions();
    revision->set_model("m");
    revision->set_revision(1);
  }

  void AddWorker(const std::string& id, int number) {
    simulation::SimHost* host = world_.AddHost(id, "a", "10.0.1." + std::to_string(number + 1));
    revisions_[id] = 1;
    host->SetBoot([this, id, host](runtime::Runtime* runtime) -> std::shared_ptr<void> {
      auto server = runtime->http_servers->Listen(
          host->http_endpoint(), {},
          [this, id](const http::Request& request,
                     const std::shared_ptr<http::ResponseWriter>& writer) {
            writer->SendResponse(RespondTo(id, request));
          });
      return std::shared_ptr<http::HttpServer>(std::move(*server));
    });
    host->Start();
    control::Backend* backend = fleet_.mutable_inventory()->add_backends();
    backend->set_id(id);
    backend->set_kind(control::BACKEND_KIND_WORKER);
    backend->set_endpoint(host->http_endpoint());
    backend->set_model("m");
    backend->set_model_revision(1);
  }

  http::Response RespondTo(const std::string& id, const http::Request& request) {
    http::Response response;
    if (request.target == "/report") {
      response.body = std::to_string(loading_.contains(id) ? 0 : revisions_[id]);
      return response;
    }
    commanded_workers_.push_back(id);
    tokens_.emplace_back(request.headers.Get("Token"));
    response.status = command_status_;
    if (command_status_ != 202) return response;
    EXPECT_TRUE(MarkedLoading(id)) << "a worker must be marked as loading before it gets a command";
    loading_[id] = std::stoull(request.target.substr(7));
    max_concurrent_loads_ = std::max(max_concurrent_loads_, loading_.size());
    if (stuck_workers_.contains(id)) return response;
    world_.At(load_time_, [this, id] {
      revisions_[id] = loading_[id];
      loading_.erase(id);
    });
    return response;
  }

  bool MarkedLoading(const std::string& id) const {
    return std::any_of(
        fleet_.inventory().backends().begin(), fleet_.inventory().backends().end(),
        [&](const control::Backend& backend) { return backend.id() == id && backend.loading(); });
  }

  // Replicates an inventory as the control state does. Its revisions are outdated, like those of
  // the platform's inventory, which lags behind.
  void Publish() {
    if (!publishing_) return;
    control::Inventory inventory = fleet_.inventory();
    for (control::Backend& backend : *inventory.mutable_backends()) backend.set_model_revision(1);
    coordinator_->Annotate(&inventory);
    *fleet_.mutable_inventory() = inventory;
  }

  void SetModelRevision(uint64_t revision) {
    fleet_.mutable_revisions(0)->set_revision(revision);
    revision_timeline_.Observe(fleet_, world_.Now());
  }
  size_t CommandedWorkers() const {
    return std::set(commanded_workers_.begin(), commanded_workers_.end()).size();
  }
  bool AllServe(uint64_t revision) const {
    return std::all_of(revisions_.begin(), revisions_.end(),
                       [&](const auto& entry) { return entry.second == revision; });
  }

  TestWorkerCommandFormat format_;
  simulation::SimWorld world_;
  simulation::SimHost* controller_;
  control::FleetState fleet_;
  control::RevisionTimeline revision_timeline_;
  std::shared_ptr<RolloutCoordinator> coordinator_;
  std::map<std::string, uint64_t> revisions_;
  std::map<std::string, uint64_t> loading_;
  std::vector<std::string> commanded_workers_;
  std::vector<std::string> tokens_;
  size_t max_concurrent_loads_ = 0;
  runtime::Duration load_time_ = milliseconds(700);
  std::set<std::string> stuck_workers_;
  int command_status_ = 202;
  bool may_command_ = true;
  bool publishing_ = true;
};

TEST_F(RolloutCoordinatorTest, RollsOutInBatchesWithOneCommandEach) {
  coordinator_->OnLeadership(true, 7);
  world_.RunFor(seconds(4));
  SetModelRevision(2);
  world_.RunFor(seconds(9));
  EXPECT_TRUE(AllServe(2));
  EXPECT_EQ(commanded_workers_.size(), static_cast<size_t>(kWorkers));
  EXPECT_LE(max_concurrent_loads_, 4U);
  for (const std::string& token : tokens_) EXPECT_EQ(token, "7");
}

TEST_F(RolloutCoordinatorTest, WritesEventsForStartProgressAndFinish) {
  coordinator_->OnLeadership(true, 7);
  SetModelRevision(2);
  world_.RunFor(seconds(9));
  std::map<std::string, int> events;
  for (const std::string& line : world_.RecentTrace()) {
    for (const char* event : {"RolloutStarted", "WeightLoadFinished", "RolloutFinished"}) {
      if (line.find(event) != std::string::npos) ++events[event];
    }
  }
  EXPECT_EQ(events["RolloutStarted"], 1);
  EXPECT_EQ(events["WeightLoadFinished"], kWorkers);
  EXPECT_EQ(events["RolloutFinished"], 1);
}

TEST_F(RolloutCoordinatorTest, CanaryGoesFirst) {
  coordinator_->OnLeadership(true, 7);
  world_.RunFor(seconds(4));
  SetModelRevision(2);
  world_.RunFor(milliseconds(900));
  EXPECT_EQ(commanded_workers_.size(), 1U);
}

TEST_F(RolloutCoordinatorTest, NewLeaderSkipsRecentlyCommandedWorkers) {
  for (control::Backend& backend : *fleet_.mutable_inventory()->mutable_backends()) {
    backend.set_recently_ordered(true);
  }
  SetModelRevision(2);
  coordinator_->OnLeadership(true, 7);
  Publish();
  world_.RunFor(milliseconds(2900));
  EXPECT_TRUE(commanded_workers_.empty());
  world_.RunFor(seconds(1));
  EXPECT_FALSE(commanded_workers_.empty());
}

TEST_F(RolloutCoordinatorTest, NewLeaderContinuesWithOtherWorkers) {
  control::Backend* commanded = fleet_.mutable_inventory()->mutable_backends(0);
  commanded->set_recently_ordered(true);
  commanded->set_model_revision(2);
  revisions_["w0"] = 2;
  SetModelRevision(2);
  coordinator_->OnLeadership(true, 8);
  world_.RunFor(milliseconds(2000));
  EXPECT_GE(commanded_workers_.size(), 4U);
  EXPECT_EQ(std::count(commanded_workers_.begin(), commanded_workers_.end(), "w0"), 0);
}

TEST_F(RolloutCoordinatorTest, CommandsOnlyAfterMarkIsReplicated) {
  publishing_ = false;
  coordinator_->OnLeadership(true, 7);
  SetModelRevision(2);
  world_.RunFor(seconds(5));
  EXPECT_TRUE(commanded_workers_.empty());
  publishing_ = true;
  Publish();
  world_.RunFor(seconds(1));
  EXPECT_EQ(commanded_workers_.size(), 1U);
}

TEST_F(RolloutCoordinatorTest, CommandsNothingWithoutQuorum) {
  coordinator_->OnLeadership(true, 7);
  world_.RunFor(seconds(4));
  may_command_ = false;
  SetModelRevision(2);
  world_.RunFor(seconds(3));
  EXPECT_TRUE(commanded_workers_.empty());
}

TEST_F(RolloutCoordinatorTest, ReachesRevisionSetDuringRollout) {
  coordinator_->OnLeadership(true, 7);
  world_.RunFor(seconds(4));
  SetModelRevision(2);
  world_.RunFor(milliseconds(1500));
  SetModelRevision(3);
  world_.RunFor(seconds(14));
  EXPECT_TRUE(AllServe(3));
}

// Incident 34: the last workers were commanded past the deadline when loads were slow.
TEST_F(RolloutCoordinatorTest, CommandsAllBeforeDeadlineWhenLoadsAreSlow) {
  load_time_ = seconds(5);
  coordinator_->OnLeadership(true, 7);
  world_.RunFor(seconds(4));
  SetModelRevision(2);
  world_.RunFor(seconds(10));
  EXPECT_EQ(CommandedWorkers(), static_cast<size_t>(kWorkers));
}

// Incident 34: a worker whose load never finished occupied its slot forever.
TEST_F(RolloutCoordinatorTest, StuckCanaryDoesNotBlockOthers) {
  coordinator_->OnLeadership(true, 7);
  world_.RunFor(seconds(4));
  stuck_workers_ = {"w0"};
  SetModelRevision(2);
  world_.RunFor(seconds(12));
  EXPECT_EQ(CommandedWorkers(), static_cast<size_t>(kWorkers));
  EXPECT_EQ(revisions_["w9"], 2U);
}

// A worker that never finishes loading stays overdue. The next revision must still go to a canary
// first, and then to a few workers at a time.
TEST_F(RolloutCoordinatorTest, OverdueWorkerDoesNotSpeedUpNextRevision) {
  coordinator_->OnLeadership(true, 7);
  world_.RunFor(seconds(4));
  stuck_workers_ = {"w0"};
  SetModelRevision(2);
  world_.RunFor(seconds(20));
  max_concurrent_loads_ = 0;
  loading_.clear();
  commanded_workers_.clear();
  SetModelRevision(3);
  world_.RunFor(milliseconds(800));
  EXPECT_LE(CommandedWorkers(), 2U) << "the canary and the overdue worker";
  world_.RunFor(seconds(9));
  EXPECT_EQ(CommandedWorkers(), static_cast<size_t>(kWorkers));
  EXPECT_LE(max_concurrent_loads_, 5U);
}

// A new leader must keep the deadline that began under its predecessor.
TEST_F(RolloutCoordinatorTest, NewLeaderMeetsDeadlineOfRevisionSetBefore) {
  load_time_ = seconds(3);
  SetModelRevision(2);
  world_.RunFor(seconds(7));
  coordinator_->OnLeadership(true, 8);
  Publish();
  world_.RunFor(seconds(4));
  EXPECT_EQ(CommandedWorkers(), static_cast<size_t>(kWorkers));
}

TEST_F(RolloutCoordinatorTest, FencedLeaderBacksOff) {
  coordinator_->OnLeadership(true, 7);
  world_.RunFor(seconds(4));
  command_status_ = 412;
  SetModelRevision(2);
  world_.RunFor(seconds(3));
  EXPECT_LE(commanded_workers_.size(), 8U);
}

TEST_F(RolloutCoordinatorTest, KeepsMarksDuringHandover) {
  fleet_.mutable_inventory()->mutable_backends(2)->set_loading(true);
  fleet_.mutable_inventory()->mutable_backends(2)->set_recently_ordered(true);
  coordinator_->OnLeadership(true, 8);
  Publish();
  EXPECT_TRUE(fleet_.inventory().backends(2).loading());
  world_.RunFor(milliseconds(3500));
  Publish();
  EXPECT_FALSE(fleet_.inventory().backends(2).loading());
}

}  // namespace
}  // namespace posthatch::rollout
