#include <cstddef>
#include <cstdint>
#include <string>

#include "posthatch/control/inventory/inventory_format.h"
#include "posthatch/gateway/inference_body.h"
#include "posthatch/gateway/response_check.h"

// Parses and checks bodies from callers, back ends and the platform's inventory.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  namespace gateway = posthatch::gateway;
  const std::string body(reinterpret_cast<const char*>(data), size);
  (void)gateway::ParseInferenceBody(body, false).ok();
  (void)gateway::ParseInferenceBody(body, true).ok();
  (void)control::ParseInventory(body).ok();
  (void)gateway::CheckCompletionBody(body, "q").ok();
  (void)gateway::CheckServiceBody(body, "q", "place").ok();
  posthatch::http::Response response;
  response.status = 503;
  response.body = body;
  (void)gateway::GuaranteesNotExecuted(response);
  return 0;
}
