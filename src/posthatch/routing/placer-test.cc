#include "posthatch/routing/placer.h"

#include <map>
#include <string>

#include "posthatch/routing/traffic_fixture-test.h"

namespace posthatch::routing {
namespace {

// Workers w1 and w2 in this gateway's zone, w3 in another one, none in slow start, all of one
// revision.
class PlacerTest : public TrafficTest {
 protected:
  PlacerTest() {
    pool_.Update(view_.fleet, nullptr, seconds(0));
    query_.service = &view_.fleet.traffic().services(0);
    query_.prompt = &prompt_;
    store_.endpoint = "store:1";
    store_.zone = "a";
  }

  void SetPrompt(uint64_t shared, uint64_t unshared) {
    prompt_.cumulative_tokens = {shared, shared + unshared};
    prompt_.shared_tokens = shared;
  }
  WorkerPointer Find(const std::string& id) {
    for (const WorkerPointer& worker : pool_.WorkersOf("llm")) {
      if (worker->backend.id() == id) return worker;
    }
    return nullptr;
  }
  void RunStreams(const std::string& id, int count) {
    for (int i = 0; i < count; ++i) pool_.OnDispatched(Find(id).get(), 0);
  }
  void AddCacheHolder(const std::string& id, uint32_t segments, uint64_t revision = 1) {
    index::PrefixHolder holder;
    holder.backend_id = id;
    holder.blocks = segments;
    holder.model_revision = revision;
    query_.holders.push_back(holder);
  }
  std::string Choose() {
    placement_ = placer_.Choose(query_);
    return placement_.worker == nullptr ? "" : placement_.worker->backend.id();
  }

  SlowStartLimiter limiter_{&clock_, "gateway-1", [] { return std::vector<std::string>(); }};
  LoadReporter load_reporter_{&runtime_, {.zone = "a"}, [] { return std::vector<LoadPeer>(); }};
  WorkerPool pool_{&runtime_, {}, &limiter_, &load_reporter_, &view_.revisions};
  Placer placer_{&runtime_, "a", &pool_};
  PromptShape prompt_;
  PlacementQuery query_;
  PrefixStore store_;
  Placement placement_;
};

TEST_F(PlacerTest, LongPromptAvoidsRunningStreams) {
  SetPrompt(20000, 1000);
  RunStreams("w1", 6);
  RunStreams("w2", 6);
  for (int i = 0; i < 10; ++i) EXPECT_EQ(Choose(), "w3");
}

TEST_F(PlacerTest, ShortPromptsJoinRunningStreams) {
  SetPrompt(200, 300);
  RunStreams("w2", 6);
  for (int i = 0; i < 10; ++i) EXPECT_EQ(Choose(), "w2");
}

TEST_F(PlacerTest, PrefersPooledConnections) {
  SetPrompt(200, 300);
  client_.pooled_endpoints.insert(Find("w2")->backend.endpoint());
  int at_pooled = 0;
  for (int i = 0; i < 20; ++i) at_pooled += Choose() == "w2" ? 1 : 0;
  EXPECT_EQ(at_pooled, 20);
  pool_.OnDispatched(Find("w2").get(), 3000);  // about 100 ms of prefill
  for (int i = 0; i < 20; ++i) EXPECT_NE(Choose(), "w2");
}

TEST_F(PlacerTest, OtherCallsPreferPooledConnectionsUntilLoaded) {
  query_.prompt = nullptr;
  client_.pooled_endpoints.insert(Find("w2")->backend.endpoint());
  for (int i = 0; i < 20; ++i) EXPECT_EQ(Choose(), "w2");
  RunStreams("w2", 1);
  for (int i = 0; i < 20; ++i) EXPECT_EQ(Choose(), "w1");
}

// A fleet of more than 16 gateways: load reports of other zones are delayed.
TEST_F(PlacerTest, LargeFleetDrawsRandomCandidatesInZone) {
  LoadReporter loads(&runtime_, {.zone = "a"}, [] {
    return std::vector<LoadPeer>(20, {"gateway-2", "b", "other:1"});
  });
  loads.SetLocalLoad("w1", {1, 10});
  timers_.Advance(seconds(1));
  ASSERT_TRUE(loads.RemoteZoneLoadIsDelayed());
  WorkerPool pool(&runtime_, {}, &limiter_, &loads, &view_.revisions);
  pool.Update(view_.fleet, nullptr, seconds(0));
  RoutingSwitches switches;
  switches.rank = false;
  Placer placer(&runtime_, "a", &pool, switches);
  SetPrompt(2000, 300);
  std::map<std::string, int> chosen;
  for (int i = 0; i < 50; ++i) ++chosen[placer.Choose(query_).worker->backend.id()];
  EXPECT_EQ(chosen["w3"], 0) << "the only worker of another zone";
  EXPECT_EQ(chosen["w1"] + chosen["w2"], 50);
}

TEST_F(PlacerTest, AvoidsWorkersWithPendingPrefills) {
  SetPrompt(200, 300);
  RunStreams("w2", 6);
  pool_.OnDispatched(Find("w2").get(), 30000);
  for (int i = 0; i < 10; ++i) EXPECT_NE(Choose(), "w2");
}

TEST_F(PlacerTest, PrefersPrefixHolderWithoutSaving) {
  SetPrompt(20000, 500);
  AddCacheHolder("w2", 1);
  query_.store = &store_;
  EXPECT_EQ(Choose(), "w2");
  EXPECT_EQ(placement_.uncached_tokens, 500U);
  EXPECT_EQ(placement_.fetch_endpoint, "");
  EXPECT_EQ(placement_.save_endpoint, "");
}

// During a rollout: segments that w2 cached under revision 1 are usable only by workers that serve
// revision 1.
TEST_F(PlacerTest, IgnoresEntriesOfOtherRevisions) {
  SetPrompt(20000, 500);
  Find("w2")->revision = 2;
  AddCacheHolder("w2", 1, 1);
  for (int i = 0; i < 10; ++i) {
    Choose();
    EXPECT_EQ(placement_.uncached_tokens, 20500U);
    EXPECT_EQ(placement_.fetch_endpoint == "w2:80" && placement_.worker->revision == 1, false);
    EXPECT_EQ(placement_.fetch_tokens, 0U);
  }
}

TEST_F(PlacerTest, PrefersHolderOfOlderRevisionWhileServed) {
  SetPrompt(20000, 500);
  Find("w1")->revision = 2;
  AddCacheHolder("w2", 1, 1);
  EXPECT_EQ(Choose(), "w2");
  EXPECT_EQ(placement_.uncached_tokens, 500U);
}

TEST_F(PlacerTest, PrefersWorkerThatPrefillsSharedSegments) {
  SetPrompt(20000, 500);
  for (const char* worker : {"w1", "w2", "w3"}) {
    InFlightPrefills in_flight_prefills(&clock_, InFlightPrefills::Options());
    in_flight_prefills.Add({prompt_.affinity, 1, worker, milliseconds(400)});
    query_.in_flight_prefills = &in_flight_prefills;
    EXPECT_EQ(Choose(), worker);
    EXPECT_EQ(placement_.uncached_tokens, 500U);
  }
}

TEST_F(PlacerTest, FetchesFromPrefillOnlyOnceFinished) {
  SetPrompt(20000, 500);
  InFlightPrefills in_flight_prefills(&clock_, InFlightPrefills::Options());
  in_flight_prefills.Add({prompt_.affinity, 1, "w2", milliseconds(400)});
  query_.in_flight_prefills = &in_flight_prefills;
  pool_.OnDispatched(Find("w2").get(), 100000);
  EXPECT_NE(Choose(), "w2");
  EXPECT_EQ(placement_.fetch_tokens, 0U);
  clock_.now += milliseconds(500);
  EXPECT_NE(Choose(), "w2");
  EXPECT_EQ(placement_.fetch_tokens, 20000U);
  EXPECT_EQ(placement_.fetch_endpoint, "w2:80");
}

TEST_F(PlacerTest, IgnoresPrefillsOfOtherRevisions) {
  SetPrompt(20000, 500);
  InFlightPrefills in_flight_prefills(&clock_, InFlightPrefills::Options());
  in_flight_prefills.Add({prompt_.affinity, 2, "w2", milliseconds(0)});
  query_.in_flight_prefills = &in_flight_prefills;
  Choose();
  EXPECT_EQ(placement_.uncached_tokens, 20500U);
}

TEST_F(PlacerTest, FetchesFromLoadedHolder) {
  SetPrompt(20000, 500);
  AddCacheHolder("w2", 1);
  pool_.OnDispatched(Find("w2").get(), 100000);
  EXPECT_NE(Choose(), "w2");
  EXPECT_EQ(placement_.fetch_endpoint, "w2:80");
  EXPECT_EQ(placement_.fetch_tokens, 20000U);
}

TEST_F(PlacerTest, UnknownPrefixUsesStore) {
  SetPrompt(20000, 500);
  query_.store = &store_;
  Choose();
  EXPECT_EQ(placement_.fetch_endpoint, "store:1");
  EXPECT_EQ(placement_.save_endpoint, "store:1");
}

TEST_F(PlacerTest, ShortPrefixIsNotSaved) {
  SetPrompt(300, 20000);
  query_.store = &store_;
  Choose();
  EXPECT_EQ(placement_.save_endpoint, "");
  EXPECT_EQ(placement_.fetch_endpoint, "");
}

}  // namespace
}  // namespace posthatch::routing
