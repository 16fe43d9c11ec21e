#pragma once

#include <memory>

#include "posthatch/control/admin/admin_api.h"
#include "posthatch/control/client/gateway_session.h"
#include "posthatch/http/http.h"
#include "posthatch/index/index_node.h"
#include "posthatch/membership/membership.h"
#include "posthatch/server/settings/node_settings.h"

// Options and request handlers that several kinds of processes have in common.
namespace posthatch::server {

// Time for the last messages (session end, gossip) to go out before the process ends.
inline constexpr runtime::Duration kLeaveDelay = std::chrono::milliseconds(200);

control::GatewaySessionOptions MakeSessionOptions(const GatewaySettings& settings);

// `membership` outlives the options.
control::AdminApiOptions MakeAdminOptions(const NodeSettings& node,
                                          const membership::Membership* membership);

// Responds to GET /admin/v1/index of an authorized operator; returns false for any other request.
bool HandleIndexStats(const http::Request& request, const control::AdminApi& admin_api,
                      const index::IndexNode& index, http::ResponseWriter* writer);

}  // namespace posthatch::server
