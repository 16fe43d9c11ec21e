#include "posthatch/rollout/revision_enforcer.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "posthatch/simulation/sim_world.h"

namespace posthatch::rollout {
namespace {

using runtime::Duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

class FakeFleet : public control::FleetView {
 public:
  bool LeaseValid() const override { return true; }
  runtime::MonotonicTime lease_expiry() const override { return {}; }
  const control::FleetState& state() const override { return fleet_state; }
  Duration InventoryAge() const override { return {}; }
  const control::RevisionTimeline& revision_timeline() const override { return revisions; }
  void AddListener(Listener listener) override { listeners_.push_back(std::move(listener)); }

  void SetRevision(uint64_t revision) {
    fleet_state.clear_revisions();
    control::ModelRevision* entry = fleet_state.add_revisions();
    entry->set_model("m");
    entry->set_revision(revision);
    for (const Listener& listener : listeners_) listener(fleet_state);
  }
  control::FleetState fleet_state;
  control::RevisionTimeline revisions;

 private:
  std::vector<Listener> listeners_;
};

struct ReceivedCommand {
  runtime::MonotonicTime time;
  std::string fencing_token;
  std::string body;
};

// A gateway host with the enforcer, and a worker host that records commands and responds with
// `next_status_`.
class RevisionEnforcerTest : public ::testing::Test {
 protected:
  RevisionEnforcerTest() : world_(1) {
    gateway_ = world_.AddHost("gateway", "a", "10.0.0.1");
    worker_ = world_.AddHost("worker", "a", "10.0.0.2");
    worker_->SetBoot([this](runtime::Runtime* runtime) { return BootWorker(runtime); });
    gateway_->SetBoot([this](runtime::Runtime* runtime) { return BootGateway(runtime); });
    control::Backend* backend = fleet_.fleet_state.mutable_inventory()->add_backends();
    backend->set_id("w1");
    backend->set_kind(control::BACKEND_KIND_WORKER);
    backend->set_endpoint(worker_->http_endpoint());
    backend->set_model("m");
    worker_->Start();
    gateway_->Start();
  }

  std::shared_ptr<void> BootWorker(runtime::Runtime* runtime) {
    auto server = runtime->http_servers->Listen(
        worker_->http_endpoint(), {},
        [this](const http::Request& request, const std::shared_ptr<http::ResponseWriter>& writer) {
          commands_.push_back({world_.Now(),
                               std::string(request.headers.Get("X-Posthatch-Fencing-Token")),
                               request.body});
          http::Response response;
          response.status = next_status_;
          writer->SendResponse(response);
        });
    return std::shared_ptr<http::HttpServer>(std::move(*server));
  }

  std::shared_ptr<void> BootGateway(runtime::Runtime* runtime) {
    auto enforcer = std::make_shared<RevisionEnforcer>(runtime, RevisionEnforcerOptions{}, &fleet_,
                                                       [this](const std::string&, uint64_t* token) {
                                                         *token = token_;
                                                         return holds_worker_lease_;
                                                       });
    enforcer->Start();
    return enforcer;
  }

  simulation::SimWorld world_;
  simulation::SimHost* gateway_;
  simulation::SimHost* worker_;
  FakeFleet fleet_;
  std::vector<ReceivedCommand> commands_;
  int next_status_ = 200;
  bool holds_worker_lease_ = true;
  uint64_t token_ = 41;
};

TEST_F(RevisionEnforcerTest, CommandsNewRevisionWithFencingToken) {
  fleet_.SetRevision(3);
  world_.RunFor(milliseconds(300));
  ASSERT_EQ(commands_.size(), 1u);
  EXPECT_EQ(commands_[0].fencing_token, "41");
  EXPECT_NE(commands_[0].body.find("\"revision\":3"), std::string::npos) << commands_[0].body;
  fleet_.SetRevision(4);
  world_.RunFor(milliseconds(50));
  ASSERT_EQ(commands_.size(), 2u) << "a newer revision must not wait for the next check";
}

TEST_F(RevisionEnforcerTest, CommandsNothingWithoutLease) {
  holds_worker_lease_ = false;
  fleet_.SetRevision(3);
  world_.RunFor(seconds(10));
  EXPECT_TRUE(commands_.empty());
  holds_worker_lease_ = true;
  world_.RunFor(seconds(1));
  EXPECT_FALSE(commands_.empty());
}

TEST_F(RevisionEnforcerTest, RetriesUntilServed) {
  next_status_ = 202;
  fleet_.SetRevision(3);
  world_.RunFor(seconds(3));
  EXPECT_GE(commands_.size(), 4u);
  next_status_ = 200;
  world_.RunFor(seconds(1));
  const size_t before = commands_.size();
  world_.RunFor(seconds(10));
  EXPECT_GE(commands_.size() - before, 4u) << "a served revision is checked every two seconds";
  EXPECT_LE(commands_.size() - before, 6u);
}

TEST_F(RevisionEnforcerTest, CommandsReturnedWorker) {
  worker_->Crash();
  fleet_.SetRevision(3);
  world_.RunFor(seconds(5));
  EXPECT_TRUE(commands_.empty());
  worker_->Start();
  world_.RunFor(seconds(3));
  EXPECT_FALSE(commands_.empty());
}

TEST_F(RevisionEnforcerTest, ChecksLeaseAfterFreeze) {
  fleet_.SetRevision(3);
  world_.RunFor(seconds(1));
  gateway_->Freeze();
  holds_worker_lease_ = false;  // the session expires during the freeze
  const size_t before = commands_.size();
  world_.RunFor(seconds(25));
  gateway_->Thaw();
  world_.RunFor(seconds(5));
  EXPECT_EQ(commands_.size(), before);
}

}  // namespace
}  // namespace posthatch::rollout
