#pragma once

#include <cstddef>

#include "posthatch/invalidation/invalidation_publisher.h"
#include "posthatch/invalidation/publisher_source.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::invalidation {

// Common base of InvalidationServer and InvalidationRelay: a source and the publisher that serves
// its objects. Event loop thread only.
class PublishingSource : protected PublisherSource {
 public:
  PublishingSource(const PublishingSource&) = delete;
  PublishingSource& operator=(const PublishingSource&) = delete;

  // Number of current registrations.
  size_t registration_count() const { return publisher_.registration_count(); }
  const PublisherStats& stats() const { return publisher_.stats(); }

 protected:
  // `runtime` must outlive this object.
  PublishingSource(runtime::Runtime* runtime, const PublisherOptions& options)
      : runtime_(runtime), publisher_(runtime, options, this) {}

  runtime::Runtime* const runtime_;
  InvalidationPublisher publisher_;
};

}  // namespace posthatch::invalidation
