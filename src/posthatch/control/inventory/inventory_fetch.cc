#include "posthatch/control/inventory/inventory_fetch.h"

#include <utility>

#include "absl/status/status.h"
#include "posthatch/control/state/inventory_state.h"

namespace posthatch::control {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusTooManyRequests = 429;
constexpr size_t kMaxBodyBytes = size_t{64} * 1024 * 1024;

}  // namespace

InventoryFetch::InventoryFetch(runtime::Runtime* runtime, std::string endpoint,
                               const InventoryFormat* format, runtime::Duration timeout)
    : runtime_(runtime),
      endpoint_(std::move(endpoint)),
      format_(format),
      timeout_(timeout),
      deferral_timer_(runtime->timers) {}

void InventoryFetch::Start(Done done) {
  Cancel();
  done_ = std::move(done);
  collected_.Clear();
  calls_ = 0;
  requested_at_ = runtime_->clock->Now();
  RequestPage("");
}

void InventoryFetch::Cancel() {
  call_.reset();
  deferral_timer_.Cancel();
}

void InventoryFetch::RequestPage(const std::string& page) {
  ++calls_;
  response_ = http::Response();
  http::CallOptions options;
  options.connect_timeout = timeout_;
  options.head_timeout = timeout_;
  options.body_idle_timeout = timeout_;
  options.max_body_bytes = kMaxBodyBytes;
  http::CallObserver observer;
  observer.on_head = [this](const http::Response& head) { response_ = head; };
  observer.on_chunk = [this](const std::string& chunk) { response_.body.append(chunk); };
  observer.on_end = [this] { OnPage(); };
  observer.on_error = [this](const http::CallError& error) {
    Fail(absl::UnavailableError(error.status.message()));
  };
  call_ = runtime_->http_client->Start(endpoint_, format_->PageRequest(page), options,
                                       std::move(observer));
}

void InventoryFetch::OnPage() {
  if (response_.status == kStatusTooManyRequests) {
    return Finish(absl::ResourceExhaustedError("the platform rate-limited the inventory read"),
                  format_->RetryAfter(response_));
  }
  if (response_.status != kStatusOk) {
    return Fail(absl::UnavailableError("the platform's inventory responded with an error"));
  }
  absl::StatusOr<InventoryPage> page = format_->ParsePage(response_.body);
  if (!page.ok()) return Fail(page.status());
  for (Backend& backend : *page->inventory.mutable_backends()) {
    *collected_.add_backends() = std::move(backend);
  }
  if (page->next_page.empty() || calls_ >= kMaxCalls) {
    SortBackends(&collected_);
    return Finish(std::move(collected_), runtime::Duration::zero());
  }
  deferral_timer_.Start(runtime::Duration::zero(),
                        [this, next_page = std::move(page->next_page)] { RequestPage(next_page); });
}

void InventoryFetch::Finish(absl::StatusOr<Inventory> inventory, runtime::Duration retry_after) {
  const Done done = std::exchange(done_, nullptr);
  // The call must outlive its own callback, which may be running now.
  deferral_timer_.Start(runtime::Duration::zero(), [this] { call_.reset(); });
  if (done) done({std::move(inventory), retry_after, requested_at_, calls_});
}

}  // namespace posthatch::control
