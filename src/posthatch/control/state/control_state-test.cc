#include "posthatch/control/state/control_state.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "posthatch/control/state/commands-test.h"
#include "posthatch/control/state/configuration_patch.h"
#include "posthatch/control/state/fleet_sections.h"
#include "posthatch/runtime/random.h"

namespace posthatch::control {
namespace {

CommandResult Apply(ControlState* state, uint64_t index, const Command& command) {
  CommandResult result;
  EXPECT_TRUE(result.ParseFromString(state->Apply(index, 1, command.SerializeAsString())));
  return result;
}

class ControlStateTest : public testing::Test {
 protected:
  CommandResult Apply(const Command& command) { return control::Apply(&state_, ++index_, command); }
  uint64_t Generation(const std::string& tenant) const {
    for (const TenantIsolation& domain : state_.fleet().isolation()) {
      if (domain.tenant() == tenant) return domain.generation();
    }
    return 0;
  }

  ControlState state_;
  uint64_t index_ = 0;
};

TEST_F(ControlStateTest, ConcurrentChangeGetsVersionConflictWithWinner) {
  ASSERT_EQ(Apply(FullChange("first", 0, SmallConfiguration())).code(), CommandResult::OK);
  const CommandResult winner = Apply(PatchChange("winner", 1, "alpha", 5));
  const CommandResult loser = Apply(PatchChange("loser", 1, "alpha", 7));
  EXPECT_EQ(winner.code(), CommandResult::OK);
  EXPECT_EQ(winner.version(), 2);
  ASSERT_EQ(loser.code(), CommandResult::VERSION_CONFLICT);
  EXPECT_EQ(loser.version(), 2);
  EXPECT_EQ(loser.winner_request_id(), "winner");
  ASSERT_EQ(loser.differences_size(), 1);
  EXPECT_EQ(loser.differences(0), "tenant alpha: changed");
  EXPECT_EQ(state_.fleet().configuration().tenants(0).priority(), 5);
}

TEST_F(ControlStateTest, ResendGetsFirstResultAfterManyChangesAndRestore) {
  Apply(FullChange("first", 0, SmallConfiguration()));
  const CommandResult accepted = Apply(PatchChange("accepted", 1, "alpha", 3));
  const CommandResult rejected = Apply(PatchChange("rejected", 1, "alpha", 4));
  for (int i = 0; i < 500; ++i) Apply(PatchChange(absl::StrCat("c", i), 0, "beta", i % 10));
  ControlState restored;
  ASSERT_TRUE(restored.RestoreSnapshot(state_.TakeSnapshot()).ok());
  for (ControlState* state : {&state_, &restored}) {
    const uint64_t version = state->fleet().configuration_version();
    const Command resent = PatchChange("accepted", 1, "alpha", 3);
    EXPECT_EQ(control::Apply(state, 1000, resent).SerializeAsString(),
              accepted.SerializeAsString());
    EXPECT_EQ(control::Apply(state, 1001, PatchChange("rejected", 1, "alpha", 4)).code(),
              rejected.code());
    EXPECT_EQ(control::Apply(state, 1002, PatchChange("accepted", 1, "alpha", 8)).code(),
              CommandResult::REQUEST_ID_REUSED);
    EXPECT_EQ(state->fleet().configuration_version(), version);
  }
}

TEST_F(ControlStateTest, RejectsExpiredRequestId) {
  Apply(EvacuationChange("old", "e", "eu-1a", false));
  for (size_t i = 0; i <= RequestRecords::kMaxRecords; ++i) {
    Apply(EvacuationChange(absl::StrCat("c", i), "e", "eu-1a", false));
  }
  EXPECT_EQ(Apply(EvacuationChange("old", "e", "eu-1a", false)).code(),
            CommandResult::WINDOW_PASSED);
}

TEST_F(ControlStateTest, RollbackCreatesNewVersionAndRejectsUnknownVersion) {
  Apply(FullChange("first", 0, SmallConfiguration()));
  Apply(PatchChange("second", 1, "alpha", 9));
  Command command;
  command.set_request_id("back");
  command.mutable_change_configuration()->set_expected_version(2);
  command.mutable_change_configuration()->set_roll_back_to(1);
  EXPECT_EQ(Apply(command).version(), 3);
  EXPECT_EQ(state_.fleet().configuration().tenants(0).priority(), 0);
  command.set_request_id("too-far");
  command.mutable_change_configuration()->set_expected_version(3);
  command.mutable_change_configuration()->set_roll_back_to(77);
  EXPECT_EQ(Apply(command).code(), CommandResult::NOT_FOUND);
}

TEST_F(ControlStateTest, ReportsAllConfigurationErrors) {
  Configuration configuration = SmallConfiguration();
  configuration.mutable_tenants(0)->set_priority(10);
  configuration.mutable_tenants(1)->set_name("alpha");           // duplicate name
  configuration.mutable_tenants(1)->add_key_sha256("ABC");       // not a hash
  configuration.mutable_models(0)->set_block_tokens(0);          // out of range
  configuration.mutable_routing()->set_retry_budget_ratio(0.5);  // above a fifth
  configuration.add_isolation_rules()->set_name("-bad");         // bad name, no selector
  configuration.add_services()->set_name("empty");               // no operation
  const CommandResult result = Apply(FullChange("bad", 0, configuration));
  ASSERT_EQ(result.code(), CommandResult::INVALID);
  EXPECT_EQ(result.errors_size(), 8) << result.DebugString();
  EXPECT_EQ(state_.fleet().configuration_version(), 0);
  Configuration large = SmallConfiguration();
  large.mutable_tenants(0)->mutable_key_sha256()->Clear();
  (*large.mutable_tenants(0)->mutable_labels())["filler"] = std::string(3 << 20, 'x');
  EXPECT_EQ(Apply(FullChange("large", 0, large)).code(), CommandResult::INVALID);
}

TEST_F(ControlStateTest, IsolationChangesStartNewGenerations) {
  Configuration configuration = SmallConfiguration();
  Apply(FullChange("c1", 0, configuration));
  const uint64_t shared = Generation("");
  EXPECT_EQ(Generation("alpha"), shared);
  IsolationRule* rule = configuration.add_isolation_rules();
  rule->set_name("keep-apart");
  *rule->mutable_isolated() = *ParseSelector("name=alpha");
  Apply(FullChange("c2", 0, configuration));
  // beta must no longer use the blocks that alpha put into the shared domain.
  const uint64_t shared_after = Generation("");
  EXPECT_GT(shared_after, shared);
  EXPECT_EQ(Generation("beta"), shared_after);
  const uint64_t isolated = Generation("alpha");
  // A new tenant of the same name must not reach the blocks of the removed one.
  Configuration without = configuration;
  without.mutable_tenants()->erase(without.mutable_tenants()->begin());
  Apply(FullChange("c3", 0, without));
  Apply(FullChange("c4", 0, configuration));
  EXPECT_GT(Generation("alpha"), isolated);
  configuration.clear_isolation_rules();
  Apply(FullChange("c5", 0, configuration));
  EXPECT_GT(Generation(""), shared_after);
  invalidation::ObjectVersion version;
  ASSERT_TRUE(state_.Find("tenant/alpha", &version));
  EXPECT_EQ(version.epoch(), Generation("alpha"));
}

TEST_F(ControlStateTest, OnlyOneDeliveryAttemptBeginsAndFinishes) {
  EXPECT_EQ(Apply(Begin("k", "a", "hash", 0)).delivery().kind(), DeliveryStatus::BEGUN);
  EXPECT_EQ(Apply(Begin("k", "b", "hash", 0)).delivery().kind(), DeliveryStatus::RUNNING);
  EXPECT_EQ(Apply(Begin("k", "a", "hash", 0)).delivery().kind(), DeliveryStatus::BEGUN);
  EXPECT_EQ(Apply(Begin("k", "c", "other", 0)).delivery().kind(), DeliveryStatus::MISMATCH);
  EXPECT_EQ(Apply(Finish("k", "b", DeliveryOutcome::NOT_EXECUTED, 0)).code(),
            CommandResult::VERSION_CONFLICT);
  EXPECT_EQ(Apply(Finish("k", "a", DeliveryOutcome::UNKNOWN, 0)).code(), CommandResult::OK);
  // The first outcome is final.
  EXPECT_EQ(Apply(Finish("k", "a", DeliveryOutcome::RESPONDED, 0)).delivery().outcome().kind(),
            DeliveryOutcome::UNKNOWN);
  EXPECT_EQ(Apply(Begin("k", "b", "hash", 0)).delivery().kind(), DeliveryStatus::FINISHED);
}

TEST_F(ControlStateTest, KeyFinishedBeforeItsBeginStaysFinished) {
  EXPECT_EQ(Apply(Finish("k", "a", DeliveryOutcome::NOT_EXECUTED, 0)).code(), CommandResult::OK);
  for (const char* attempt : {"a", "b"}) {
    const CommandResult late = Apply(Begin("k", attempt, "hash", 0));
    ASSERT_EQ(late.delivery().kind(), DeliveryStatus::FINISHED);
    EXPECT_EQ(late.delivery().outcome().kind(), DeliveryOutcome::NOT_EXECUTED);
  }
  EXPECT_EQ(Apply(Finish("never", "a", DeliveryOutcome::RESPONDED, 0)).code(),
            CommandResult::NOT_FOUND);
}

TEST_F(ControlStateTest, RejectsExpiredDeliveryKeyAfterRestore) {
  const int64_t window = DeliveryRecords::kDefaultWindowMs;
  Apply(Begin("k", "a", "hash", 1000));
  EXPECT_EQ(Apply(Begin("k", "b", "hash", 1000 + window)).delivery().kind(),
            DeliveryStatus::RUNNING);
  EXPECT_EQ(Apply(Begin("k", "b", "hash", 1001 + window)).code(), CommandResult::WINDOW_PASSED);
  EXPECT_EQ(Apply(Finish("k", "a", DeliveryOutcome::RESPONDED, 0)).code(),
            CommandResult::WINDOW_PASSED);
  ControlState restored;
  ASSERT_TRUE(restored.RestoreSnapshot(state_.TakeSnapshot()).ok());
  EXPECT_EQ(control::Apply(&restored, 50, Begin("k", "c", "hash", 0)).code(),
            CommandResult::WINDOW_PASSED);
  EXPECT_EQ(restored.delivery_now_ms(), 1001 + window);
}

TEST_F(ControlStateTest, LeasedWorkerIsNotGrantedToAnotherHolder) {
  EXPECT_EQ(Apply(Grant("w1", "g1")).code(), CommandResult::OK);
  const uint64_t token = state_.worker_leases().Find("w1")->fencing_token();
  EXPECT_EQ(Apply(Grant("w1", "g2")).code(), CommandResult::VERSION_CONFLICT);
  EXPECT_EQ(state_.worker_leases().Find("w1")->holder(), "g1");
  Command release;
  release.mutable_grant_worker_leases()->add_released("w1");
  Apply(release);
  EXPECT_EQ(Apply(Grant("w1", "g2")).code(), CommandResult::OK);
  EXPECT_GT(state_.worker_leases().Find("w1")->fencing_token(), token);
}

TEST_F(ControlStateTest, RejectsMalformedCommandAndSnapshot) {
  CommandResult result;
  ASSERT_TRUE(result.ParseFromString(state_.Apply(1, 1, "\xff\xff")));
  EXPECT_EQ(result.code(), CommandResult::INVALID);
  EXPECT_FALSE(state_.RestoreSnapshot("\xff\xff").ok());
}

TEST(FleetSectionsTest, KeepsNewerSection) {
  FleetState state;
  state.set_configuration_index(9);
  state.set_configuration_version(3);
  FleetState older;
  older.set_configuration_index(8);
  older.set_configuration_version(2);
  older.set_leases_index(10);
  google::protobuf::RepeatedPtrField<std::string> names;
  *names.Add() = "configuration";
  EXPECT_FALSE(ApplyNewerSections(older, names, &state));
  *names.Add() = "leases";
  EXPECT_TRUE(ApplyNewerSections(older, names, &state));
  EXPECT_EQ(state.configuration_version(), 3);
  EXPECT_EQ(state.leases_index(), 10);
}

TEST(FleetSectionsTest, RejectsDeltaWithOtherBase) {
  FleetState state;
  state.set_configuration_index(5);
  FleetState changed;
  changed.set_configuration_index(9);
  changed.set_patch_base_index(4);
  EXPECT_FALSE(ApplyConfigurationDelta(state, &changed));
  changed.set_patch_base_index(5);
  EXPECT_TRUE(ApplyConfigurationDelta(state, &changed));
}

// Applies random commands, some resent, some based on outdated versions.
class ControlStateSeedTest : public testing::TestWithParam<uint64_t> {};

TEST_P(ControlStateSeedTest, ApplyIsDeterministicAndRestoreEqualsReplay) {
  runtime::Random random(GetParam());
  ControlState first;
  ControlState second;
  ControlState restored;
  const uint64_t restore_at = 1 + random.Uniform(300);
  std::map<std::string, invalidation::ObjectVersion> versions;
  std::vector<Command> sent;
  for (uint64_t index = 1; index <= 300; ++index) {
    const bool resend = !sent.empty() && random.Chance(0.2);
    const Command command =
        resend ? sent[random.Uniform(sent.size())] : RandomCommand(&random, index);
    sent.push_back(command);
    const std::string result = first.Apply(index, 1, command.SerializeAsString());
    EXPECT_EQ(second.Apply(index, 1, command.SerializeAsString()), result);
    if (index > restore_at) {
      EXPECT_EQ(restored.Apply(index, 1, command.SerializeAsString()), result);
    }
    if (index == restore_at) {
      ASSERT_TRUE(restored.RestoreSnapshot(first.TakeSnapshot()).ok());
    }
    for (const invalidation::RegisteredObject& object : first.Objects()) {
      invalidation::ObjectVersion& previous = versions[object.object()];
      const auto pair = [](const invalidation::ObjectVersion& version) {
        return std::make_pair(version.epoch(), version.sequence());
      };
      EXPECT_GE(pair(object.version()), pair(previous)) << object.object() << " decreased";
      previous = object.version();
    }
  }
  EXPECT_EQ(second.TakeSnapshot(), first.TakeSnapshot());
  EXPECT_EQ(restored.TakeSnapshot(), first.TakeSnapshot());
}

TEST_P(ControlStateSeedTest, PatchRoundTrips) {
  runtime::Random random(GetParam());
  const auto random_configuration = [&random] {
    Configuration configuration;
    for (int i = 0; i < 8; ++i) {
      if (random.Chance(0.4)) continue;
      Tenant* tenant = configuration.add_tenants();
      tenant->set_name(absl::StrCat("t", i));
      tenant->set_priority(static_cast<uint32_t>(random.Uniform(2)));
      if (random.Chance(0.5)) configuration.add_services()->set_name(absl::StrCat("s", i));
    }
    if (random.Chance(0.5)) configuration.mutable_routing()->set_slow_start_ms(5);
    return configuration;
  };
  for (int i = 0; i < 20; ++i) {
    const Configuration from = random_configuration();
    const Configuration to = random_configuration();
    std::vector<std::string> errors;
    const Configuration patched = ApplyPatch(from, MakePatch(from, to), &errors);
    EXPECT_EQ(DescribeDifferences(patched, to), std::vector<std::string>());
    EXPECT_EQ(errors, std::vector<std::string>());
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, ControlStateSeedTest, testing::Range<uint64_t>(1, 31));

}  // namespace
}  // namespace posthatch::control
