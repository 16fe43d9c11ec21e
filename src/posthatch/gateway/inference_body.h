#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace posthatch::gateway {

// The fields of a completion request's body that routing uses. The body itself is forwarded
// unchanged.
struct InferenceBody {
  std::string model;
  std::string prompt;  // canonical text; its blocks are cached (docs/BACKENDS.md, "Worker")
  bool chat = false;
  bool stream = false;
};

// Reads a caller's body; InvalidArgument says what is missing.
absl::StatusOr<InferenceBody> ParseInferenceBody(std::string_view body, bool chat);

}  // namespace posthatch::gateway
