#include "posthatch/routing/store_health_checker.h"

#include <algorithm>
#include <utility>

namespace posthatch::routing {
namespace {

constexpr int kStatusOk = 200;
constexpr size_t kMaxBodyBytes = size_t{4} << 20;
// Tick interval while this gateway checks no stores.
constexpr runtime::Duration kIdleInterval = std::chrono::milliseconds(500);

}  // namespace

StoreHealthChecker::StoreHealthChecker(runtime::Runtime* runtime, StoreHealthCheckerOptions options,
                                       Dependencies dependencies)
    : runtime_(runtime),
      options_(options),
      dependencies_(std::move(dependencies)),
      timer_(runtime->timers) {}

void StoreHealthChecker::Tick() {
  const std::vector<std::string> stores = dependencies_.stores();
  const bool checks = !stores.empty() && dependencies_.is_responsible();
  timer_.Start(checks ? options_.poll_interval : kIdleInterval, [this] { Tick(); });
  std::erase_if(polls_, [&](const auto& entry) {
    return !checks || std::find(stores.begin(), stores.end(), entry.first) == stores.end();
  });
  if (!checks) return;
  for (const std::string& endpoint : stores) {
    Poll& poll = polls_[endpoint];
    if (!poll.in_flight) SendPoll(endpoint, &poll);
  }
}

void StoreHealthChecker::SendPoll(const std::string& endpoint, Poll* poll) {
  poll->in_flight = true;
  poll->status = 0;
  poll->body.clear();
  http::CallOptions options;
  options.connect_timeout = options_.response_timeout;
  options.head_timeout = options_.poll_wait + options_.response_timeout;
  options.body_idle_timeout = options_.response_timeout;
  options.max_body_bytes = kMaxBodyBytes;
  http::CallObserver observer;
  observer.on_head = [poll](const http::Response& head) { poll->status = head.status; };
  observer.on_chunk = [poll](const std::string& chunk) { poll->body.append(chunk); };
  observer.on_end = [this, endpoint] { OnPollResponse(endpoint); };
  observer.on_error = [this, endpoint](const http::CallError&) { OnFailure(endpoint); };
  poll->call = runtime_->http_client->Start(
      endpoint, options_.format->PollRequest(poll->epoch, poll->after, options_.poll_wait), options,
      std::move(observer));
}

void StoreHealthChecker::OnPollResponse(const std::string& endpoint) {
  Poll& poll = polls_.at(endpoint);
  poll.in_flight = false;
  if (poll.status == kStatusOk) {
    const absl::StatusOr<index::KvEventBatch> batch = options_.format->ReadBatch(poll.body);
    if (batch.ok()) {
      poll.epoch = batch->epoch;
      poll.after = batch->next;
    }
  }
  dependencies_.report(endpoint, true);
}

void StoreHealthChecker::OnFailure(const std::string& endpoint) {
  polls_.at(endpoint).in_flight = false;
  dependencies_.report(endpoint, false);
}

}  // namespace posthatch::routing
