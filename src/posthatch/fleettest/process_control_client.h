#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::fleettest {

// Sends control requests (PUT /debug/..., GET /readyz) to real or simulated processes.
// Event loop thread only.
class ProcessControlClient {
 public:
  using Done = std::function<void(absl::Status, const std::string& body)>;

  explicit ProcessControlClient(runtime::Runtime* runtime) : runtime_(runtime) {}
  ProcessControlClient(const ProcessControlClient&) = delete;
  ProcessControlClient& operator=(const ProcessControlClient&) = delete;

  void Put(const std::string& endpoint, const std::string& path, const std::string& json,
           Done done);
  // `done` gets Unavailable unless the response has a status of 2xx.
  void Get(const std::string& endpoint, const std::string& path, Done done);

 private:
  struct PendingCall;
  void Send(const std::string& endpoint, http::Request request, Done done);
  void Finish(uint64_t id, const absl::Status& status);

  runtime::Runtime* const runtime_;
  std::map<uint64_t, std::shared_ptr<PendingCall>> pending_;
  uint64_t last_id_ = 0;
};

}  // namespace posthatch::fleettest
