#include "posthatch/routing/traffic_gateway.h"

#include "posthatch/routing/traffic_fixture-test.h"

namespace posthatch::routing {
namespace {

class TrafficGatewayTest : public TrafficTest {
 protected:
  // The value of posthatch_traffic_outdated_prompts_total.
  double OutdatedPrompts(const std::string& stage) const {
    for (const prometheus::MetricFamily& family : registry_.Collect()) {
      if (family.name != "posthatch_traffic_outdated_prompts_total") continue;
      for (const prometheus::ClientMetric& metric : family.metric) {
        if (metric.label.front().value == stage) return metric.counter.value;
      }
    }
    return 0;
  }
};

TEST_F(TrafficGatewayTest, UnavailableWithoutConfiguration) {
  view_.fleet.clear_traffic();
  view_.fleet.set_traffic_index(0);
  Start();
  EXPECT_FALSE(gateway_->Ready());
  const auto writer = Send("once");
  EXPECT_EQ(writer->sent_response.status, 503);
  EXPECT_TRUE(writer->sent_response.headers.Has("Retry"));
}

TEST_F(TrafficGatewayTest, ReadsNoInventoryWithoutConfiguration) {
  options_.inventory_endpoint = "inventory:1";
  options_.inventory_format = control::NativeInventoryFormat();
  const control::FleetState fleet = view_.fleet;
  view_.fleet.Clear();
  view_.inventory_age = std::chrono::hours(1);
  Start();
  timers_.Advance(seconds(5));
  EXPECT_EQ(client_.calls.size(), 0U);
  view_.fleet = fleet;
  view_.Changed();
  timers_.Advance(seconds(1));
  EXPECT_GE(client_.calls.size(), 1U) << "no controller has read the inventory recently";
  EXPECT_EQ(Last().endpoint, "inventory:1");
}

TEST_F(TrafficGatewayTest, DistinguishesUnknownRouteKeyAndMalformedCall) {
  Start();
  EXPECT_EQ(Send("nowhere")->sent_response.status, 404);
  EXPECT_EQ(Send("once", "no-such-key")->sent_response.status, 401);
  http::Request malformed;
  malformed.method = "POST";
  malformed.target = "/once/x";
  malformed.headers.Add("Host", "h");
  malformed.headers.Add("Malformed", "1");
  auto writer = std::make_shared<gateway::FakeWriter>();
  gateway_->HandleRequest(std::move(malformed), writer);
  EXPECT_EQ(writer->sent_response.status, 400);
  EXPECT_TRUE(client_.calls.empty());
}

TEST_F(TrafficGatewayTest, PublicRouteNeedsNoKey) {
  view_.fleet.mutable_traffic()->mutable_routes(0)->set_public_access(true);
  Start();
  Send("once", "");
  ASSERT_EQ(client_.calls.size(), 1U);
  EXPECT_EQ(Last().Field("Tenant"), "");
}

TEST_F(TrafficGatewayTest, ServesLastConfigurationAfterLeaseExpiry) {
  Start();
  view_.expiry = clock_.now - seconds(10);
  EXPECT_TRUE(gateway_->Ready());
  Send("once");
  EXPECT_EQ(client_.calls.size(), 1U);
}

TEST_F(TrafficGatewayTest, RevokedKeyIsRejectedOnceApplied) {
  Start();
  view_.fleet.mutable_traffic()->mutable_tenants(0)->clear_keys();
  view_.fleet.set_traffic_index(2);
  view_.Changed();
  EXPECT_EQ(Send("once")->sent_response.status, 401);
}

TEST_F(TrafficGatewayTest, DrainingSurvivesOlderInventory) {
  Start();
  control::Backend* s1 = view_.fleet.mutable_inventory()->mutable_backends(3);
  ASSERT_EQ(s1->id(), "s1");
  s1->set_draining(true);
  view_.Changed();
  s1->set_draining(false);
  view_.Changed();
  for (int i = 0; i < 8; ++i) {
    Send("once");
    EXPECT_EQ(Last().endpoint, "s2:80");
  }
}

TEST_F(TrafficGatewayTest, EvacuatedZoneGetsNothing) {
  Start();
  control::Evacuation* evacuation = view_.fleet.add_evacuations();
  evacuation->set_name("a");
  control::Requirement* requirement = evacuation->mutable_selector()->add_requirements();
  requirement->set_key("zone");
  requirement->set_operator_(control::Requirement::IN);
  requirement->add_values("a");
  view_.Changed();
  for (int i = 0; i < 8; ++i) {
    Send("stream");
    EXPECT_EQ(Last().endpoint, "w3:80");
  }
  EXPECT_EQ(Send("once")->sent_response.status, 503);
}

TEST_F(TrafficGatewayTest, NewWorkerIsInSlowStart) {
  view_.fleet.mutable_inventory()->mutable_backends()->DeleteSubrange(0, 3);
  Start();
  AddWorker("w9", "llm", "a");
  view_.Changed();
  Send("stream");
  EXPECT_EQ(client_.calls.size(), 1U);
  EXPECT_EQ(Send("stream")->sent_response.status, 503)
      << "a second request at once exceeds the slow start rate";
  timers_.Advance(milliseconds(800));
  Send("stream");
  EXPECT_EQ(client_.calls.size(), 2U);
}

TEST_F(TrafficGatewayTest, SlowStartIsLimitedAcrossGateways) {
  const size_t fleet = 80;
  size_t allowed = 0;
  gateways_.clear();
  for (size_t i = 0; i < fleet; ++i) gateways_.push_back("gateway-" + std::to_string(i));
  for (size_t i = 0; i < fleet; ++i) {
    const SlowStartLimiter limiter(&clock_, gateways_[i], [this] { return gateways_; });
    allowed += limiter.MaySend("w9", 5.2) ? 1 : 0;
  }
  EXPECT_EQ(allowed, 5U);
}

TEST_F(TrafficGatewayTest, OlderRevisionGetsNothingAfterDeadline) {
  options_.revision_deadline = seconds(10);
  Start();
  view_.fleet.mutable_revisions(0)->set_revision(2);
  view_.Changed();
  Send("stream");
  EXPECT_EQ(client_.calls.size(), 1U)
      << "before the deadline, workers of the older revision still serve";
  timers_.Advance(milliseconds(8800));
  EXPECT_EQ(Send("stream")->sent_response.status, 503);
}

// Incident 34: each further revision restarted the deadline for workers of the oldest one.
TEST_F(TrafficGatewayTest, LaterRevisionDoesNotExtendDeadlineOfOlderOnes) {
  options_.revision_deadline = seconds(10);
  Start();
  view_.fleet.mutable_revisions(0)->set_revision(2);
  view_.Changed();
  timers_.Advance(seconds(5));
  view_.fleet.mutable_revisions(0)->set_revision(3);
  view_.Changed();
  timers_.Advance(milliseconds(3800));
  EXPECT_EQ(Send("stream")->sent_response.status, 503);
}

TEST_F(TrafficGatewayTest, CountsPromptsAtWorkersOfOlderRevision) {
  options_.revision_deadline = seconds(10);
  Start();
  view_.fleet.mutable_revisions(0)->set_revision(2);
  view_.Changed();
  Send("stream");
  EXPECT_EQ(OutdatedPrompts("dispatched"), 1);
  Head(200);
  Last().Chunk("id: 1\ndata: x\n\n");
  EXPECT_EQ(OutdatedPrompts("began"), 1);
  EXPECT_EQ(OutdatedPrompts("began_late"), 0);
}

TEST_F(TrafficGatewayTest, AvoidsWorkersLoadedByOtherGateways) {
  Start();
  Send("stream");
  const std::string preferred = Last().Field("Instance");
  TrafficMessage message;
  LoadReport* report = message.mutable_load_report();
  report->set_incarnation(5);
  report->set_report(1);
  WorkerLoad* load = report->add_loads();
  load->set_worker_id(preferred);
  load->set_in_flight(40);
  load->set_pending_tokens(200000);
  runtime::Envelope envelope;
  envelope.set_from_node("gateway-2");
  envelope.set_payload(message.SerializeAsString());
  transport_.receiver(envelope);
  Send("stream");
  EXPECT_NE(Last().Field("Instance"), preferred);
  EXPECT_FALSE(Last().Field("Source").empty())
      << "segments cached at the preferred worker may be fetched";
}

TEST_F(TrafficGatewayTest, SlowTransfersBackOff) {
  Start();
  // Load on the preferred worker moves calls to another one, with the preferred worker as fetch
  // source.
  Send("stream");
  const std::string preferred = Last().Field("Instance");
  TrafficMessage message;
  message.mutable_load_report()->set_incarnation(5);
  message.mutable_load_report()->set_report(1);
  WorkerLoad* load = message.mutable_load_report()->add_loads();
  load->set_worker_id(preferred);
  load->set_pending_tokens(200000);
  runtime::Envelope envelope;
  envelope.set_from_node("gateway-2");
  envelope.set_payload(message.SerializeAsString());
  transport_.receiver(envelope);
  Send("stream");
  const std::string target = Last().Field("Instance");
  ASSERT_FALSE(Last().Field("Source").empty());
  const size_t slow_call = client_.calls.size() - 1;
  timers_.Advance(milliseconds(900));
  http::Response head;
  head.headers.Add("Id", client_.calls[slow_call]->Field("Id"));
  client_.calls[slow_call]->observer.on_head(head);
  client_.calls[slow_call]->observer.on_chunk("id: 1\n\n");
  Send("stream");
  EXPECT_NE(Last().Field("Instance"), preferred);
  EXPECT_EQ(Last().Field("Source"), "");
  EXPECT_NE(target, preferred);
}

}  // namespace
}  // namespace posthatch::routing
