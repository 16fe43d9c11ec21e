#include "posthatch/emulator/routed_server.h"

#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "posthatch/emulator/json_body.h"

namespace posthatch::emulator {
namespace {

RoutedRequest ParseTarget(http::Request request) {
  RoutedRequest routed;
  const std::pair<std::string, std::string> parts =
      absl::StrSplit(request.target, absl::MaxSplits('?', 1));
  routed.path = parts.first;
  for (const auto& field : absl::StrSplit(parts.second, '&', absl::SkipEmpty())) {
    const std::pair<std::string, std::string> entry =
        absl::StrSplit(field, absl::MaxSplits('=', 1));
    routed.query[entry.first] = entry.second;
  }
  routed.request = std::move(request);
  return routed;
}

bool Matches(const std::string& pattern, const std::string& path) {
  if (!pattern.empty() && pattern.back() == '/') return absl::StartsWith(path, pattern);
  return pattern == path;
}

}  // namespace

uint64_t RoutedRequest::QueryNumber(const std::string& key, uint64_t fallback) const {
  const auto entry = query.find(key);
  uint64_t number = 0;
  if (entry == query.end() || !absl::SimpleAtoi(entry->second, &number)) return fallback;
  return number;
}

void RoutedServer::Route(std::string method, std::string path, RouteHandler handler) {
  routes_.push_back({std::move(method), std::move(path), std::move(handler)});
}

absl::Status RoutedServer::Listen(const std::string& endpoint) {
  const RouteHandler alive = [](const RoutedRequest&,
                                const std::shared_ptr<http::ResponseWriter>& writer) {
    writer->SendResponse(JsonResponse(200, boost::json::object{{"ok", true}}));
  };
  Route("GET", "/healthz", alive);
  Route("GET", "/readyz", alive);
  auto server = runtime_->http_servers->Listen(
      endpoint, http::ServerLimits{},
      [this](http::Request request, std::shared_ptr<http::ResponseWriter> writer) {
        Handle(std::move(request), std::move(writer));
      });
  if (!server.ok()) return server.status();
  server_ = *std::move(server);
  return absl::OkStatus();
}

void RoutedServer::Handle(http::Request request,
                          std::shared_ptr<http::ResponseWriter> writer) const {
  RoutedRequest routed = ParseTarget(std::move(request));
  for (const Entry& entry : routes_) {
    if (entry.method != routed.request.method || !Matches(entry.path, routed.path)) continue;
    entry.handler(std::move(routed), std::move(writer));
    return;
  }
  writer->SendResponse(NotExecuted(404, "not_found", "no such route"));
}

}  // namespace posthatch::emulator
