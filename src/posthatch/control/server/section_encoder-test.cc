#include "posthatch/control/server/section_encoder.h"

#include <google/protobuf/arena.h>
#include <gtest/gtest.h>

#include <string>

#include "posthatch/control/state/control_state.h"

namespace posthatch::control {
namespace {

TrafficRoute MakeRoute(const std::string& name) {
  TrafficRoute route;
  route.set_name(name);
  route.set_host("h.example");
  route.set_path_prefix("/" + name + "/");
  route.set_kind(NON_IDEMPOTENT);
  route.set_timeout_ms(1000);
  route.add_targets()->set_service("llm");
  route.mutable_targets(0)->set_weight(1);
  return route;
}

// A control state with `size` routes and `size` backends. Then one route and one backend change.
class FleetWithOneChange {
 public:
  explicit FleetWithOneChange(int size) {
    Command traffic;
    ChangeTraffic* change = traffic.mutable_change_traffic();
    change->set_version(1);
    change->mutable_whole()->add_services()->set_name("llm");
    for (int i = 0; i < size; ++i) {
      *change->mutable_whole()->add_routes() = MakeRoute("route-" + std::to_string(i));
    }
    Apply(traffic);
    Command inventory;
    for (int i = 0; i < size; ++i) {
      *inventory.mutable_set_inventory()->mutable_inventory()->add_backends() = MakeBackend(i);
    }
    Apply(inventory);
    versions_before_ = IndicesOf(state_.fleet());
    Command route;
    route.mutable_change_traffic()->set_base_version(1);
    route.mutable_change_traffic()->set_version(2);
    *route.mutable_change_traffic()->mutable_patch()->mutable_upsert()->add_routes() =
        MakeRoute("new");
    Apply(route);
    Command backend;
    backend.mutable_set_inventory()->set_base_version(state_.fleet().inventory().version());
    Backend* changed = backend.mutable_set_inventory()->mutable_delta()->add_changed();
    *changed = MakeBackend(0);
    changed->set_draining(true);
    Apply(backend);
  }

  const ControlState& state() const { return state_; }
  // Versions of the sections before the last two changes.
  const SectionIndices& versions_before() const { return versions_before_; }

 private:
  static Backend MakeBackend(int number) {
    Backend backend;
    backend.set_id("worker-" + std::to_string(1000 + number));
    backend.set_kind(BACKEND_KIND_WORKER);
    backend.set_endpoint("10.0.0.1:8080");
    return backend;
  }
  void Apply(Command command) {
    command.set_request_id("id-" + std::to_string(++index_));
    CommandResult result;
    ASSERT_TRUE(result.ParseFromString(state_.Apply(index_, 1, command.SerializeAsString())));
    ASSERT_EQ(result.code(), CommandResult::OK);
  }

  ControlState state_;
  SectionIndices versions_before_{};
  uint64_t index_ = 0;
};

// Bytes that encoding the change takes, including what is built and thrown away.
uint64_t BytesUsedToEncode(const FleetWithOneChange& fleet) {
  google::protobuf::Arena arena;
  auto* changed = google::protobuf::Arena::CreateMessage<FleetState>(&arena);
  google::protobuf::RepeatedPtrField<std::string> names;
  EncodeChangedSections(fleet.state(), fleet.versions_before(), changed, &names);
  EXPECT_EQ(changed->traffic_patches_size(), 1);
  EXPECT_EQ(changed->inventory_delta().changed_size(), 1);
  EXPECT_EQ(names.size(), 2);
  return arena.SpaceUsed();
}

// Guards against a leader that copies the complete sections for each gateway that lacks one entry.
TEST(SectionEncoderTest, CostOfADeltaDoesNotGrowWithTheSection) {
  EXPECT_LE(BytesUsedToEncode(FleetWithOneChange(2000)),
            2 * BytesUsedToEncode(FleetWithOneChange(20)));
}

TEST(SectionEncoderTest, SharedEncodingEqualsTheSectionsOfOneGateway) {
  const FleetWithOneChange fleet(20);
  SectionEncoder encoder(&fleet.state());
  const SectionIndices current = IndicesOf(fleet.state().fleet());
  for (const SectionIndices& acked : {SectionIndices{}, fleet.versions_before(), current}) {
    ControlMessage message;
    SessionGrant* grant = message.mutable_session_grant();
    grant->set_renewal(7);
    grant->mutable_changed()->add_revision_ages()->set_model("m");
    for (int repeat = 0; repeat < 2; ++repeat) {
      ControlMessage received;
      ASSERT_TRUE(received.ParseFromString(encoder.SerializeWithSections(message, acked)));
      ControlMessage expected = message;
      EncodeChangedSections(fleet.state(), acked,
                            expected.mutable_session_grant()->mutable_changed(),
                            expected.mutable_session_grant()->mutable_changed_sections());
      EXPECT_EQ(received.SerializeAsString(), expected.SerializeAsString());
    }
  }
}

TEST(SectionEncoderTest, GrantsAndPushesAreEncodedApart) {
  const FleetWithOneChange fleet(20);
  SectionEncoder encoder(&fleet.state());
  ControlMessage grant;
  grant.mutable_session_grant()->set_term(1);
  ControlMessage push;
  push.mutable_state_push()->set_term(1);
  for (const ControlMessage& message : {grant, push}) {
    ControlMessage received;
    ASSERT_TRUE(
        received.ParseFromString(encoder.SerializeWithSections(message, fleet.versions_before())));
    EXPECT_EQ(received.message_case(), message.message_case());
  }
}

}  // namespace
}  // namespace posthatch::control
