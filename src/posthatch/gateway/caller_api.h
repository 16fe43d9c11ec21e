#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "posthatch/gateway/gateway_context.h"

namespace posthatch::gateway {

// The callers' HTTP interface (docs/API.md, "Callers"): resolves route, tenant and operation, then
// admits and starts the request, or rejects it immediately. Event loop thread only.
class CallerApi {
 public:
  explicit CallerApi(GatewayContext* context) : context_(context) {}

  void HandleRequest(http::Request request, std::shared_ptr<http::ResponseWriter> writer);
  // From now on every request is rejected with `draining`.
  void StopAccepting() { draining_ = true; }
  bool draining() const { return draining_; }

 private:
  struct Route {
    enum class Kind { kCompletions, kChat, kService };
    Kind kind = Kind::kCompletions;
    std::string service;
    std::string operation;
  };

  static std::optional<Route> FindRoute(const http::Request& request);
  // Runs the checks that precede admission and fills `call`, or returns the error.
  std::optional<ApiError> Validate(CallerRequest* call);
  void StartInference(const Route& route, CallerRequest call);
  void StartService(const Route& route, CallerRequest call);
  // Takes an admission slot; false if the request was rejected.
  bool Admit(CallerRequest* call);
  void Reject(const CallerRequest& call, ApiError error);

  GatewayContext* const context_;
  bool draining_ = false;
};

}  // namespace posthatch::gateway
