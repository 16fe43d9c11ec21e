#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "absl/status/statusor.h"
#include "posthatch/http/http.h"
#include "posthatch/index/kv_events.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::index {

// How a worker's cache events are asked and read. Stateless; any thread.
class KvEventFormat {
 public:
  virtual ~KvEventFormat() = default;
  // Events of `epoch` after number `after`; the worker holds the call for up to `wait` if there are
  // none.
  virtual http::Request PollRequest(uint64_t epoch, uint64_t after,
                                    runtime::Duration wait) const = 0;
  // InvalidArgument if `body` is not a batch of events.
  virtual absl::StatusOr<KvEventBatch> ReadBatch(std::string_view body) const = 0;
  // Asks for everything that the worker keeps; nothing if it can't be asked.
  virtual std::optional<http::Request> ListRequest() const { return std::nullopt; }
  // The answer as stored events, `next` as in ReadBatch. InvalidArgument if `body` is no such list.
  virtual absl::StatusOr<KvEventBatch> ReadList(std::string_view /*body*/) const {
    return absl::UnimplementedError("no lists");
  }
};

// The events of docs/BACKENDS.md.
const KvEventFormat* NativeKvEventFormat();

}  // namespace posthatch::index
