#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "posthatch/invalidation/invalidation.pb.h"
#include "posthatch/runtime/runtime.h"
#include "posthatch/test_support/fake_timers-test.h"

// Fake runtime: time advances only when the test advances it, and sent messages are recorded.
namespace posthatch::invalidation {

class FakeClock : public test_support::FakeClock {
 public:
  FakeClock() : test_support::FakeClock(runtime::FromNanoseconds(1'000'000'000'000)) {}
};

using test_support::FakeTimers;

class FakeTransport : public runtime::Transport {
 public:
  struct Sent {
    std::string to;
    runtime::Service service;
    std::string payload;
  };
  const std::string& endpoint() const override { return own_endpoint; }
  const std::string& node_id() const override { return own_node; }
  uint64_t incarnation() const override { return 7; }
  void SetReceiver(runtime::Service service, Receiver receiver) override {
    receivers[service] = std::move(receiver);
  }
  void Send(const std::string& to, runtime::Service service, std::string payload,
            runtime::Delivery) override {
    sent.push_back({to, service, std::move(payload)});
  }
  std::string own_endpoint = "10.0.0.1:7000";
  std::string own_node = "self";
  std::vector<Sent> sent;
  std::map<runtime::Service, Receiver> receivers;
};

struct FakeRuntime {
  FakeRuntime() {
    runtime.clock = &clock;
    runtime.timers = &timers;
    runtime.random = &random;
    runtime.transport = &transport;
  }
  // Returns the messages sent since the last call to `to`, or to any endpoint if `to` is empty, and
  // discards the others.
  std::vector<ChannelEnvelope> TakeSent(const std::string& to = "") {
    std::vector<ChannelEnvelope> taken;
    for (const auto& sent : transport.sent) {
      if (!to.empty() && sent.to != to) continue;
      taken.emplace_back().ParseFromString(sent.payload);
    }
    transport.sent.clear();
    return taken;
  }
  void Deliver(const std::string& from, const ChannelEnvelope& content, uint64_t incarnation = 1) {
    runtime::Envelope envelope;
    envelope.set_service(runtime::SERVICE_CHANNELS);
    envelope.set_from_node(from);
    envelope.set_from_endpoint(from);
    envelope.set_from_incarnation(incarnation);
    envelope.set_payload(content.SerializeAsString());
    transport.receivers[runtime::SERVICE_CHANNELS](envelope);
  }

  FakeClock clock;
  FakeTimers timers{&clock};
  runtime::Random random{1};
  FakeTransport transport;
  runtime::Runtime runtime;
};

}  // namespace posthatch::invalidation
