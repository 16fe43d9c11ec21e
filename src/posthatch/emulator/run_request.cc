#include "posthatch/emulator/run_request.h"

#include <algorithm>
#include <utility>

#include "absl/strings/numbers.h"
#include "posthatch/emulator/json_body.h"
#include "posthatch/util/string_view.h"

namespace posthatch::emulator {
namespace {

constexpr uint64_t kDefaultTokens = 16;

uint64_t NumberHeader(const http::Headers& headers, std::string_view name) {
  uint64_t number = 0;
  return absl::SimpleAtoi(util::ToAbsl(headers.Get(name)), &number) ? number : 0;
}

std::string TextHeader(const http::Headers& headers, std::string_view name) {
  return std::string(headers.Get(name));
}

}  // namespace

absl::StatusOr<std::string> CanonicalPrompt(const boost::json::object& body) {
  if (const boost::json::array* messages = ArrayField(body, "messages")) {
    std::string prompt;
    for (const boost::json::value& message : *messages) {
      const boost::json::object* fields = message.if_object();
      if (fields == nullptr) return absl::InvalidArgumentError("a message isn't an object");
      prompt += TextField(*fields, "role") + "\n" + TextField(*fields, "content") + "\n";
    }
    return prompt;
  }
  const boost::json::value* prompt = body.if_contains("prompt");
  if (prompt == nullptr || !prompt->is_string()) {
    return absl::InvalidArgumentError("neither prompt nor messages");
  }
  return TextField(body, "prompt");
}

absl::StatusOr<RunRequest> ReadRunRequest(const http::Request& request, std::string operation,
                                          const WorkerSettings& settings) {
  const absl::StatusOr<boost::json::object> body = ParseObject(request.body);
  if (!body.ok()) return body.status();
  absl::StatusOr<std::string> prompt = CanonicalPrompt(*body);
  if (!prompt.ok()) return prompt.status();

  const http::Headers& headers = request.headers;
  RunRequest run;
  run.operation = std::move(operation);
  run.model = TextField(*body, "model", settings.model);
  run.prompt = *std::move(prompt);
  run.stream = FlagField(*body, "stream");
  run.tokens = static_cast<uint32_t>(std::clamp<uint64_t>(
      NumberField(*body, "max_tokens", kDefaultTokens), 1, settings.max_tokens));
  run.nonce = TextHeader(headers, "X-Request-Id");
  run.attempt = TextHeader(headers, "X-Posthatch-Attempt");
  run.attempt_number = static_cast<uint32_t>(NumberHeader(headers, "X-Posthatch-Attempt-Number"));
  run.gateway = TextHeader(headers, "X-Posthatch-Gateway");
  run.tenant = TextHeader(headers, "X-Posthatch-Tenant");
  run.idempotency_key = TextHeader(headers, "Idempotency-Key");
  run.cache_salt = TextHeader(headers, "X-Posthatch-Cache-Salt");
  if (headers.Has("X-Posthatch-Model-Revision")) {
    run.expected_revision = NumberHeader(headers, "X-Posthatch-Model-Revision");
  }
  run.kv_source = TextHeader(headers, "X-Posthatch-Kv-Source");
  run.kv_blocks = static_cast<uint32_t>(NumberHeader(headers, "X-Posthatch-Kv-Blocks"));
  return run;
}

}  // namespace posthatch::emulator
