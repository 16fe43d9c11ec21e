#pragma once

#include <memory>
#include <string>

#include "posthatch/http/http.h"
#include "prometheus/registry.h"

namespace posthatch::net {

struct IoEnvironment;

struct HttpClientOptions {
  // Pooled connections per endpoint; further ones are closed after their response.
  size_t max_idle_per_endpoint = 64;
  // Shorter than the servers' idle timeout, so that they rarely close a connection in use.
  runtime::Duration idle_timeout = std::chrono::seconds(60);
  // Idle time after which a server without a Keep-Alive timeout is assumed to close a connection.
  runtime::Duration default_keep_alive_timeout = std::chrono::seconds(60);
};

// HTTP/1.1 client with a pool of persistent connections per endpoint. `environment` and `metrics`
// must outlive it, and it outlives its calls. Event loop thread only.
std::unique_ptr<http::HttpClient> MakeBeastHttpClient(IoEnvironment* environment,
                                                      const HttpClientOptions& options,
                                                      prometheus::Registry* metrics);

}  // namespace posthatch::net
