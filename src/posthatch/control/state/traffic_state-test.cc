#include "posthatch/control/state/traffic_state.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "posthatch/control/server/section_encoder.h"
#include "posthatch/control/state/control_state.h"
#include "posthatch/control/state/fleet_sections.h"
#include "posthatch/control/state/section_deltas.h"
#include "posthatch/control/state/traffic_validator.h"

namespace posthatch::control {
namespace {

TrafficConfiguration SmallTraffic() {
  TrafficConfiguration configuration;
  TrafficService* service = configuration.add_services();
  service->set_name("llm");
  service->mutable_engine()->add_models("m");
  service->set_source("{\"name\":\"llm\"}");
  TrafficRoute* route = configuration.add_routes();
  route->set_name("r");
  route->set_host("h");
  route->set_path_prefix("/r/");
  route->set_kind(IDEMPOTENT);
  route->set_timeout_ms(100);
  route->add_targets()->set_service("llm");
  route->mutable_targets(0)->set_weight(1);
  TrafficTenant* tenant = configuration.add_tenants();
  tenant->set_name("t");
  tenant->add_keys("key");
  return configuration;
}

ChangeTraffic FullChange(uint64_t base, uint64_t version,
                         const TrafficConfiguration& configuration) {
  ChangeTraffic change;
  change.set_base_version(base);
  change.set_version(version);
  *change.mutable_whole() = configuration;
  return change;
}

// Sets the first route's time-out.
ChangeTraffic TimeoutPatch(uint64_t base, uint64_t version, uint32_t timeout_ms) {
  ChangeTraffic change;
  change.set_base_version(base);
  change.set_version(version);
  TrafficRoute* route = change.mutable_patch()->mutable_upsert()->add_routes();
  *route = SmallTraffic().routes(0);
  route->set_timeout_ms(timeout_ms);
  return change;
}

class TrafficStateTest : public testing::Test {
 protected:
  CommandResult::Code Apply(const ChangeTraffic& change) {
    return state_.Apply(change, &changed_).code();
  }
  TrafficState state_;
  bool changed_ = false;
};

TEST_F(TrafficStateTest, OnlyOneChangePerBaseVersionWins) {
  ASSERT_EQ(Apply(FullChange(0, 3, SmallTraffic())), CommandResult::OK);
  EXPECT_EQ(Apply(TimeoutPatch(3, 7, 200)), CommandResult::OK);
  EXPECT_EQ(Apply(TimeoutPatch(3, 7, 300)), CommandResult::VERSION_CONFLICT);
  EXPECT_EQ(state_.newest().routes(0).timeout_ms(), 200U);
}

TEST_F(TrafficStateTest, AcknowledgesResendAfterLaterChangesAndRestore) {
  const ChangeTraffic first = FullChange(0, 3, SmallTraffic());
  Apply(first);
  const ChangeTraffic second = TimeoutPatch(3, 7, 200);
  Apply(second);
  Apply(TimeoutPatch(7, 9, 300));
  TrafficSnapshot snapshot;
  state_.Save(&snapshot);
  TrafficState restored;
  restored.Restore(snapshot);
  for (TrafficState* state : {&state_, &restored}) {
    for (const ChangeTraffic& change : {first, second}) {
      EXPECT_EQ(state->Apply(change, &changed_).code(), CommandResult::OK);
      EXPECT_FALSE(changed_);
      EXPECT_EQ(state->newest().routes(0).timeout_ms(), 300U);
    }
  }
}

TEST_F(TrafficStateTest, RejectedChangeMayBeRetried) {
  Apply(FullChange(0, 3, SmallTraffic()));
  const ChangeTraffic early = TimeoutPatch(5, 7, 200);
  EXPECT_EQ(Apply(early), CommandResult::VERSION_CONFLICT);
  Apply(TimeoutPatch(3, 5, 150));
  EXPECT_EQ(Apply(early), CommandResult::OK);
}

TEST_F(TrafficStateTest, VersionsMustIncrease) {
  Apply(FullChange(0, 3, SmallTraffic()));
  EXPECT_EQ(Apply(TimeoutPatch(3, 3, 200)), CommandResult::INVALID);
  EXPECT_EQ(Apply(TimeoutPatch(3, 2, 200)), CommandResult::INVALID);
  EXPECT_EQ(state_.newest().version(), 3U);
}

TEST_F(TrafficStateTest, PatchRemovesAndUpserts) {
  Apply(FullChange(0, 1, SmallTraffic()));
  ChangeTraffic change;
  change.set_base_version(1);
  change.set_version(2);
  TrafficRoute* added = change.mutable_patch()->mutable_upsert()->add_routes();
  *added = SmallTraffic().routes(0);
  added->set_name("new");
  added->set_path_prefix("/new/");
  change.mutable_patch()->add_removed_routes("r");
  ASSERT_EQ(Apply(change), CommandResult::OK);
  ASSERT_EQ(state_.newest().routes_size(), 1);
  EXPECT_EQ(state_.newest().routes(0).name(), "new");
}

struct ViolationCase {
  const char* name;
  void (*violate)(TrafficConfiguration* configuration);
};

TEST(TrafficValidatorTest, ReportsEachViolation) {
  using Traffic = TrafficConfiguration;
  const std::vector<ViolationCase> cases = {
      {"unknown service",
       [](Traffic* t) { t->mutable_routes(0)->mutable_targets(0)->set_service("x"); }},
      {"no weight", [](Traffic* t) { t->mutable_routes(0)->mutable_targets(0)->set_weight(0); }},
      {"no timeout", [](Traffic* t) { t->mutable_routes(0)->set_timeout_ms(0); }},
      {"prefix without a slash at its end",
       [](Traffic* t) { t->mutable_routes(0)->set_path_prefix("/r"); }},
      {"no kind", [](Traffic* t) { t->mutable_routes(0)->clear_kind(); }},
      {"two routes of one prefix",
       [](Traffic* t) {
         *t->add_routes() = t->routes(0);
         t->mutable_routes(1)->set_name("other");
       }},
      {"two tenants with one key",
       [](Traffic* t) {
         *t->add_tenants() = t->tenants(0);
         t->mutable_tenants(1)->set_name("other");
       }},
  };
  EXPECT_TRUE(ValidateTraffic(SmallTraffic()).empty());
  for (const ViolationCase& test_case : cases) {
    TrafficConfiguration configuration = SmallTraffic();
    test_case.violate(&configuration);
    EXPECT_EQ(ValidateTraffic(configuration).size(), 1U) << test_case.name;
  }
}

class TrafficControlTest : public testing::Test {
 protected:
  CommandResult Apply(Command command) {
    command.set_request_id("id-" + std::to_string(++index_));
    CommandResult result;
    EXPECT_TRUE(result.ParseFromString(state_.Apply(index_, 1, command.SerializeAsString())));
    return result;
  }
  CommandResult ApplyTraffic(const ChangeTraffic& change) {
    Command command;
    *command.mutable_change_traffic() = change;
    return Apply(command);
  }
  CommandResult SetRevision(uint64_t revision) {
    Command command;
    command.mutable_set_model_revision()->set_model("m");
    command.mutable_set_model_revision()->set_revision(revision);
    return Apply(command);
  }

  ControlState state_;
  uint64_t index_ = 0;
};

TEST_F(TrafficControlTest, FleetStateOmitsSources) {
  ApplyTraffic(FullChange(0, 1, SmallTraffic()));
  EXPECT_EQ(state_.fleet().traffic().services(0).source(), "");
  EXPECT_EQ(state_.traffic().services(0).source(), "{\"name\":\"llm\"}");
}

TEST_F(TrafficControlTest, NumberedRevisionsNeverDecrease) {
  ApplyTraffic(FullChange(0, 1, SmallTraffic()));
  ASSERT_EQ(state_.fleet().revisions_size(), 1);
  EXPECT_EQ(state_.fleet().revisions(0).revision(), 1U);
  EXPECT_EQ(SetRevision(4).version(), 4U);
  EXPECT_EQ(SetRevision(4).code(), CommandResult::OK);
  EXPECT_EQ(SetRevision(2).code(), CommandResult::OK);
  EXPECT_EQ(state_.fleet().revisions(0).revision(), 4U);
}

TEST_F(TrafficControlTest, IsolatedTenantGetsOwnDomain) {
  ApplyTraffic(FullChange(0, 1, SmallTraffic()));
  TrafficConfiguration isolated = SmallTraffic();
  isolated.mutable_tenants(0)->set_isolated(true);
  ApplyTraffic(FullChange(1, 2, isolated));
  for (const TenantIsolation& domain : state_.fleet().isolation()) {
    EXPECT_EQ(domain.generation(), index_) << domain.tenant();
    EXPECT_EQ(domain.isolated(), domain.tenant() == "t");
  }
}

// Deltas bring gateways at any earlier version to the leader's state.
TEST_F(TrafficControlTest, DeltasEqualCompleteSections) {
  ApplyTraffic(FullChange(0, 1, SmallTraffic()));
  std::vector<FleetState> gateways = {state_.fleet()};
  for (uint32_t step = 1; step <= 6; ++step) {
    if (step == 4) {
      ApplyTraffic(FullChange(step, step + 1, SmallTraffic()));
    } else {
      ApplyTraffic(TimeoutPatch(step, step + 1, 100 * step));
    }
    Command command;
    for (uint32_t id = step; id < step + 9; ++id) {
      Backend* backend = command.mutable_set_inventory()->mutable_inventory()->add_backends();
      backend->set_id("w" + std::to_string(id));
      backend->set_draining(id == step);
    }
    Apply(command);
    for (FleetState& gateway : gateways) {
      FleetState changed;
      google::protobuf::RepeatedPtrField<std::string> names;
      const SectionIndices acked_versions = IndicesOf(gateway);
      EncodeChangedSections(state_, acked_versions, &changed, &names);
      FleetState behind;
      EXPECT_EQ(ApplyTrafficDelta(behind, &changed), changed.traffic_base_index() == 0);
      ASSERT_TRUE(ApplyInventoryDelta(gateway, &changed));
      ASSERT_TRUE(ApplyTrafficDelta(gateway, &changed));
      ApplyNewerSections(changed, names, &gateway);
      EXPECT_EQ(gateway.traffic().SerializeAsString(),
                state_.fleet().traffic().SerializeAsString());
      EXPECT_EQ(gateway.inventory().SerializeAsString(),
                state_.fleet().inventory().SerializeAsString());
    }
    gateways.emplace_back();
    gateways.push_back(state_.fleet());
  }
}

TEST_F(TrafficControlTest, RejectsInventoryDeltaFromOldVersion) {
  Command full;
  full.mutable_set_inventory()->mutable_inventory()->add_backends()->set_id("w1");
  Apply(full);
  Command stale;
  stale.mutable_set_inventory()->mutable_delta()->add_removed("w1");
  stale.mutable_set_inventory()->set_base_version(0);
  EXPECT_EQ(Apply(stale).code(), CommandResult::VERSION_CONFLICT);
  EXPECT_EQ(state_.fleet().inventory().backends_size(), 1);
}

}  // namespace
}  // namespace posthatch::control
