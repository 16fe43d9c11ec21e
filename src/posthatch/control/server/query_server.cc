#include "posthatch/control/server/query_server.h"

#include <optional>
#include <utility>

#include "absl/status/status.h"
#include "posthatch/control/state/fingerprint.h"

namespace posthatch::control {
namespace {

constexpr int kStatusUnavailable = 503;

}  // namespace

QueryServer::QueryServer(size_t max_queries, consensus::ReplicatedLog* log,
                         const Leadership* leadership, const ControllerHost* host,
                         const ControlState* state, ControlMessenger* messenger,
                         ControllerMetrics* metrics)
    : max_queries_(max_queries),
      log_(log),
      leadership_(leadership),
      host_(host),
      state_(state),
      messenger_(messenger),
      metrics_(metrics) {}

void QueryServer::OnRequest(const ControlPeer& sender, const QueryRequest& request) {
  if (!leadership_->active() || pending_queries_ >= max_queries_) {
    if (leadership_->active()) metrics_->overloaded().Increment();
    Reject(sender.endpoint, request.call());
    return;
  }
  ++pending_queries_;
  log_->ReadBarrier(
      lifetime_.Guard([this, endpoint = sender.endpoint, request](const absl::Status& status) {
        --pending_queries_;
        if (status.ok()) {
          Respond(endpoint, request);
        } else {
          Reject(endpoint, request.call());
        }
      }));
}

void QueryServer::Respond(const std::string& endpoint, const QueryRequest& request) {
  ControlMessage message;
  QueryResponse* response = message.mutable_query_response();
  View view;
  if (request.name() == "traffic") {
    response->set_payload(SerializeDeterministically(state_->traffic()));
  } else {
    view = Render(request);
  }
  response->set_call(request.call());
  response->set_http_status(static_cast<uint32_t>(view.http_status));
  response->set_json(std::move(view.json));
  messenger_->Send(endpoint, message);
}

View QueryServer::Render(const QueryRequest& request) const {
  if (request.name() == "controllers") {
    if (std::optional<std::string> json = host_->ControllersView()) {
      View view;
      view.json = *std::move(json);
      return view;
    }
  }
  return RenderView(request.name(), request.argument(), *state_);
}

void QueryServer::Reject(const std::string& endpoint, uint64_t call) {
  ControlMessage message;
  QueryResponse* response = message.mutable_query_response();
  response->set_call(call);
  response->set_http_status(kStatusUnavailable);
  response->set_not_leader(true);
  response->set_leader_endpoint(log_->leader_endpoint());
  messenger_->Send(endpoint, message);
}

}  // namespace posthatch::control
