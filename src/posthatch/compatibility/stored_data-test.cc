#include <google/protobuf/util/message_differencer.h>
#include <gtest/gtest.h>

#include <chrono>
#include <cstdlib>
#include <memory>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "posthatch/compatibility/golden_file-test.h"
#include "posthatch/consensus/raft_replica.h"
#include "posthatch/control/state/commands-test.h"
#include "posthatch/control/state/control_state.h"
#include "posthatch/net/envelope_codec.h"
#include "posthatch/simulation/sim_world.h"
#include "posthatch/storage/file_names.h"
#include "posthatch/storage/log_recovery.h"
#include "posthatch/storage/record_format.h"
#include "posthatch/storage/snapshot_file.h"

// Tests that this build reads the data that a controller of an earlier build wrote to its disk
// (testdata/).
namespace posthatch::compatibility {
namespace {

using control::Command;
using control::CommandResult;
using control::ControlSnapshot;
using control::ControlState;
using std::chrono::seconds;

constexpr char kFolder[] = "raft";
// Lower than the number of commands, so that the folder holds a snapshot and later log entries.
constexpr uint64_t kSnapshotEveryEntries = 8;

Command InventoryDeltaCommand() {
  Command command;
  control::SetInventory* inventory = command.mutable_set_inventory();
  inventory->set_base_version(1);
  inventory->mutable_delta()->set_version(2);
  inventory->mutable_delta()->add_removed("w2");
  control::Backend* backend = inventory->mutable_delta()->add_changed();
  backend->set_id("w0");
  backend->set_kind(control::BACKEND_KIND_WORKER);
  backend->set_endpoint("127.0.0.1:2");
  backend->set_zone("z9");
  (*backend->mutable_labels())["rack"] = "r1";
  return command;
}

Command TrafficChange() {
  Command command;
  command.set_request_id("traffic");
  control::ChangeTraffic* change = command.mutable_change_traffic();
  change->set_version(7);
  control::TrafficService* service = change->mutable_whole()->add_services();
  service->set_name("llm");
  service->mutable_engine()->add_models("m");
  service->set_source("{\"name\":\"llm\"}");
  control::TrafficRoute* route = change->mutable_whole()->add_routes();
  route->set_name("r");
  route->set_host("h");
  route->set_path_prefix("/r/");
  route->set_kind(control::STREAMING);
  route->set_timeout_ms(100);
  route->add_targets()->set_service("llm");
  route->mutable_targets(0)->set_weight(1);
  control::TrafficTenant* tenant = change->mutable_whole()->add_tenants();
  tenant->set_name("t");
  tenant->add_keys("key");
  return command;
}

Command LeaseRelease() {
  Command command;
  command.mutable_grant_worker_leases()->add_released("w1");
  return command;
}

// One command of every replicated kind; the control state accepts each of them.
std::vector<Command> EveryCommand() {
  return {control::FullChange("c1", 0, control::SmallConfiguration()),
          control::PatchChange("c2", 1, "gamma", 4),
          control::EvacuationChange("e1", "rack-9", "z1", /*lifted=*/false),
          control::RevisionChange("m1", "m"),
          control::Begin("k1", "a1", "hash", 1000),
          control::Finish("k1", "a1", control::DeliveryOutcome::RESPONDED, 2000),
          control::Begin("k2", "a2", "hash", 3000),
          control::SetInventoryCommand(3, /*draining_bits=*/2),
          InventoryDeltaCommand(),
          control::Grant("w0", "g1"),
          control::Grant("w1", "g2"),
          LeaseRelease(),
          control::Observation("o1", "worker/w0", 4, /*lost=*/true),
          TrafficChange()};
}

ControlSnapshot SnapshotOf(const ControlState& state) {
  ControlSnapshot snapshot;
  EXPECT_TRUE(snapshot.ParseFromString(state.TakeSnapshot()));
  return snapshot;
}

bool MessagesEqual(const google::protobuf::Message& a, const google::protobuf::Message& b) {
  return google::protobuf::util::MessageDifferencer::Equals(a, b);
}

// A controller that is the only voter of its cluster.
struct Controller {
  explicit Controller(runtime::Runtime* runtime) : replica(runtime, Options(), &state) {
    start_status = replica.Start();
  }
  static consensus::ReplicaOptions Options() {
    consensus::ReplicaOptions options;
    options.bootstrap_expect = 1;
    options.log.directory = kFolder;
    options.snapshot_every_entries = kSnapshotEveryEntries;
    options.retained_entries = 2;
    return options;
  }
  ControlState state;
  consensus::RaftReplica replica;
  absl::Status start_status;
};

class ControllerFolderTest : public testing::Test {
 protected:
  ControllerFolderTest() : world_(1), host_(world_.AddHost("controller", "zone", "10.0.0.1")) {
    host_->SetBoot([this](runtime::Runtime* runtime) {
      auto started = std::make_shared<Controller>(runtime);
      controller_ = started.get();
      return started;
    });
  }
  ~ControllerFolderTest() override {
    if (host_->running()) host_->Crash();
  }

  bool RunUntilLeader() {
    return world_.RunUntil([this] { return controller_->replica.IsLeader(); }, seconds(30));
  }
  CommandResult::Code Propose(const Command& command);

  simulation::SimWorld world_;
  simulation::SimHost* const host_;
  Controller* controller_ = nullptr;
};

CommandResult::Code ControllerFolderTest::Propose(const Command& command) {
  CommandResult result;
  bool done = false;
  controller_->replica.Propose(command.SerializeAsString(),
                               [&](const absl::StatusOr<std::string>& response) {
                                 EXPECT_TRUE(response.ok() && result.ParseFromString(*response));
                                 done = true;
                               });
  EXPECT_TRUE(world_.RunUntil([&done] { return done; }, seconds(30)));
  return result.code();
}

const std::vector<std::string>& FolderFiles() {
  static const auto* const files = [] {
    auto* const names = new std::vector<std::string>;
    std::istringstream lines(ReadGolden("controller/FILES"));
    for (std::string name; std::getline(lines, name);) names->push_back(name);
    return names;
  }();
  return *files;
}

// Writes the golden folder if POSTHATCH_WRITE_GOLDEN is set. In any case every command must be
// accepted, and a restarted controller must restore the same state from the folder.
TEST_F(ControllerFolderTest, RestoresStateWrittenByThisBuild) {
  host_->Start();
  ASSERT_TRUE(RunUntilLeader());
  for (const Command& command : EveryCommand()) {
    EXPECT_EQ(Propose(command), CommandResult::OK) << command.ShortDebugString();
  }
  world_.RunFor(seconds(5));
  const ControlSnapshot expected = SnapshotOf(controller_->state);
  runtime::FileSystem* const disk = host_->runtime()->file_system;
  if (std::getenv("POSTHATCH_WRITE_GOLDEN") != nullptr) {
    std::string files;
    const auto names = disk->ListDirectory(kFolder);
    ASSERT_TRUE(names.ok());
    for (const std::string& name : *names) {
      const auto contents = disk->ReadFile(std::string(kFolder) + "/" + name);
      if (!contents.ok()) continue;
      ExpectGolden("controller/" + name, *contents);
      files += name + "\n";
    }
    ExpectGolden("controller/FILES", files);
    ExpectGolden("controller_state.bin", expected.SerializeAsString());
  }
  host_->Crash();
  host_->Start();
  ASSERT_TRUE(RunUntilLeader());
  world_.RunFor(seconds(1));
  EXPECT_TRUE(MessagesEqual(SnapshotOf(controller_->state), expected));
}

TEST_F(ControllerFolderTest, RestoresStateWrittenByEarlierBuild) {
  ASSERT_GE(FolderFiles().size(), 2u);
  // A writer process on the same host creates the files before the controller first starts.
  runtime::Runtime* writer = nullptr;
  host_->SetBoot([&writer](runtime::Runtime* runtime) {
    writer = runtime;
    return std::make_shared<int>();
  });
  host_->Start();
  std::vector<runtime::FileOperation> operations;
  using Kind = runtime::FileOperation::Kind;
  operations.push_back({Kind::kCreateDirectory, kFolder, "", "", 0});
  operations.push_back({Kind::kSyncDirectory, "", "", "", 0});
  for (const std::string& name : FolderFiles()) {
    const std::string path = std::string(kFolder) + "/" + name;
    operations.push_back({Kind::kFullWrite, path, ReadGolden("controller/" + name), "", 0});
    operations.push_back({Kind::kSync, path, "", "", 0});
  }
  operations.push_back({Kind::kSyncDirectory, kFolder, "", "", 0});
  absl::Status written = absl::UnknownError("not done");
  writer->file_system->Submit(std::move(operations),
                              [&written](const absl::Status& status) { written = status; });
  world_.RunFor(seconds(1));
  ASSERT_TRUE(written.ok()) << written;
  host_->Crash();

  host_->SetBoot([this](runtime::Runtime* runtime) {
    auto started = std::make_shared<Controller>(runtime);
    controller_ = started.get();
    return started;
  });
  host_->Start();
  ASSERT_TRUE(controller_->start_status.ok()) << controller_->start_status;
  ASSERT_TRUE(RunUntilLeader());
  world_.RunFor(seconds(1));
  ControlSnapshot expected;
  ASSERT_TRUE(expected.ParseFromString(ReadGolden("controller_state.bin")));
  EXPECT_GT(expected.history_size(), 0);
  EXPECT_GT(expected.deliveries_size(), 0);
  EXPECT_GT(expected.objects_size(), 0);
  EXPECT_GT(expected.requests_size(), 0);
  EXPECT_GT(expected.fleet().leases_size(), 0);
  EXPECT_EQ(expected.traffic().newest().version(), 7u);
  EXPECT_TRUE(MessagesEqual(SnapshotOf(controller_->state), expected));
  // The restored controller accepts commands: a repeated request id gets its original result, a new
  // command is applied.
  EXPECT_EQ(Propose(control::PatchChange("c2", 1, "gamma", 4)), CommandResult::OK);
  EXPECT_EQ(Propose(control::PatchChange("c3", 2, "delta", 4)), CommandResult::OK);
}

TEST(StoredFormatTest, ControlStateRestoresSnapshotOfEarlierBuild) {
  const std::string golden = ReadGolden("controller_state.bin");
  ControlState state;
  ASSERT_TRUE(state.RestoreSnapshot(golden).ok());
  ControlSnapshot expected;
  ASSERT_TRUE(expected.ParseFromString(golden));
  EXPECT_TRUE(MessagesEqual(SnapshotOf(state), expected));
}

TEST(StoredFormatTest, CommandResultsAreTheSameAsOfEarlierBuild) {
  ControlState state;
  std::string results;
  uint64_t index = 0;
  for (const Command& command : EveryCommand()) {
    CommandResult result;
    ASSERT_TRUE(result.ParseFromString(state.Apply(++index, 1, command.SerializeAsString())));
    const std::string bytes = result.SerializeAsString();
    results += std::to_string(bytes.size()) + " " + bytes + "\n";
  }
  ExpectGolden("command_results.bin", results);
}

TEST(StoredFormatTest, SegmentAndSnapshotFormatsAreUnchanged) {
  std::string segment = storage::EncodeSegmentHeader(3);
  storage::HardState hard_state;
  hard_state.set_replica_id(11);
  hard_state.set_boot_count(2);
  hard_state.set_term(5);
  hard_state.set_vote(11);
  storage::LogEntry entry;
  entry.set_index(9);
  entry.set_term(5);
  entry.set_type(storage::LogEntry::CONFIGURATION);
  entry.set_data("members");
  storage::LogReset reset;
  reset.set_index(8);
  reset.set_term(4);
  const uint64_t batch_start = segment.size();
  using storage::RecordType;
  storage::AppendRecord(RecordType::kReset, reset.SerializeAsString(), batch_start, &segment);
  storage::AppendRecord(RecordType::kEntry, entry.SerializeAsString(), batch_start, &segment);
  storage::AppendRecord(RecordType::kHardState, hard_state.SerializeAsString(), batch_start,
                        &segment);
  ExpectGolden("segment.bin", segment);
  const absl::StatusOr<storage::ParsedSegment> parsed =
      storage::ParseSegment(ReadGolden("segment.bin"), 3);
  ASSERT_TRUE(parsed.ok()) << parsed.status();
  EXPECT_EQ(parsed->records.size(), 3u);
  EXPECT_FALSE(parsed->torn);

  storage::Snapshot snapshot;
  snapshot.metadata.set_index(9);
  snapshot.metadata.set_term(5);
  snapshot.metadata.set_configuration("members");
  snapshot.data = "the state";
  ExpectGolden("snapshot.bin", storage::EncodeSnapshot(snapshot));
  const absl::StatusOr<storage::Snapshot> read = storage::ParseSnapshot(ReadGolden("snapshot.bin"));
  ASSERT_TRUE(read.ok()) << read.status();
  EXPECT_EQ(read->data, "the state");
  EXPECT_EQ(read->metadata.index(), 9u);

  ExpectGolden("paths.txt",
               storage::SegmentPath("raft", 3) + "\n" + storage::SnapshotPath("raft", 9) + "\n");
}

TEST(StoredFormatTest, TransportFrameFormatIsUnchanged) {
  runtime::Envelope envelope;
  envelope.set_service(runtime::SERVICE_CONSENSUS);
  envelope.set_from_node("node");
  envelope.set_from_endpoint("10.0.0.1:7000");
  envelope.set_from_incarnation(5);
  envelope.set_payload("payload");
  ExpectGolden("frame.bin", net::EncodeFrame(envelope));
}

}  // namespace
}  // namespace posthatch::compatibility
