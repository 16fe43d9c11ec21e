#pragma once

#include <string>

#include "posthatch/consensus/raft_replica.h"

namespace posthatch::server {

// Body of GET /admin/v1/controllers: the state of this controller's replica of the log, and the
// members of its cluster as it sees them.
std::string ControllersView(const consensus::ReplicaStatus& status);

}  // namespace posthatch::server
