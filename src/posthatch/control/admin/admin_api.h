#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "posthatch/control/client/control_client.h"
#include "posthatch/http/http.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::control {

struct AdminApiOptions {
  // SHA-256 of the operators' bearer token, hexadecimal; empty: requests need no token.
  std::string admin_token_sha256;
  // Time after which a change is reported as uncertain. Longer than a session lease and a leader
  // election together, since a change is acknowledged only once it is in force.
  runtime::Duration change_timeout = std::chrono::seconds(20);
  runtime::Duration query_timeout = std::chrono::seconds(5);
  // Returns the JSON body of GET /admin/v1/members, which each process renders from its local view
  // of the membership; may be empty.
  std::function<std::string()> members_view;
};

// The operators' HTTP interface (docs/API.md), the same on every gateway and controller: changes
// and reads are forwarded to the leading controller. Owned by the process; event loop thread only.
class AdminApi {
 public:
  // Every pointer must outlive this object.
  AdminApi(runtime::Runtime* runtime, AdminApiOptions options, ControlClient* control_client,
           QueryClient* query_client);

  // Responds to a request under /admin/v1/, synchronously or later; returns false and does nothing
  // for other paths. The process handles /admin/v1/log-level and /admin/v1/index itself.
  bool HandleRequest(const http::Request& request, std::shared_ptr<http::ResponseWriter> writer);

  // Whether the request carries the operators' token, if one is required; compared in constant
  // time. Also for the paths under /admin/ that the process handles itself.
  bool Authorized(const http::Request& request) const;

 private:
  void HandleChange(std::string_view name, const http::Request& request,
                    std::shared_ptr<http::ResponseWriter> writer);
  void HandleQuery(std::string_view name, std::string_view query,
                   std::shared_ptr<http::ResponseWriter> writer);

  runtime::Runtime* const runtime_;
  const AdminApiOptions options_;
  ControlClient* const control_client_;
  QueryClient* const query_client_;
};

}  // namespace posthatch::control
