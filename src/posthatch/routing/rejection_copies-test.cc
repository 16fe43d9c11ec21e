#include <algorithm>
#include <array>
#include <optional>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "gmock/gmock.h"
#include "posthatch/net/raw_socket-test.h"
#include "posthatch/routing/traffic_fixture-test.h"

// Copies of rejections on real connections: the gateway's requests go through the HTTP client of
// real processes to two instances of a service, whose responses the test writes byte by byte.
namespace posthatch::routing {
namespace {

constexpr runtime::Duration kTimeToDispatch = milliseconds(50);

// An instance of the service, with the connections that it has accepted.
class Instance {
 public:
  explicit Instance(net::AsioRuntime* runtime) : runtime_(runtime) {}

  const std::string& endpoint() const { return listener_.endpoint(); }
  // Returns a connection with a request that was not returned before; null if there is none within
  // `limit`.
  net::RawSocket* NextDispatch(runtime::Duration limit) {
    if (listener_.WaitForConnection(runtime_, limit)) {
      connections_.push_back(std::make_unique<net::RawSocket>(listener_.Accept(runtime_)));
    }
    for (const std::unique_ptr<net::RawSocket>& connection : connections_) {
      const std::string& received = connection->ReadUntil(runtime_, "body", limit);
      if (!absl::StrContains(received, "body")) continue;
      connection->ClearReceived();
      return connection.get();
    }
    return nullptr;
  }

 private:
  net::AsioRuntime* const runtime_;
  net::RawListener listener_;
  std::vector<std::unique_ptr<net::RawSocket>> connections_;
};

class RejectionCopiesTest : public TrafficTest, public testing::WithParamInterface<int> {
 protected:
  RejectionCopiesTest()
      : asio_(net::MakeTestRuntime()), instances_{Instance(asio_.get()), Instance(asio_.get())} {
    runtime_.clock = asio_->runtime()->clock;
    runtime_.timers = asio_->runtime()->timers;
    runtime_.http_client = asio_->runtime()->http_client;
    for (control::Backend& backend : *view_.fleet.mutable_inventory()->mutable_backends()) {
      if (backend.id() == "s1") backend.set_endpoint(instances_[0].endpoint());
      if (backend.id() == "s2") backend.set_endpoint(instances_[1].endpoint());
    }
    Start();
  }
  ~RejectionCopiesTest() override { gateway_.reset(); }  // it uses asio_

  // The connection on which an instance has received the next dispatch; null if none has.
  net::RawSocket* NextDispatch() {
    for (Instance& instance : instances_) {
      net::RawSocket* connection = instance.NextDispatch(kTimeToDispatch);
      if (connection != nullptr) return connection;
    }
    return nullptr;
  }
  void Reject(net::RawSocket* connection) {
    connection->Send(asio_.get(), absl::StrCat("HTTP/1.1 ", GetParam(),
                                               " Rejected\r\nId: id-1\r\nRefused: 1\r\n"
                                               "Content-Length: 0\r\n\r\n"));
    net::RunFor(asio_.get(), milliseconds(5));
  }

  std::unique_ptr<net::AsioRuntime> asio_;
  std::array<Instance, 2> instances_;
};

INSTANTIATE_TEST_SUITE_P(Statuses, RejectionCopiesTest, testing::Values(503, 429, 421));

// Incident 48: a rejection that a worker sent twice was taken for the response to a later dispatch
// of the same request on that connection, which the worker ran (rules REFUSED and TWICE).
TEST_P(RejectionCopiesTest, CopyIsNotTakenForLaterDispatchOfTheRequest) {
  const auto writer = Send("once");
  std::vector<net::RawSocket*> rejecting;
  for (int i = 0; i < 2; ++i) {
    rejecting.push_back(NextDispatch());
    ASSERT_NE(rejecting.back(), nullptr);
    Reject(rejecting.back());
  }
  net::RawSocket* third = NextDispatch();
  ASSERT_NE(third, nullptr);
  for (net::RawSocket* connection : rejecting) {
    Reject(connection);
    Reject(connection);
  }
  EXPECT_EQ(NextDispatch(), nullptr) << "dispatched again while the third dispatch runs";
  EXPECT_EQ(writer->responses, 0);
  third->Send(asio_.get(), "HTTP/1.1 200 OK\r\nId: id-1\r\nContent-Length: 3\r\n\r\nran");
  net::RunFor(asio_.get(), milliseconds(20));
  EXPECT_EQ(writer->sent_response.status, 200);
  EXPECT_EQ(writer->sent_response.body, "ran");
}

}  // namespace
}  // namespace posthatch::routing
