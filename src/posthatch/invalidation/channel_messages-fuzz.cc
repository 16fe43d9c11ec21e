#include <cstddef>
#include <cstdint>

#include "posthatch/invalidation/fake_runtime-test.h"
#include "posthatch/invalidation/invalidation_relay.h"
#include "posthatch/invalidation/invalidation_subscriber.h"

// Delivers arbitrary bytes as a channel message to a subscriber that is also a relay point. It must
// not crash and must trust nothing, since no registration of its number was ever granted.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using posthatch::invalidation::FakeRuntime;
  FakeRuntime fake;
  posthatch::invalidation::InvalidationSubscriber subscriber(
      &fake.runtime, {}, [] { return std::vector<std::string>{"10.0.0.9:7000"}; });
  posthatch::invalidation::InvalidationRelay relay(&fake.runtime, {}, &subscriber);
  subscriber.Start();
  posthatch::runtime::Envelope envelope;
  envelope.set_from_endpoint("10.0.0.9:7000");
  envelope.set_payload(data, size);
  fake.transport.receivers[posthatch::runtime::SERVICE_CHANNELS](envelope);
  fake.timers.Advance(std::chrono::seconds(3));
  return 0;
}
