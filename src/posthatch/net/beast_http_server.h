#pragma once

#include <memory>

#include "posthatch/http/http.h"
#include "prometheus/registry.h"

namespace posthatch::net {

struct IoEnvironment;

// HTTP/1.1 servers. The requests of one connection are processed one after another. A request that
// can't be read gets status 400, 408, 413 or 431 with the error body of docs/API.md, and its
// connection is closed. `environment` and `metrics` must outlive the factory and its servers. Event
// loop thread only.
std::unique_ptr<http::HttpServerFactory> MakeBeastHttpServerFactory(IoEnvironment* environment,
                                                                    prometheus::Registry* metrics);

}  // namespace posthatch::net
