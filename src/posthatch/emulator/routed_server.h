#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "posthatch/http/http.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::emulator {

// A request with its target parsed into path and query.
struct RoutedRequest {
  http::Request request;
  std::string path;
  std::map<std::string, std::string> query;

  // Number in the query, or the fallback.
  uint64_t QueryNumber(const std::string& key, uint64_t fallback) const;
};

using RouteHandler = std::function<void(RoutedRequest, std::shared_ptr<http::ResponseWriter>)>;

// The HTTP server of an emulator: routes by method and path, responds 200 to /healthz and /readyz,
// 404 to other paths. Event loop thread only.
class RoutedServer {
 public:
  explicit RoutedServer(runtime::Runtime* runtime) : runtime_(runtime) {}

  // A `path` that ends in '/' matches every path below it.
  void Route(std::string method, std::string path, RouteHandler handler);
  absl::Status Listen(const std::string& endpoint);
  // Valid after Listen.
  const std::string& endpoint() const { return server_->endpoint(); }
  // Closes the server and its connections at once.
  void Close() { server_.reset(); }

 private:
  struct Entry {
    std::string method;
    std::string path;
    RouteHandler handler;
  };
  void Handle(http::Request request, std::shared_ptr<http::ResponseWriter> writer) const;

  runtime::Runtime* const runtime_;
  std::vector<Entry> routes_;
  std::unique_ptr<http::HttpServer> server_;
};

}  // namespace posthatch::emulator
