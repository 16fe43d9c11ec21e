#include "posthatch/emulator/fault_route.h"

#include <utility>

#include "posthatch/emulator/json_body.h"
#include "posthatch/util/string_view.h"

namespace posthatch::emulator {

absl::StatusOr<std::unique_ptr<http::HttpServer>> FaultRoute::Listen(const std::string& endpoint,
                                                                     http::ServerLimits limits,
                                                                     http::Handler handler) {
  http::HttpServerFactory* const servers = asio_runtime_->runtime()->http_servers;
  if (asio_runtime_->faults() == nullptr) {
    return servers->Listen(endpoint, limits, std::move(handler));
  }
  return servers->Listen(endpoint, limits,
                         [this, handler = std::move(handler)](
                             http::Request request, std::shared_ptr<http::ResponseWriter> writer) {
                           if (request.method == "PUT" && request.target == "/debug/faults") {
                             SetFaults(request, writer.get());
                           } else {
                             handler(std::move(request), std::move(writer));
                           }
                         });
}

void FaultRoute::SetFaults(const http::Request& request, http::ResponseWriter* writer) {
  absl::StatusOr<net::FaultRules> rules = net::ParseFaultRules(request.body);
  if (!rules.ok()) {
    writer->SendResponse(NotExecuted(400, "bad_request", util::ToStd(rules.status().message())));
    return;
  }
  writer->SendResponse(JsonResponse(200, boost::json::object{{"acknowledged", true}}));
  // Applied after the response is sent: the faults may partition this caller.
  asio_runtime_->Post([this, rules = *std::move(rules)]() mutable {
    asio_runtime_->faults()->SetRules(std::move(rules));
  });
}

}  // namespace posthatch::emulator
