#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "posthatch/net/beast_http_client.h"
#include "posthatch/net/fault_injection.h"
#include "posthatch/net/json_trace_sink.h"
#include "posthatch/net/transport_limits.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::net {

struct AsioRuntimeOptions {
  std::string node_id;
  // "ip:port" of the transport; empty: no transport (tools).
  std::string internal_endpoint;
  // Folder of the file system; empty: no file system.
  std::string data_folder;
  // File that log lines are appended to; empty: stderr.
  std::string log_file;
  runtime::Severity log_level = runtime::Severity::kInfo;
  // Enables fault injection (fault_injection.h); for fleet tests only.
  bool enable_fault_injection = false;
  TransportLimits transport;
  HttpClientOptions http_client;
};

// The `runtime::Runtime` of a real process: one event loop thread (the one that calls Run), a disk
// thread and spdlog's thread. Owned by main or by a test; destroyed after every component that uses
// it.
class AsioRuntime {
 public:
  // Opens log, data folder and internal endpoint. Errors: FailedPrecondition (data folder or
  // address in use), InvalidArgument, Internal.
  static absl::StatusOr<std::unique_ptr<AsioRuntime>> Create(const AsioRuntimeOptions& options);

  virtual ~AsioRuntime() = default;

  virtual runtime::Runtime* runtime() = 0;
  virtual JsonTraceSink* trace() = 0;
  // Null unless fault injection is enabled.
  virtual FaultInjection* faults() = 0;

  // Runs the event loop until Stop, on the caller's thread. May be called again after Stop.
  virtual void Run() = 0;
  // Runs the event loop until `condition` holds, checked after each event, or `limit` has passed;
  // returns whether it holds. For tools and tests.
  virtual bool RunUntil(const std::function<bool()>& condition, runtime::Duration limit) = 0;
  // Makes Run return soon. Any thread.
  virtual void Stop() = 0;
  // Runs `callback` on the event loop thread. Any thread.
  virtual void Post(std::function<void()> callback) = 0;
  // Runs `callback` on the event loop thread at each SIGTERM or SIGINT from now on.
  virtual void OnTerminationSignal(std::function<void()> callback) = 0;
  // Runs `callback` on the event loop thread at each SIGHUP from now on.
  virtual void OnReloadSignal(std::function<void()> callback) = 0;
};

}  // namespace posthatch::net
