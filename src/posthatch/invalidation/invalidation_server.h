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

// The invalidation server of every channel (WCIP 2, 5), on each controller; it responds and sends
// only while this process leads. Takes the process's SERVICE_CHANNELS messages. Owned by the
// controller's assembly; must not outlive `objects`. Event loop thread only.
class InvalidationServer : public PublishingSource {
 public:
  // `serving` is called before everything that is sent, after the time to be proved has been read:
  // it must check the right to serve against the clock (lease, quorum), not against a cached flag.
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
