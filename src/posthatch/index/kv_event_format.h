#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "absl/status/statusor.h"
#include "posthatch/http/http.h"
#include "posthatch/index/kv_events.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::index {

// HTTP requests and response bodies for a worker's cache events. Implementations are stateless; any
// thread.
class KvEventFormat {
 public:
  virtual ~KvEventFormat() = default;
  // Requests the events of `epoch` after sequence number `after`; the worker delays its response by
  // up to `wait` while there are none.
  virtual http::Request PollRequest(uint64_t epoch, uint64_t after,
                                    runtime::Duration wait) const = 0;
  // InvalidArgument if `body` is not a batch of events.
  virtual absl::StatusOr<KvEventBatch> ReadBatch(std::string_view body) const = 0;
  // Requests a list of everything that the worker has cached; nullopt if it offers none.
  virtual std::optional<http::Request> ListRequest() const { return std::nullopt; }
  // The list as stored events, `next` as in ReadBatch. InvalidArgument if `body` is no such list.
  virtual absl::StatusOr<KvEventBatch> ReadList(std::string_view /*body*/) const {
    return absl::UnimplementedError("no lists");
  }
};

// The events of docs/BACKENDS.md.
const KvEventFormat* NativeKvEventFormat();

}  // namespace posthatch::index
