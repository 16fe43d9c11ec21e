#include "posthatch/net/fault_injection.h"

#include "gtest/gtest.h"
#include "posthatch/net/raw_socket-test.h"

namespace posthatch::net {
namespace {

using std::chrono::milliseconds;

TEST(FaultRulesTest, ParsesEveryRule) {
  const auto rules = ParseFaultRules(
      R"({"drop_to": ["10.0.0.1:1"], "drop_from": ["10.0.0.2"],
          "delay_to": [{"endpoint": "10.0.0.3:3", "ms": 20}],
          "delay_from": [{"endpoint": "10.0.0.4:4", "ms": 30}],
          "disk_sync_delay_ms": 40, "disk_full": true})");
  ASSERT_TRUE(rules.ok()) << rules.status();
  FaultInjection faults;
  faults.SetRules(*rules);
  EXPECT_TRUE(faults.DropsTo("10.0.0.1:1"));
  EXPECT_FALSE(faults.DropsTo("10.0.0.1:2"));
  EXPECT_TRUE(faults.DropsFrom("10.0.0.2:99"));  // every port of a bare address
  EXPECT_EQ(faults.DelayTo("10.0.0.3:3"), milliseconds(20));
  EXPECT_EQ(faults.DelayFrom("10.0.0.4:4"), milliseconds(30));
  EXPECT_EQ(faults.disk_sync_delay(), milliseconds(40));
  EXPECT_TRUE(faults.disk_full());
  faults.SetRules(ParseFaultRules("{}").value());  // replaces all rules
  EXPECT_FALSE(faults.DropsTo("10.0.0.1:1"));
  EXPECT_FALSE(faults.disk_full());
}

TEST(FaultRulesTest, RejectsEverythingElse) {
  for (const char* text :
       {"", "[]", "{", R"({"drop": []})", R"({"drop_to": "x"})", R"({"drop_to": [1]})",
        R"({"delay_to": [{"endpoint": "x"}]})", R"({"delay_to": [{"endpoint": "x", "ms": -1}]})",
        R"({"disk_sync_delay_ms": 1.5})", R"({"disk_full": 1})"}) {
    EXPECT_FALSE(ParseFaultRules(text).ok()) << text;
  }
}

// HTTP calls under injected partitions and delays.
class HttpFaultTest : public ::testing::Test {
 protected:
  HttpFaultTest() {
    AsioRuntimeOptions options;
    options.enable_fault_injection = true;
    runtime_ = MakeTestRuntime(options);
    server_ = runtime_->runtime()
                  ->http_servers
                  ->Listen("127.0.0.1:0", {},
                           [this](const http::Request&,
                                  const std::shared_ptr<http::ResponseWriter>& writer) {
                             ++handled_;
                             writer->SendResponse({});
                           })
                  .value();
    options_.connect_timeout = milliseconds(100);
    options_.head_timeout = milliseconds(200);
  }

  // Runs a call; returns its error, with an OK status if there was none.
  http::CallError Call() {
    http::CallError result;
    bool finished = false;
    http::CallObserver observer;
    observer.on_head = [](const http::Response&) {};
    observer.on_chunk = [](const std::string&) {};
    observer.on_end = [&finished] { finished = true; };
    observer.on_error = [&](const http::CallError& error) {
      result = error;
      finished = true;
    };
    const auto start = runtime_->runtime()->clock->Now();
    const auto call = runtime_->runtime()->http_client->Start(
        server_->endpoint(), {.method = "GET", .target = "/", .headers = {}, .body = {}}, options_,
        observer);
    EXPECT_TRUE(runtime_->RunUntil([&finished] { return finished; }, std::chrono::seconds(5)));
    elapsed_ = runtime_->runtime()->clock->Now() - start;
    return result;
  }

  void Partition(bool outbound, bool inbound) {
    FaultRules rules;
    if (outbound) rules.drop_to.insert(server_->endpoint());
    if (inbound) rules.drop_from.insert(server_->endpoint());
    runtime_->faults()->SetRules(rules);
  }

  std::unique_ptr<AsioRuntime> runtime_;
  std::unique_ptr<http::HttpServer> server_;
  http::CallOptions options_;
  int handled_ = 0;
  runtime::Duration elapsed_;
};

TEST_F(HttpFaultTest, PartitionedConnectTimesOut) {
  for (const bool outbound : {true, false}) {
    Partition(outbound, !outbound);
    const http::CallError error = Call();
    EXPECT_EQ(error.status.code(), absl::StatusCode::kDeadlineExceeded);
    EXPECT_EQ(error.progress, http::CallProgress::kNotSent);
    EXPECT_GE(elapsed_, milliseconds(100));
  }
  EXPECT_EQ(handled_, 0);
  Partition(false, false);
  EXPECT_TRUE(Call().status.ok());
}

TEST_F(HttpFaultTest, PartitionedPooledConnectionTimesOut) {
  ASSERT_TRUE(Call().status.ok());
  Partition(true, false);  // the request is lost
  EXPECT_EQ(Call().status.code(), absl::StatusCode::kDeadlineExceeded);
  EXPECT_EQ(handled_, 1);
  Partition(false, false);
  ASSERT_TRUE(Call().status.ok());
  Partition(false, true);  // the response is lost: the request was executed
  const http::CallError error = Call();
  EXPECT_EQ(error.status.code(), absl::StatusCode::kDeadlineExceeded);
  EXPECT_EQ(error.progress, http::CallProgress::kSent);
  EXPECT_EQ(handled_, 3);
}

TEST_F(HttpFaultTest, DelaysAddUp) {
  FaultRules rules;
  rules.delay_to[server_->endpoint()] = milliseconds(20);
  rules.delay_from[server_->endpoint()] = milliseconds(30);
  runtime_->faults()->SetRules(rules);
  ASSERT_TRUE(Call().status.ok());  // one round trip to connect, one for the call
  EXPECT_GE(elapsed_, milliseconds(100));
  ASSERT_TRUE(Call().status.ok());
  EXPECT_GE(elapsed_, milliseconds(50));
  EXPECT_LT(elapsed_, milliseconds(100));
}

}  // namespace
}  // namespace posthatch::net
