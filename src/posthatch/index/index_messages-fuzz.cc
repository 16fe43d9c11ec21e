#include <cstddef>
#include <cstdint>

#include "posthatch/index/fake_parts-test.h"
#include "posthatch/index/kv_events.h"
#include "posthatch/index/replication/index_update_receiver.h"

// Parses arbitrary bytes as an IndexMessage and as the response body of GET /kv_events.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace posthatch::index;  // NOLINT(google-build-using-namespace): one function
  (void)ParseKvEvents(std::string_view(reinterpret_cast<const char*>(data), size));
  FakeTrust trust;
  trust.versions["worker/w"] = posthatch::invalidation::MakeVersion(1, 0);
  FakeFleet fleet;
  TrustedPrefixLocator locator({1 << 16, nullptr}, &trust);
  IndexFakes fakes;
  IndexUpdateReceiver receiver(fakes.runtime.clock, &fleet, &trust, &locator);
  IndexMessage message;
  if (!message.ParseFromArray(data, static_cast<int>(size))) return 0;
  receiver.Receive(posthatch::runtime::Envelope(), message.update());
  return 0;
}
