#include "posthatch/emulator/json_client.h"

#include <utility>

namespace posthatch::emulator {

struct JsonClient::Running {
  std::unique_ptr<http::Call> call;
  http::Response response;
  Done done;
};

void JsonClient::Send(const std::string& endpoint, http::Request request, http::CallOptions options,
                      Done done) {
  const uint64_t id = next_id_++;
  auto running = std::make_shared<Running>();
  running->done = std::move(done);
  http::CallObserver observer;
  // The call owns the observer and `running` owns the call: a weak pointer avoids a cycle.
  std::weak_ptr<Running> weak = running;
  observer.on_head = [weak](const http::Response& head) {
    if (auto self = weak.lock()) self->response = head;
  };
  observer.on_chunk = [weak](const std::string& chunk) {
    if (auto self = weak.lock()) self->response.body += chunk;
  };
  observer.on_end = [this, weak, id] {
    if (auto self = weak.lock()) Finish(id, std::move(self->response));
  };
  observer.on_error = [this, weak, id](const http::CallError& error) {
    if (weak.lock()) Finish(id, error.status);
  };
  calls_[id] = running;
  running->call = runtime_->http_client->Start(endpoint, std::move(request), std::move(options),
                                               std::move(observer));
}

void JsonClient::Finish(uint64_t id, absl::StatusOr<http::Response> result) {
  auto entry = calls_.find(id);
  if (entry == calls_.end()) return;
  const std::shared_ptr<Running> running = std::move(entry->second);
  calls_.erase(entry);
  ReleaseLater(runtime_, std::move(running->call));
  running->done(std::move(result));
}

http::Request JsonRequest(std::string_view method, std::string_view target, std::string body) {
  http::Request request;
  request.method = method;
  request.target = target;
  request.headers.Add("Content-Type", "application/json");
  request.body = std::move(body);
  return request;
}

}  // namespace posthatch::emulator
