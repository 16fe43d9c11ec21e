#include "posthatch/control/state/evacuation_set.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>

#include "absl/strings/str_cat.h"
#include "posthatch/control/state/commands-test.h"
#include "posthatch/control/state/control_state.h"
#include "posthatch/runtime/random.h"

namespace posthatch::control {
namespace {

SetEvacuation Order(const std::string& name, bool lifted, std::optional<uint64_t> expected) {
  SetEvacuation order = EvacuationChange("", name, name, lifted).set_evacuation();
  if (expected.has_value()) order.set_expected_version(*expected);
  return order;
}

TEST(EvacuationSetTest, CommandIsNotAppliedAfterOneItsProposerHadNotSeen) {
  EvacuationSet set;
  EXPECT_EQ(set.Apply(5, Order("z1", false, 0)).code(), CommandResult::OK);
  EXPECT_EQ(set.Apply(6, Order("z1", true, 5)).code(), CommandResult::OK);
  EXPECT_EQ(set.Apply(7, Order("z1", false, 6)).code(), CommandResult::OK);
  const CommandResult late = set.Apply(8, Order("z1", true, 5));
  EXPECT_EQ(late.code(), CommandResult::VERSION_CONFLICT);
  EXPECT_EQ(late.version(), 7U);
  google::protobuf::RepeatedPtrField<Evacuation> evacuations;
  set.Save(&evacuations);
  EXPECT_EQ(evacuations.size(), 1);
  // Other names are not affected.
  EXPECT_EQ(set.Apply(9, Order("z2", false, 0)).code(), CommandResult::OK);
}

TEST(EvacuationSetTest, CommandWithoutEffectIsNewVersion) {
  EvacuationSet set;
  EXPECT_EQ(set.Apply(5, Order("z1", true, 0)).code(), CommandResult::NOT_FOUND);
  EXPECT_EQ(set.VersionOf("z1"), 5U);
  EXPECT_EQ(set.Apply(6, Order("z1", false, 0)).code(), CommandResult::VERSION_CONFLICT);
  EXPECT_EQ(set.Apply(7, Order("z1", false, 5)).code(), CommandResult::OK);
  EXPECT_EQ(set.Apply(8, Order("z1", false, 7)).code(), CommandResult::OK);
  EXPECT_EQ(set.VersionOf("z1"), 8U);
}

TEST(EvacuationSetTest, InvalidCommandIsNoNewVersion) {
  EvacuationSet set;
  EXPECT_EQ(set.Apply(5, Order("-", false, 0)).code(), CommandResult::INVALID);
  EXPECT_EQ(set.newest_version(), 0U);
}

TEST(EvacuationSetTest, CommandWithoutExpectedVersionIsNewVersionOfAllNames) {
  EvacuationSet set;
  EXPECT_EQ(set.Apply(5, Order("z1", false, 0)).code(), CommandResult::OK);
  EXPECT_EQ(set.Apply(6, Order("z2", false, std::nullopt)).code(), CommandResult::OK);
  EXPECT_EQ(set.Apply(7, Order("z1", true, 5)).code(), CommandResult::VERSION_CONFLICT);
  EXPECT_EQ(set.Apply(8, Order("z1", true, 6)).code(), CommandResult::OK);
  EXPECT_EQ(set.Apply(9, Order("z3", true, std::nullopt)).code(), CommandResult::NOT_FOUND);
  EXPECT_EQ(set.VersionOf("z1"), 8U);
}

// Names without a kept version share the newest evicted one, so that eviction only causes
// conflicts and never lets a late command pass.
TEST(EvacuationSetTest, EvictedVersionsStillConflict) {
  EvacuationSet set;
  uint64_t index = 0;
  set.Apply(++index, Order("old", true, 0));
  for (size_t i = 0; i < EvacuationSet::kMaxVersions; ++i) {
    const std::string name = absl::StrCat("z", i);
    set.Apply(++index, Order(name, true, set.VersionOf(name)));
  }
  EXPECT_EQ(set.versions().size(), EvacuationSet::kMaxVersions);
  EXPECT_EQ(set.VersionOf("old"), 1U);
  EXPECT_EQ(set.Apply(++index, Order("old", false, 0)).code(), CommandResult::VERSION_CONFLICT);
  EXPECT_EQ(set.Apply(++index, Order("old", false, 1)).code(), CommandResult::OK);
}

CommandResult Apply(ControlState* state, uint64_t index, const Command& command) {
  CommandResult result;
  EXPECT_TRUE(result.ParseFromString(state->Apply(index, 1, command.SerializeAsString())));
  return result;
}

// A proposer that meets a conflict sends the command again with the newest version.
TEST(EvacuationRequestTest, ConflictIsNotRecordedUnderRequestId) {
  ControlState state;
  Command other = EvacuationChange("other", "z1", "z1", false);
  other.mutable_set_evacuation()->set_expected_version(0);
  EXPECT_EQ(Apply(&state, 3, other).code(), CommandResult::OK);
  Command command = EvacuationChange("r", "z1", "z1", true);
  command.mutable_set_evacuation()->set_expected_version(0);
  EXPECT_EQ(Apply(&state, 4, command).code(), CommandResult::VERSION_CONFLICT);
  command.mutable_set_evacuation()->set_expected_version(3);
  const CommandResult result = Apply(&state, 5, command);
  EXPECT_EQ(result.code(), CommandResult::OK);
  EXPECT_EQ(result.log_index(), 5U);
  // A copy that was on its way meanwhile gets the first result.
  command.mutable_set_evacuation()->set_expected_version(0);
  EXPECT_EQ(Apply(&state, 6, command).log_index(), 5U);
}

Command RandomOrder(runtime::Random* random, const EvacuationSet& set, int number) {
  const std::string name = absl::StrCat("z", random->Uniform(4));
  Command command =
      EvacuationChange(absl::StrCat("r", number), name, name, /*lifted=*/random->Chance(0.5));
  if (random->Chance(0.1)) return command;
  const uint64_t version = random->Chance(0.7) ? set.VersionOf(name) : random->Uniform(200);
  command.mutable_set_evacuation()->set_expected_version(version);
  return command;
}

class EvacuationVersionTest : public testing::TestWithParam<uint64_t> {};
INSTANTIATE_TEST_SUITE_P(Seeds, EvacuationVersionTest, testing::Range<uint64_t>(1, 31));

// Replicas that restored a snapshot and replicas that applied the whole log agree.
TEST_P(EvacuationVersionTest, SnapshotAndLogGiveSameResults) {
  runtime::Random random(GetParam());
  ControlState applied;
  ControlState restored;
  for (int i = 1; i <= 200; ++i) {
    const Command command = RandomOrder(&random, applied.evacuations(), i);
    const CommandResult expected = Apply(&applied, i, command);
    EXPECT_EQ(Apply(&restored, i, command).SerializeAsString(), expected.SerializeAsString());
    if (random.Chance(0.1)) {
      ControlState next;
      ASSERT_TRUE(next.RestoreSnapshot(restored.TakeSnapshot()).ok());
      ASSERT_TRUE(restored.RestoreSnapshot(next.TakeSnapshot()).ok());
    }
    ASSERT_EQ(restored.evacuations().versions(), applied.evacuations().versions());
    ASSERT_EQ(restored.evacuations().version_floor(), applied.evacuations().version_floor());
  }
  EXPECT_EQ(restored.TakeSnapshot(), applied.TakeSnapshot());
}

}  // namespace
}  // namespace posthatch::control
