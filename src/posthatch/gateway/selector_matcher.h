#pragma once

#include "posthatch/control/control.pb.h"

namespace posthatch::gateway {

// Whether `selector` points at a back end. "zone" and "id" are always labels of it and win over
// labels of the same name on the list; "model" and "service" are too where the list names them.
bool MatchesBackend(const control::Selector& selector, const control::Backend& backend);

}  // namespace posthatch::gateway
