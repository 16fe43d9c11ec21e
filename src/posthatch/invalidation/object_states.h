#pragma once

#include <string>

#include "posthatch/invalidation/invalidation.pb.h"
#include "posthatch/invalidation/publisher_source.h"

// The object states that a publisher sends (WCIP 5.2.5, 5.3).
namespace posthatch::invalidation {

// Adds the states of the requested objects to the response to a registration or an increment.
// Their freshness is relative to the versions that the subscriber stated in `request`.
void AddRequestedStates(const PublisherSource& source, const RegistrationRequest& request,
                        RegistrationResponse* response);

// The state of a changed object: stale at its newest version, or excluded if no longer covered.
ObjectState ChangedState(const PublisherSource& source, const std::string& channel,
                         const std::string& object);

// The state of an object that the channel no longer covers.
ObjectState ExcludedState(const std::string& object);

}  // namespace posthatch::invalidation
