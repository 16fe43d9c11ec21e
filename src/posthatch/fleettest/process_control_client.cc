#include "posthatch/fleettest/process_control_client.h"

#include <fmt/format.h>

#include <utility>

namespace posthatch::fleettest {

namespace {

constexpr runtime::Duration kResponseTimeout = std::chrono::seconds(3);
constexpr int kOk = 200;
constexpr int kFirstRedirect = 300;

}  // namespace

struct ProcessControlClient::PendingCall {
  std::unique_ptr<http::Call> call;
  Done done;
  int status = 0;
  std::string body;
};

void ProcessControlClient::Put(const std::string& endpoint, const std::string& path,
                               const std::string& json, Done done) {
  http::Request request;
  request.method = "PUT";
  request.target = path;
  request.headers.Add("Content-Type", "application/json");
  request.body = json;
  Send(endpoint, std::move(request), std::move(done));
}

void ProcessControlClient::Get(const std::string& endpoint, const std::string& path, Done done) {
  http::Request request;
  request.method = "GET";
  request.target = path;
  Send(endpoint, std::move(request), std::move(done));
}

void ProcessControlClient::Send(const std::string& endpoint, http::Request request, Done done) {
  const uint64_t id = ++last_id_;
  auto pending = std::make_shared<PendingCall>();
  pending->done = std::move(done);
  pending_[id] = pending;
  http::CallOptions options;
  options.head_timeout = kResponseTimeout;
  options.body_idle_timeout = kResponseTimeout;
  options.fresh_connection = true;
  http::CallObserver observer;
  observer.on_head = [pending](const http::Response& head) { pending->status = head.status; };
  observer.on_chunk = [pending](const std::string& chunk) { pending->body += chunk; };
  observer.on_end = [this, id, pending] {
    const bool succeeded = pending->status >= kOk && pending->status < kFirstRedirect;
    Finish(id, succeeded ? absl::OkStatus()
                         : absl::UnavailableError(
                               fmt::format("status {}: {}", pending->status, pending->body)));
  };
  observer.on_error = [this, id](const http::CallError& error) { Finish(id, error.status); };
  pending->call = runtime_->http_client->Start(endpoint, std::move(request), options, observer);
}

void ProcessControlClient::Finish(uint64_t id, const absl::Status& status) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) return;
  const std::shared_ptr<PendingCall> pending = found->second;
  pending_.erase(found);
  if (pending->done) pending->done(status, pending->body);
}

}  // namespace posthatch::fleettest
