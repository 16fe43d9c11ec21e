#include "posthatch/index/kv_event_format.h"

#include <chrono>

#include "absl/strings/str_cat.h"

namespace posthatch::index {
namespace {

class NativeFormat : public KvEventFormat {
 public:
  http::Request PollRequest(uint64_t epoch, uint64_t after, runtime::Duration wait) const override {
    const auto wait_ms = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    http::Request request;
    request.method = "GET";
    request.target =
        absl::StrCat("/kv_events?epoch=", epoch, "&after=", after, "&wait_ms=", wait_ms);
    return request;
  }
  absl::StatusOr<KvEventBatch> ReadBatch(std::string_view body) const override {
    return ParseKvEvents(body);
  }
};

}  // namespace

const KvEventFormat* NativeKvEventFormat() {
  static const NativeFormat format;
  return &format;
}

}  // namespace posthatch::index
