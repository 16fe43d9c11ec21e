#include "posthatch/server/node_options.h"

#include <utility>

#include "posthatch/server/member_views.h"

namespace posthatch::server {
namespace {

constexpr std::string_view kIndexPath = "/admin/v1/index";

}  // namespace

control::GatewaySessionOptions MakeSessionOptions(const GatewaySettings& settings) {
  control::GatewaySessionOptions options;
  options.zone = settings.node.zone;
  options.renew_interval = settings.session_renew_interval;
  return options;
}

control::AdminApiOptions MakeAdminOptions(const NodeSettings& node,
                                          const membership::Membership* membership) {
  control::AdminApiOptions options;
  options.admin_token_sha256 = node.admin_token_sha256;
  options.members_view = [membership] { return MembersView(*membership); };
  return options;
}

bool HandleIndexStats(const http::Request& request, const control::AdminApi& admin_api,
                      const index::IndexNode& index, http::ResponseWriter* writer) {
  if (request.target != kIndexPath || request.method != "GET" || !admin_api.Authorized(request)) {
    return false;
  }
  http::Response response;
  response.headers.Add("Content-Type", "application/json");
  response.body = index.stats_json();
  writer->SendResponse(std::move(response));
  return true;
}

}  // namespace posthatch::server
