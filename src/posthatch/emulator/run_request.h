#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "absl/status/statusor.h"
#include "posthatch/emulator/worker_settings.h"
#include "posthatch/http/http.h"

namespace posthatch::emulator {

// Header fields and body of a request from a gateway to a worker.
struct RunRequest {
  std::string operation;  // "completions" or "chat"
  std::string model;
  std::string prompt;  // canonical prompt text
  bool stream = false;
  uint32_t tokens = 0;
  std::string nonce;  // X-Request-Id
  std::string attempt;
  uint32_t attempt_number = 0;
  std::string gateway;
  std::string tenant;
  std::string idempotency_key;
  std::string cache_salt;
  std::optional<uint64_t> expected_revision;
  std::string kv_source;
  uint32_t kv_blocks = 0;
};

// Canonical prompt text of a body: `prompt`, or role and content of all `messages`
// (docs/BACKENDS.md). Errors: InvalidArgument.
absl::StatusOr<std::string> CanonicalPrompt(const boost::json::object& body);

// Reads a request to /v1/completions or /v1/chat/completions. Errors: InvalidArgument.
absl::StatusOr<RunRequest> ReadRunRequest(const http::Request& request, std::string operation,
                                          const WorkerSettings& settings);

}  // namespace posthatch::emulator
