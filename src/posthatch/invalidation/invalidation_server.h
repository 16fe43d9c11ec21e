#pragma once

#include <functional>
#include <string>
#include <vector>

#include "posthatch/invalidation/metrics_export.h"
#include "posthatch/invalidation/object_source.h"
#include "posthatch/invalidation/publishing_source.h"
#include "posthatch/runtime/runtime.h"
#include "posthatch/util/lifetime.h"

namespace posthatch::invalidation {

struct InvalidationServerOptions {
  PublisherOptions publisher;
};

// Invalidation server of all channels (WCIP 2, 5). Runs on each controller, but grants
// registrations and sends only while its controller is the leader. Receives the process's
// SERVICE_CHANNELS messages. Owned by ControllerNode; must not outlive `objects`. Event loop thread
// only.
class InvalidationServer : public PublishingSource {
 public:
  // `serving` is called before each send, after the time to be proved has been read. It must check
  // against the clock (lease, quorum) whether this process may serve, not against a cached flag.
  InvalidationServer(runtime::Runtime* runtime, InvalidationServerOptions options,
                     ObjectSource* objects, std::function<ServingState()> serving);
  ~InvalidationServer() override;

 private:
  PublisherProof CurrentProof(const std::string& channel) override;
  std::vector<RegisteredObject> Objects(const std::string& channel) const override;
  bool Find(const std::string& channel, const std::string& object,
            ObjectVersion* version) const override;
  void Receive(const runtime::Envelope& envelope);
  void ExportMetrics();

  ObjectSource* const objects_;
  const std::function<ServingState()> serving_;
  MetricsExport metrics_;
  // Guards the listener registered with `objects_`, which can't be removed.
  util::Lifetime lifetime_;
};

}  // namespace posthatch::invalidation
