#include "posthatch/control/server/controller_service.h"

#include <gtest/gtest.h>

#include "posthatch/control/server/fleet_harness-test.h"
#include "posthatch/control/server/memory_log-test.h"
#include "posthatch/control/state/commands-test.h"

namespace posthatch::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Controllers with an in-memory log that never fails.
class ControllerServiceTest : public testing::TestWithParam<uint64_t> {
 protected:
  ControllerServiceTest()
      : fleet_(GetParam(), 2, 4, 6, [this](runtime::Runtime* runtime, ControlState* state) {
          auto log = std::make_shared<MemoryLog>(runtime, &cluster_, state);
          return LogParts{log, log.get(), log.get()};
        }) {
    Elect(0);
    EXPECT_TRUE(RunUntil([this] { return AllGatewaysHaveLeases(); }, seconds(3)));
    // Sets a first configuration, which also waits out the session leases of previous leaders.
    fleet_.operator_process->Change(0);
    EXPECT_TRUE(
        RunUntil([this] { return fleet_.operator_process->pending_changes() == 0; }, seconds(12)));
  }

  void Elect(int controller) {
    cluster_.Elect(fleet_.controller_hosts[controller]->internal_endpoint());
  }
  bool RunUntil(const std::function<bool()>& condition, runtime::Duration limit) {
    return fleet_.world.RunUntil(condition, limit);
  }
  GatewaySession& Session(int gateway) {
    return fleet_.Gateway(fleet_.gateway_hosts[gateway])->session;
  }
  bool AllGatewaysHaveLeases() {
    for (int i = 0; i < 4; ++i) {
      if (!Session(i).LeaseValid()) return false;
    }
    return true;
  }
  runtime::Duration MeasureChangeLatency() {
    const runtime::MonotonicTime start = fleet_.world.Now();
    fleet_.operator_process->Change(0);
    EXPECT_TRUE(
        RunUntil([this] { return fleet_.operator_process->pending_changes() == 0; }, seconds(15)));
    return fleet_.world.Now() - start;
  }
  // Checks the history recorded since the start of the test.
  void ExpectNoViolation() {
    std::vector<std::pair<uint64_t, std::string>> versions;
    const ControllerProcess* leader = fleet_.Controller(fleet_.Leader());
    ASSERT_NE(leader, nullptr);
    for (const ConfigurationVersion& version : leader->state.history().versions()) {
      versions.emplace_back(version.version(), version.request_id());
    }
    fleet_.history.SetFinalHistory(std::move(versions));
    EXPECT_GT(fleet_.history.decisions(), 100);
    EXPECT_GT(fleet_.history.acknowledgements(), 0);
    EXPECT_EQ(fleet_.history.Violations(runtime::Duration::zero()), std::vector<std::string>());
  }

  MemoryCluster cluster_;
  FleetHarness fleet_;
};

INSTANTIATE_TEST_SUITE_P(Seeds, ControllerServiceTest, testing::Range<uint64_t>(1, 6));

TEST_P(ControllerServiceTest, AcknowledgedChangeIsInForceEverywhere) {
  for (int i = 0; i < 20; ++i) fleet_.operator_process->Race();
  ASSERT_TRUE(
      RunUntil([this] { return fleet_.operator_process->pending_changes() == 0; }, seconds(20)));
  EXPECT_GT(fleet_.operator_process->rejected(), 0);
  for (int i = 0; i < 4; ++i) {
    EXPECT_EQ(Session(i).state().configuration_version(),
              fleet_.operator_process->newest_version());
  }
  ExpectNoViolation();
}

TEST_P(ControllerServiceTest, FrozenGatewayDelaysAcknowledgementByAtMostItsLease) {
  EXPECT_LT(MeasureChangeLatency(), milliseconds(700));
  fleet_.gateway_hosts[0]->Freeze();
  fleet_.operator_process->excluded_node = fleet_.gateway_hosts[0]->http_endpoint();
  const runtime::Duration waited = MeasureChangeLatency();
  EXPECT_GT(waited, seconds(2));
  EXPECT_LT(waited, milliseconds(4500));
  fleet_.world.RunFor(seconds(25));
  fleet_.gateway_hosts[0]->Thaw();
  fleet_.world.RunFor(seconds(5));
  EXPECT_TRUE(Session(0).LeaseValid());
  ExpectNoViolation();
}

TEST_P(ControllerServiceTest, NewLeaderWaitsForPreviousSessionLeases) {
  // g0 is partitioned from the new leader and still holds a lease of the previous one.
  fleet_.world.Partition("g0", "c1");
  fleet_.world.Partition("c1", "g0");
  RunUntil([this] { return Session(0).lease_expiry() - fleet_.world.Now() > seconds(3); },
           seconds(3));
  Elect(1);
  const runtime::Duration waited = MeasureChangeLatency();
  EXPECT_GT(waited, seconds(3));
  EXPECT_FALSE(Session(0).LeaseValid());
  ExpectNoViolation();
}

TEST_P(ControllerServiceTest, LeaseIsCountedFromRenewalNotGrant) {
  fleet_.world.SlowLink("c0", "g0", milliseconds(2500));
  fleet_.world.RunFor(seconds(6));
  // No more renewals arrive; grants in flight do.
  fleet_.world.Partition("g0", "c0");
  fleet_.world.Partition("g0", "c1");
  fleet_.operator_process->excluded_node = fleet_.gateway_hosts[0]->http_endpoint();
  for (int i = 0; i < 8; ++i) {
    MeasureChangeLatency();
    fleet_.world.RunFor(milliseconds(700));
  }
  ExpectNoViolation();
}

TEST_P(ControllerServiceTest, LeaderWithoutQuorumGrantsNoLeases) {
  cluster_.Elect("10.0.9.9:7000");  // unreachable
  fleet_.world.RunFor(seconds(6));
  for (int i = 0; i < 4; ++i) EXPECT_FALSE(Session(i).LeaseValid());
  Elect(0);
  EXPECT_TRUE(RunUntil([this] { return AllGatewaysHaveLeases(); }, seconds(3)));
  ExpectNoViolation();
}

TEST_P(ControllerServiceTest, DeposedLeaderGrantsNoLeases) {
  cluster_.partitioned_endpoint = fleet_.controller_hosts[0]->internal_endpoint();
  Elect(1);
  fleet_.operator_process->excluded_node = fleet_.controller_hosts[0]->http_endpoint();
  MeasureChangeLatency();
  MeasureChangeLatency();
  EXPECT_TRUE(fleet_.Controller(fleet_.controller_hosts[0])->service.leading());
  ExpectNoViolation();
}

TEST_P(ControllerServiceTest, ReassignedWorkerWaitsForPreviousHolderAck) {
  fleet_.gateway_hosts[2]->Crash();  // the workers of its zone are reassigned
  ASSERT_TRUE(RunUntil([this] { return Session(1).state().leases_size() == 6; }, seconds(5)));
  fleet_.world.RunFor(seconds(10));
  ASSERT_EQ(Session(1).state().leases_size(), 6);
  for (const char* gateway : {"g0", "g1", "g3"}) {
    fleet_.world.SlowLink("c0", gateway, milliseconds(1500));
  }
  fleet_.gateway_hosts[2]->Start();
  const auto regained = [this] {
    uint64_t token = 0;
    return Session(2).HasLeaseOnWorker("w2", &token) && Session(2).HasLeaseOnWorker("w5", &token);
  };
  EXPECT_TRUE(RunUntil(regained, seconds(20)));
  fleet_.world.RunFor(seconds(3));
  ExpectNoViolation();
}

TEST_P(ControllerServiceTest, NackGetsSectionsWithoutLease) {
  runtime::Transport* transport = fleet_.world.FindHost("operator")->runtime()->transport;
  std::vector<SessionGrant> grants;
  transport->SetReceiver(runtime::SERVICE_CONTROL, [&grants](const runtime::Envelope& envelope) {
    ControlMessage message;
    ASSERT_TRUE(message.ParseFromString(envelope.payload()));
    if (message.has_session_grant()) grants.push_back(message.session_grant());
  });
  ControlMessage renewal;
  renewal.mutable_session_renewal()->set_gateway("strict");
  renewal.mutable_session_renewal()->set_renewal(1);
  renewal.mutable_session_renewal()->set_rejection("too new");
  transport->Send(fleet_.controller_hosts[0]->internal_endpoint(), runtime::SERVICE_CONTROL,
                  renewal.SerializeAsString(), runtime::Delivery::kStream);
  fleet_.world.RunFor(seconds(1));
  ASSERT_EQ(grants.size(), 1);
  EXPECT_EQ(grants[0].lease_ms(), 0);
  EXPECT_EQ(grants[0].changed().configuration_version(), 1);
  EXPECT_EQ(fleet_.Controller(fleet_.controller_hosts[0])->service.session_count(), 4);
}

TEST_P(ControllerServiceTest, IgnoresGrantForAnotherIncarnation) {
  for (const char* controller : {"c0", "c1"}) fleet_.world.Partition(controller, "g0");
  fleet_.world.RunFor(seconds(5));
  ASSERT_FALSE(Session(0).LeaseValid());
  runtime::Transport* transport = fleet_.world.FindHost("operator")->runtime()->transport;
  for (uint64_t renewal = 1; renewal < 200; ++renewal) {
    ControlMessage message;
    SessionGrant* grant = message.mutable_session_grant();
    grant->set_renewal(renewal);
    grant->set_term(99);
    grant->set_lease_ms(4000);
    grant->set_incarnation(fleet_.gateway_hosts[0]->runtime()->transport->incarnation() + 1);
    transport->Send(fleet_.gateway_hosts[0]->internal_endpoint(), runtime::SERVICE_CONTROL,
                    message.SerializeAsString(), runtime::Delivery::kStream);
  }
  fleet_.world.RunFor(milliseconds(500));
  EXPECT_FALSE(Session(0).LeaseValid());
}

TEST_P(ControllerServiceTest, WorkerLeasesFollowZonesWithoutOverlap) {
  const auto all_leased_in_zone = [this] {
    const FleetState& state = Session(1).state();
    if (state.leases_size() != 6) return false;
    for (const WorkerLease& lease : state.leases()) {
      const int worker = lease.worker_id()[1] - '0';
      const int gateway = lease.holder()[1] - '0';
      if (worker % 3 != gateway % 3) return false;
    }
    return true;
  };
  ASSERT_TRUE(RunUntil(all_leased_in_zone, seconds(10)));
  const size_t commands = fleet_.history.worker_commands();
  fleet_.gateway_hosts[2]->Freeze();  // the only one of its zone
  fleet_.world.RunFor(seconds(12));
  for (const WorkerLease& lease : Session(1).state().leases()) EXPECT_NE(lease.holder(), "g2");
  EXPECT_EQ(Session(1).state().leases_size(), 6);
  fleet_.gateway_hosts[2]->Thaw();
  ASSERT_TRUE(RunUntil(all_leased_in_zone, seconds(10)));
  EXPECT_GT(fleet_.history.worker_commands(), commands);
  ExpectNoViolation();
}

// Simulates a rollout in a large fleet: the inventory changes faster than pushes are acknowledged.
TEST_P(ControllerServiceTest, ChangePropagatesDuringInventoryChurn) {
  for (int i = 0; i < 4; ++i) {
    fleet_.world.SlowLink(absl::StrCat("g", i), "c0", milliseconds(60));
    fleet_.world.SlowLink("c0", absl::StrCat("g", i), milliseconds(60));
  }
  ControllerProcess* leader = fleet_.Controller(fleet_.controller_hosts[0]);
  uint64_t readings = 0;
  std::function<void()> change_inventory = [&] {
    Command command;
    command.set_request_id(absl::StrCat("reading-", ++readings));
    Inventory* inventory = command.mutable_set_inventory()->mutable_inventory();
    *inventory = leader->state.fleet().inventory();
    inventory->mutable_backends(0)->set_slots(static_cast<uint32_t>(readings));
    leader->service.client()->Propose(command, seconds(1), false, [](const auto&) {});
    if (readings < 200) fleet_.world.At(milliseconds(20), change_inventory);
  };
  change_inventory();
  fleet_.world.RunFor(seconds(1));
  const uint64_t before = leader->state.fleet().configuration_version();
  Command change = PatchChange("change-during-churn", 0, "beta", 5);
  leader->service.client()->Propose(change, seconds(1), false, [](const auto&) {});
  const auto in_force_everywhere = [this, before] {
    for (int i = 0; i < 4; ++i) {
      if (Session(i).state().configuration_version() <= before) return false;
    }
    return true;
  };
  EXPECT_TRUE(RunUntil(in_force_everywhere, milliseconds(500)));
  fleet_.world.RunFor(milliseconds(500));
  const uint64_t newest = leader->state.fleet().inventory_index();
  for (int i = 0; i < 4; ++i) EXPECT_GE(Session(i).state().inventory_index() + 40, newest);
  fleet_.world.RunFor(seconds(4));
  ExpectNoViolation();
}

TEST_P(ControllerServiceTest, FullRestartReassignsWorkersBeforeLeaseExpiry) {
  ASSERT_TRUE(RunUntil([this] { return Session(1).state().leases_size() == 6; }, seconds(10)));
  for (simulation::SimHost* host : fleet_.gateway_hosts) host->Crash();
  fleet_.world.RunFor(milliseconds(300));
  Elect(1);
  for (simulation::SimHost* host : fleet_.gateway_hosts) host->Start();
  const auto every_worker_leased = [this] {
    for (int worker = 0; worker < 6; ++worker) {
      uint64_t token = 0;
      bool leased = false;
      for (int i = 0; i < 4; ++i) {
        leased = leased || Session(i).HasLeaseOnWorker(absl::StrCat("w", worker), &token);
      }
      if (!leased) return false;
    }
    return true;
  };
  EXPECT_TRUE(RunUntil(every_worker_leased, milliseconds(1200)));
  fleet_.world.RunFor(seconds(6));
  ExpectNoViolation();
}

TEST_P(ControllerServiceTest, FrozenGatewayKeepsWorkersWhileOthersRestart) {
  ASSERT_TRUE(RunUntil([this] { return Session(1).state().leases_size() == 6; }, seconds(10)));
  ASSERT_TRUE(RunUntil(
      [this] { return Session(2).lease_expiry() - fleet_.world.Now() > milliseconds(3800); },
      seconds(3)));
  fleet_.gateway_hosts[2]->Freeze();  // the only one of its zone
  for (int i : {0, 1, 3}) fleet_.gateway_hosts[i]->Crash();
  Elect(1);
  for (int i : {0, 1, 3}) fleet_.gateway_hosts[i]->Start();
  fleet_.world.RunFor(milliseconds(3000));
  uint64_t token = 0;
  for (int i : {0, 1, 3}) {
    EXPECT_FALSE(Session(i).HasLeaseOnWorker("w2", &token));
    EXPECT_FALSE(Session(i).HasLeaseOnWorker("w5", &token));
  }
  fleet_.gateway_hosts[2]->Thaw();
  fleet_.world.RunFor(seconds(6));
  ExpectNoViolation();
}

TEST_P(ControllerServiceTest, ChangesDoNotWaitForLeavingGateway) {
  Session(0).Leave();
  EXPECT_FALSE(Session(0).LeaseValid());
  EXPECT_LT(MeasureChangeLatency(), milliseconds(900));
  ExpectNoViolation();
}

TEST_P(ControllerServiceTest, GatewaysReceiveInventoryAndItsAge) {
  EXPECT_EQ(Session(0).state().inventory().backends_size(), 6);
  EXPECT_LT(Session(0).InventoryAge(), seconds(4));
  fleet_.world.FindHost("inventory")->Crash();
  fleet_.world.RunFor(seconds(10));
  EXPECT_GT(Session(0).InventoryAge(), seconds(8));
  EXPECT_TRUE(Session(0).LeaseValid());
}

// Guards against a refresh of the previous term that found no snapshot in the new term and
// published an empty inventory.
TEST_P(ControllerServiceTest, RefreshOfLostTermPublishesNothing) {
  ASSERT_EQ(Session(0).state().inventory().backends_size(), 6);
  fleet_.world.FindHost("inventory")->Crash();
  fleet_.Controller(fleet_.controller_hosts[0])->service.RefreshInventory();
  Elect(1);
  fleet_.world.RunFor(milliseconds(10));
  Elect(0);
  fleet_.world.RunFor(seconds(2));
  EXPECT_EQ(
      fleet_.Controller(fleet_.controller_hosts[0])->state.fleet().inventory().backends_size(), 6);
}

TEST_P(ControllerServiceTest, RejectsProposalsBeyondLimit) {
  int rejected = 0;
  int done = 0;
  for (int i = 0; i < 10000; ++i) {
    Session(0).Propose(Begin(absl::StrCat("k", i), "a", "hash", 0), seconds(1), false,
                       [&](const absl::StatusOr<CommandResult>& result) {
                         if (result.ok()) ++done;
                         if (absl::IsResourceExhausted(result.status())) ++rejected;
                       });
  }
  EXPECT_TRUE(RunUntil([&] { return done + rejected == 10000; }, seconds(10)));
  EXPECT_GE(rejected, 5000);
  EXPECT_GT(done, 1000);
}

}  // namespace
}  // namespace posthatch::control
