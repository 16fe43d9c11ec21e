// Measures the cost of an invalidation server at several numbers of subscribers and objects; a
// relay point uses the same publisher. Prints one JSON object per line. Figures and their command
// are in docs/design-docs/invalidation.md.
#include <boost/json.hpp>
#include <chrono>
#include <functional>
#include <iostream>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "posthatch/invalidation/channel_names.h"
#include "posthatch/invalidation/invalidation_server.h"
#include "posthatch/test_support/fake_timers-test.h"

namespace posthatch::invalidation {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kRounds = 30;

// Counts and discards sent messages: the cost of sending is not measured here.
class CountingTransport : public runtime::Transport {
 public:
  const std::string& endpoint() const override { return name_; }
  const std::string& node_id() const override { return name_; }
  uint64_t incarnation() const override { return 1; }
  void SetReceiver(runtime::Service, Receiver receiver) override {
    receiver_ = std::move(receiver);
  }
  void Send(const std::string&, runtime::Service, std::string payload, runtime::Delivery) override {
    ++messages;
    bytes += payload.size();
  }
  void Deliver(const runtime::Envelope& envelope) { receiver_(envelope); }
  uint64_t messages = 0;
  uint64_t bytes = 0;

 private:
  const std::string name_ = "bench";
  Receiver receiver_;
};

class BenchObjects : public ObjectSource {
 public:
  explicit BenchObjects(int count) {
    for (int i = 0; i < count; ++i) {
      versions_[absl::StrCat("worker/runner-", i)] = MakeVersion(1'700'000'000'000'000, 0);
    }
  }
  std::vector<RegisteredObject> Objects() const override {
    std::vector<RegisteredObject> all;
    for (const auto& [name, version] : versions_) {
      all.emplace_back().set_object(name);
      *all.back().mutable_version() = version;
    }
    return all;
  }
  bool Find(const std::string& object, ObjectVersion* version) const override {
    const auto found = versions_.find(object);
    if (found == versions_.end()) return false;
    *version = found->second;
    return true;
  }
  void AddListener(Listener listener) override { listener_ = std::move(listener); }
  void RaiseVersions(int count) {
    for (auto it = versions_.begin(); it != versions_.end() && count > 0; ++it, --count) {
      it->second.set_sequence(it->second.sequence() + 1);
      listener_(it->first, it->second);
    }
  }

 private:
  std::map<std::string, ObjectVersion> versions_;
  Listener listener_;
};

double MeasureMicroseconds(const std::function<void()>& work) {
  const auto start = std::chrono::steady_clock::now();
  work();
  return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start)
      .count();
}

void Measure(int subscribers, int objects, int changed) {
  test_support::FakeClock clock(runtime::FromNanoseconds(1'000'000'000));
  test_support::FakeTimers timers(&clock);
  CountingTransport transport;
  runtime::Random random(1);
  runtime::Runtime runtime;
  runtime.clock = &clock;
  runtime.timers = &timers;
  runtime.transport = &transport;
  runtime.random = &random;
  BenchObjects source(objects);
  InvalidationServerOptions options;
  options.publisher.max_direct_registrations = 1'000'000;
  InvalidationServer server(&runtime, options, &source, [] { return ServingState{true, 1}; });

  const double registration_us = MeasureMicroseconds([&] {
    for (int i = 0; i < subscribers; ++i) {
      ChannelEnvelope content;
      RegistrationRequest* request = content.mutable_request();
      request->set_channel(kAggregateChannel);
      request->set_registration(1);
      request->set_lifetime_ms(300'000);
      request->set_base(RegistrationRequest::INCLUDE_ALL);
      runtime::Envelope envelope;
      envelope.set_from_endpoint(absl::StrCat("10.0.", i / 250, ".", i % 250, ":7000"));
      envelope.set_payload(content.SerializeAsString());
      transport.Deliver(envelope);
    }
  });
  const uint64_t response_bytes = transport.bytes / transport.messages;
  transport.messages = transport.bytes = 0;
  const double heartbeats_us = MeasureMicroseconds([&] { timers.Advance(seconds(kRounds)); });
  const uint64_t heartbeat_messages = transport.messages;
  const uint64_t heartbeat_bytes = transport.bytes / transport.messages;
  transport.messages = transport.bytes = 0;
  double invalidations_us = 0;
  for (int round = 0; round < kRounds; ++round) {
    invalidations_us += MeasureMicroseconds([&] {
      source.RaiseVersions(changed);
      timers.Advance(milliseconds(21));
    });
  }
  const auto average = [](double total, double count) { return total / count; };
  std::cout << boost::json::serialize(boost::json::object{
                   {"subscribers", subscribers},
                   {"objects", objects},
                   {"changed", changed},
                   {"registration_us", average(registration_us, subscribers)},
                   {"answer_bytes", response_bytes},
                   {"heartbeat_us",
                    average(heartbeats_us, static_cast<double>(heartbeat_messages))},
                   {"heartbeat_bytes", heartbeat_bytes},
                   {"invalidation_us",
                    average(invalidations_us, static_cast<double>(transport.messages))},
                   {"invalidation_bytes", transport.bytes / transport.messages},
                   {"fan_out_ms", invalidations_us / kRounds / 1000}})
            << std::endl;
}

}  // namespace
}  // namespace posthatch::invalidation

int main() {
  for (const int subscribers : {10, 46, 325, 1300}) {
    for (const auto& [objects, changed] : {std::pair{40, 1}, {10'000, 1}, {10'000, 50}}) {
      posthatch::invalidation::Measure(subscribers, objects, changed);
    }
  }
  return 0;
}
