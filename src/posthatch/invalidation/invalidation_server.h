#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "posthatch/invalidation/metrics_export.h"
#include "posthatch/invalidation/object_source.h"
#include "posthatch/invalidation/publishing_source.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::invalidation {

struct InvalidationServerOptions {
  PublisherOptions publisher;
};

// The invalidation server of every channel (WCIP 2, 5), on each controller; it answers and sends
// only while this process leads. Takes the process's SERVICE_CHANNELS messages. Owned by the
// controller's assembly; must not outlive `objects`. Event loop thread only.
class InvalidationServer : public PublishingSource {
 public:
  // `serving` is asked at each moment of sending, after the time to be proved has been read: it
  // must check its right to serve against the clock (lease, quorum), not against a cached flag.
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
  // Guards the listener left with `objects_`, which can't be taken back.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace posthatch::invalidation
