#include "posthatch/index/worker_event_reader.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "posthatch/index/fake_parts-test.h"

namespace posthatch::index {
namespace {

using invalidation::MakeVersion;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kWorker[] = "worker/w";
constexpr uint64_t kToken = 31;

// Native event format with a list of cached blocks: "next block block ...".
class ListingFormat : public KvEventFormat {
 public:
  http::Request PollRequest(uint64_t epoch, uint64_t after, runtime::Duration wait) const override {
    return NativeKvEventFormat()->PollRequest(epoch, after, wait);
  }
  absl::StatusOr<KvEventBatch> ReadBatch(std::string_view body) const override {
    return NativeKvEventFormat()->ReadBatch(body);
  }
  std::optional<http::Request> ListRequest() const override {
    http::Request request;
    request.target = "/list";
    return request;
  }
  absl::StatusOr<KvEventBatch> ReadList(std::string_view body) const override {
    if (body.empty()) return absl::InvalidArgumentError("empty");
    std::istringstream words{std::string(body)};
    KvEventBatch batch;
    batch.epoch = 100;
    words >> batch.next;
    for (BlockHash block = 0; words >> std::hex >> block;) {
      KvEvent event;
      event.type = KvEvent::Type::kStored;
      event.blocks = {block};
      batch.events.push_back(std::move(event));
    }
    return batch;
  }
};

class WorkerEventReaderTest : public testing::Test {
 protected:
  WorkerEventReaderTest() {
    trust_.versions[kWorker] = MakeVersion(100, 0);
    trust_.versions["model/m"] = MakeVersion(1, 0);
    trust_.versions["tenant/"] = MakeVersion(1, 0);
    fleet_.AddBackend("w", control::BACKEND_KIND_WORKER, "10.1.0.1:80");
    fleet_.AddLease("w", "self", 7, kToken);
    attributions_.RecordBlocks(seed_, {{0xa, 0xb, 0xc}});
    reader_.FollowFleet(fleet_.fleet);
    Respond(0, "");  // makes the epoch known
  }
  // Responds to the poll in flight and lets the next one start.
  void Respond(uint64_t next, const std::string& events, uint64_t epoch = 100) {
    fakes_.http.Respond(
        absl::StrCat(R"({"epoch":)", epoch, R"(,"next":)", next, R"(,"events":[)", events, "]}"));
    fakes_.timers.Advance(milliseconds(1));
  }
  static std::string StoredEvent(uint64_t seq, const std::string& blocks) {
    return absl::StrCat(R"({"seq":)", seq, R"(,"type":"stored","first":0,"blocks":[)", blocks,
                        "]}");
  }
  static std::string RemovedEvent(uint64_t seq, const std::string& blocks) {
    return absl::StrCat(R"({"seq":)", seq, R"(,"type":"removed","blocks":[)", blocks, "]}");
  }
  uint32_t LocatedBlocks() {
    const auto holders = locator_.Locate(seed_, {0xa, 0xb, 0xc});
    return holders.empty() ? 0 : holders[0].blocks;
  }
  // Losses reported since the last call.
  int TakeLosses() {
    int losses = 0;
    for (const control::Command& command : control_.commands) {
      if (command.observe_object().lost()) ++losses;
    }
    control_.commands.clear();
    for (const auto& done : std::exchange(control_.dones, {})) done(control::CommandResult());
    return losses;
  }

  const BlockSeed seed_{"m", 1, "", 1};
  IndexFakes fakes_;
  FakeTrust trust_;
  FakeFleet fleet_;
  FakeControl control_;
  TrustedPrefixLocator locator_{{1 << 20, nullptr}, &trust_};
  AttributionTable attributions_{1000};
  ObservationReporter reporter_{&fakes_.runtime, &control_};
  IndexUpdateFanout fanout_{&fakes_.runtime, {.zone = "z"}, [] {
                              return std::vector<IndexPeer>{{"other", "z", "10.0.0.2:7000"}};
                            }};
  IndexUpdatePublisher publisher_{&fakes_.runtime, {}, &fanout_};
  WorkerEventReader reader_{
      &fakes_.runtime, {}, {&fleet_, &trust_, &reporter_, &publisher_, &attributions_, &locator_}};
};

TEST_F(WorkerEventReaderTest, AddsAndPublishesAttributedBlocks) {
  Respond(2, StoredEvent(1, R"("a","b")") + "," + StoredEvent(2, R"("c")"));
  EXPECT_EQ(LocatedBlocks(), 3u);
  EXPECT_NE(fakes_.http.calls.back().target.find("after=2"), std::string::npos);
  fakes_.timers.Advance(milliseconds(60));
  ASSERT_EQ(fakes_.transport.sent.size(), 1u);
  IndexMessage message;
  message.ParseFromString(fakes_.transport.sent[0].payload);
  EXPECT_EQ(message.update().fencing_token(), kToken);
  EXPECT_EQ(message.update().update(), 1u);
  EXPECT_EQ(message.update().stored_size(), 2);
  Respond(3, RemovedEvent(3, R"("b","c")"));
  EXPECT_EQ(LocatedBlocks(), 1u);
  EXPECT_EQ(TakeLosses(), 0);
}

class WorkerRelistTest : public WorkerEventReaderTest {
 protected:
  WorkerRelistTest() {
    WorkerEventFeed::Options options;
    options.format = &format_;
    listing_reader_ = std::make_unique<WorkerEventReader>(
        &fakes_.runtime, options,
        WorkerEventReader::Dependencies{&fleet_, &trust_, &reporter_, &publisher_, &attributions_,
                                        &locator_});
    listing_reader_->FollowFleet(fleet_.fleet);
    Respond(0, "");
    Respond(2, StoredEvent(1, R"("a","b")") + "," + StoredEvent(2, R"("c")"));
  }
  void RespondWithLoss() { Respond(9, R"({"seq":9,"type":"lost"})"); }
  bool IsListRequested() const { return fakes_.http.calls.back().target == "/list"; }

  const ListingFormat format_;
  std::unique_ptr<WorkerEventReader> listing_reader_;
};

TEST_F(WorkerRelistTest, ListRestoresTrustAfterLoss) {
  EXPECT_EQ(LocatedBlocks(), 3u);
  RespondWithLoss();
  EXPECT_EQ(TakeLosses(), 1);
  EXPECT_EQ(LocatedBlocks(), 0u);
  EXPECT_FALSE(IsListRequested())
      << "the loss is not in force yet: what is read now won't be trusted";
  trust_.versions[kWorker] = MakeVersion(100, 1);
  Respond(9, "");
  ASSERT_TRUE(IsListRequested());
  fakes_.http.Respond("9 a b");
  fakes_.timers.Advance(milliseconds(1));
  EXPECT_EQ(LocatedBlocks(), 2u);
  EXPECT_NE(fakes_.http.calls.back().target.find("after=9"), std::string::npos);
}

TEST_F(WorkerRelistTest, MalformedListIsIgnored) {
  RespondWithLoss();
  trust_.versions[kWorker] = MakeVersion(100, 1);
  Respond(9, "");
  ASSERT_TRUE(IsListRequested());
  fakes_.http.Respond("");
  fakes_.timers.Advance(milliseconds(1));
  EXPECT_EQ(LocatedBlocks(), 0u);
  EXPECT_FALSE(IsListRequested());
  Respond(10, StoredEvent(10, R"("a")"));
  EXPECT_EQ(LocatedBlocks(), 1u);
}

TEST_F(WorkerRelistTest, ListsAreRateLimited) {
  RespondWithLoss();
  trust_.versions[kWorker] = MakeVersion(100, 1);
  Respond(9, "");
  fakes_.http.Respond("9 a");
  fakes_.timers.Advance(milliseconds(1));
  Respond(19, R"({"seq":19,"type":"lost"})");
  trust_.versions[kWorker] = MakeVersion(100, 2);
  Respond(19, "");
  EXPECT_FALSE(IsListRequested());
  fakes_.timers.Advance(seconds(2));
  Respond(19, "");
  EXPECT_TRUE(IsListRequested());
}

TEST_F(WorkerEventReaderTest, SaltAttributesWithoutDispatch) {
  KvEvent event;
  event.salt = CacheSalt({"m", 2, "", 1});
  EXPECT_EQ(attributions_.FindSalt(event.salt), nullptr);
  attributions_.RecordSeed({"m", 2, "", 1});
  ASSERT_NE(attributions_.FindSalt(event.salt), nullptr);
  EXPECT_EQ(attributions_.FindSalt(event.salt)->model_revision, 2u);
}

TEST_F(WorkerEventReaderTest, UnattributedBlocksAreNeverAdded) {
  attributions_.RecordAttempt("n1", seed_);
  Respond(2, StoredEvent(1, R"("a","dead")") + "," + StoredEvent(2, R"("beef")"));
  EXPECT_EQ(locator_.index_stats().blocks, 1u);
  Respond(3, R"({"seq":3,"type":"stored","first":0,"blocks":["d"],"attempt":"n1"})");
  EXPECT_EQ(locator_.index_stats().blocks, 2u);
  fakes_.timers.Advance(seconds(4));
  EXPECT_EQ(reader_.stats().unattributed_blocks, 1u);
}

TEST_F(WorkerEventReaderTest, EventsWaitForDispatchReportUnlessRemoved) {
  Respond(2, StoredEvent(1, R"("e")") + "," + StoredEvent(2, R"("f")"));
  Respond(3, RemovedEvent(3, R"("f")"));
  attributions_.RecordBlocks(seed_, {{0xe, 0xf}});
  fakes_.timers.Advance(milliseconds(150));
  EXPECT_EQ(locator_.Locate(seed_, {0xe}).size(), 1u);
  EXPECT_EQ(locator_.Locate(seed_, {0xf}).size(), 0u);
}

TEST_F(WorkerEventReaderTest, MissingNumberIsLossAfterReorderWindow) {
  Respond(3, StoredEvent(1, R"("a")") + "," + StoredEvent(3, R"("b")"));
  EXPECT_EQ(TakeLosses(), 0);
  fakes_.timers.Advance(milliseconds(600));
  EXPECT_EQ(TakeLosses(), 1);
  EXPECT_EQ(LocatedBlocks(), 0u);
}

TEST_F(WorkerEventReaderTest, EventsUpToNextCountAsMissing) {
  Respond(4, StoredEvent(1, R"("a")"));
  fakes_.timers.Advance(milliseconds(600));
  EXPECT_EQ(TakeLosses(), 1);
}

TEST_F(WorkerEventReaderTest, ReorderedAndDuplicateEventsAreNoLoss) {
  Respond(3, StoredEvent(1, R"("a")") + "," + RemovedEvent(3, R"("c")") + "," +
                 StoredEvent(3, R"("c")"));
  Respond(4, StoredEvent(4, R"("b")") + "," + RemovedEvent(2, R"("a")") + "," +
                 StoredEvent(1, R"("a")"));
  fakes_.timers.Advance(milliseconds(600));
  EXPECT_EQ(TakeLosses(), 0);
  EXPECT_EQ(LocatedBlocks(), 0u) << "the delayed removal is applied, the duplicate store is not";
}

TEST_F(WorkerEventReaderTest, DelayedStoredEventsAddNothing) {
  Respond(2, RemovedEvent(2, R"("a")"));
  Respond(3, StoredEvent(3, R"("b")") + "," + StoredEvent(1, R"("a")"));
  EXPECT_EQ(LocatedBlocks(), 0u);
}

TEST_F(WorkerEventReaderTest, LostMarkIsLoss) {
  Respond(1, StoredEvent(1, R"("a")"));
  EXPECT_EQ(LocatedBlocks(), 1u);
  Respond(9, R"({"seq":9,"type":"lost"})");
  EXPECT_EQ(TakeLosses(), 1);
  EXPECT_EQ(LocatedBlocks(), 0u);
  fakes_.timers.Advance(milliseconds(600));
  EXPECT_EQ(TakeLosses(), 0) << "reported once";
}

TEST_F(WorkerEventReaderTest, NewEpochIsReportedAndDropsEntries) {
  Respond(1, StoredEvent(1, R"("a")"));
  TakeLosses();
  Respond(1, StoredEvent(1, R"("b")"), /*epoch=*/200);
  ASSERT_EQ(control_.commands.size(), 1u);
  EXPECT_EQ(control_.commands[0].observe_object().epoch(), 200u);
  EXPECT_EQ(LocatedBlocks(), 0u);
  trust_.versions[kWorker] = MakeVersion(200, 0);
  fakes_.timers.Advance(milliseconds(1));
  Respond(1, "", 200);
  Respond(2, StoredEvent(2, R"("a")"), 200);
  EXPECT_EQ(LocatedBlocks(), 1u);
}

TEST_F(WorkerEventReaderTest, UnresponsiveWorkerLosesTrustOnce) {
  Respond(1, StoredEvent(1, R"("a")"));
  for (int i = 0; i < 40; ++i) {
    fakes_.http.Fail();
    fakes_.timers.Advance(milliseconds(260));
  }
  EXPECT_EQ(TakeLosses(), 1);
}

TEST_F(WorkerEventReaderTest, ResponsesAfterLeaseLossAreIgnored) {
  fleet_.lease_valid = false;
  Respond(1, StoredEvent(1, R"("a")"));
  EXPECT_EQ(locator_.index_stats().blocks, 0u);
  EXPECT_EQ(reader_.stats().stored_blocks, 0u);
}

TEST_F(WorkerEventReaderTest, LossWithoutLeaseIsReportedOnReturn) {
  Respond(2, StoredEvent(2, R"("a")"));
  fleet_.lease_valid = false;
  fakes_.timers.Advance(milliseconds(600));
  EXPECT_EQ(TakeLosses(), 0);
  fleet_.lease_valid = true;
  Respond(2, "");
  fakes_.timers.Advance(seconds(1));
  EXPECT_EQ(TakeLosses(), 1);
}

TEST_F(WorkerEventReaderTest, NewTokenRestartsFeed) {
  Respond(5, R"({"seq":5,"type":"lost"})");
  fleet_.fleet.mutable_leases(0)->set_fencing_token(kToken + 1);
  reader_.FollowFleet(fleet_.fleet);
  EXPECT_NE(fakes_.http.calls.back().target.find("epoch=0&after=0"), std::string::npos);
  fleet_.fleet.mutable_leases(0)->set_holder("other");
  reader_.FollowFleet(fleet_.fleet);
  EXPECT_EQ(reader_.feed_count(), 0u);
}

TEST_F(WorkerEventReaderTest, ObservationsAreRetriedUnderSameId) {
  Respond(9, R"({"seq":9,"type":"lost"})");
  ASSERT_EQ(control_.commands.size(), 1u);
  control_.dones[0](absl::DeadlineExceededError("test"));
  Respond(12, R"({"seq":12,"type":"lost"})");
  fakes_.timers.Advance(milliseconds(400));
  ASSERT_EQ(control_.commands.size(), 2u);
  EXPECT_EQ(control_.commands[0].request_id(), control_.commands[1].request_id());
  control_.dones[1](control::CommandResult());
  ASSERT_EQ(control_.commands.size(), 3u) << "the loss observed meanwhile";
  EXPECT_NE(control_.commands[2].request_id(), control_.commands[1].request_id());
}

}  // namespace
}  // namespace posthatch::index
