#include "posthatch/gateway/inventory_fallback.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <utility>

namespace posthatch::gateway {
namespace {

constexpr runtime::Duration kCheckInterval = std::chrono::milliseconds(100);
constexpr runtime::Duration kReadTimeout = std::chrono::milliseconds(500);
// First reads of gateways that notice at once are spread over this.
constexpr runtime::Duration kFirstReadSpread = std::chrono::milliseconds(400);
constexpr runtime::Duration kDefaultRetryAfter = std::chrono::milliseconds(250);
constexpr size_t kMaxListBytes = size_t{16} * 1024 * 1024;

std::string Text(const boost::json::object& object, std::string_view name) {
  const boost::json::value* field = object.if_contains(name);
  if (field == nullptr || !field->is_string()) return {};
  return std::string(field->get_string().data(), field->get_string().size());
}

control::BackendKind KindOf(const std::string& name) {
  if (name == "worker") return control::BACKEND_KIND_WORKER;
  if (name == "store") return control::BACKEND_KIND_STORE;
  if (name == "service") return control::BACKEND_KIND_SERVICE;
  return control::BACKEND_KIND_UNSPECIFIED;
}

control::Backend ParseBackend(const boost::json::object& line) {
  control::Backend backend;
  backend.set_id(Text(line, "id"));
  backend.set_kind(KindOf(Text(line, "kind")));
  backend.set_endpoint(Text(line, "endpoint"));
  backend.set_zone(Text(line, "zone"));
  backend.set_model(Text(line, "model"));
  backend.set_service(Text(line, "service"));
  const boost::json::value* draining = line.if_contains("draining");
  backend.set_draining(draining != nullptr && draining->is_bool() && draining->get_bool());
  const boost::json::value* labels = line.if_contains("labels");
  if (labels != nullptr && labels->is_object()) {
    for (const auto& label : labels->get_object()) {
      if (label.value().is_string()) {
        (*backend.mutable_labels())[std::string(label.key())] =
            std::string(label.value().get_string().data(), label.value().get_string().size());
      }
    }
  }
  return backend;
}

}  // namespace

absl::StatusOr<control::Inventory> ParsePlatformInventory(const std::string& body) {
  boost::json::error_code error;
  const boost::json::value parsed = boost::json::parse(body, error);
  if (error || !parsed.is_object()) return absl::InvalidArgumentError("not a JSON object");
  const boost::json::value* backends = parsed.get_object().if_contains("backends");
  if (backends == nullptr || !backends->is_array()) {
    return absl::InvalidArgumentError("no list of back ends");
  }
  control::Inventory inventory;
  for (const boost::json::value& line : backends->get_array()) {
    if (!line.is_object()) return absl::InvalidArgumentError("a back end is not an object");
    control::Backend backend = ParseBackend(line.get_object());
    const bool whole = !backend.id().empty() && !backend.endpoint().empty() &&
                       backend.kind() != control::BACKEND_KIND_UNSPECIFIED;
    if (!whole) return absl::InvalidArgumentError("a back end lacks id, kind or endpoint");
    *inventory.add_backends() = std::move(backend);
  }
  return inventory;
}

InventoryFallback::InventoryFallback(runtime::Runtime* runtime, const GatewayOptions* options,
                                     const control::FleetView* view, GatewayMetrics* metrics,
                                     std::function<void()> on_change)
    : runtime_(runtime),
      options_(options),
      view_(view),
      metrics_(metrics),
      on_change_(std::move(on_change)),
      timer_(runtime->timers) {}

void InventoryFallback::Start() {
  if (!options_->inventory_endpoint.empty()) Check();
}

runtime::Duration InventoryFallback::Age() const {
  runtime::Duration age = view_->InventoryAge();
  if (own_.has_value()) age = std::min(age, runtime_->clock->Now() - own_asked_at_);
  return age;
}

bool InventoryFallback::MayDecide() const {
  if (options_->inventory_endpoint.empty()) return true;
  const runtime::Duration age = Age();
  if (age <= kOldestAge) return true;
  const runtime::Duration since_failure = runtime_->clock->Now() - unreachable_at_;
  return was_unreachable_ && since_failure <= std::max(kOldestAge, 2 * ReadInterval());
}

runtime::Duration InventoryFallback::ReadInterval() const {
  const double seconds =
      options_->LiveGateways() / std::max(0.01, options_->inventory_reads_per_second);
  return std::chrono::duration_cast<runtime::Duration>(std::chrono::duration<double>(seconds));
}

void InventoryFallback::Check() {
  timer_.Start(kCheckInterval, [this] { Check(); });
  const runtime::MonotonicTime now = runtime_->clock->Now();
  const runtime::Duration leader_age = view_->InventoryAge();
  if (own_.has_value() && leader_age < now - own_asked_at_) {
    own_.reset();
    on_change_();
  }
  if (leader_age < kStaleAge) {
    next_read_ = runtime::MonotonicTime();
    return;
  }
  if (call_ != nullptr && now - asked_at_ < 2 * kReadTimeout) return;
  if (next_read_ == runtime::MonotonicTime()) {
    next_read_ = now + runtime_->random->Between(runtime::Duration::zero(), kFirstReadSpread);
  }
  if (now >= next_read_) Read();
}

void InventoryFallback::Read() {
  asked_at_ = runtime_->clock->Now();
  next_read_ = asked_at_ + ReadInterval();
  answer_ = http::Response();
  http::Request request;
  request.method = "GET";
  request.target = "/v1/inventory";
  http::CallOptions call_options;
  call_options.head_timeout = kReadTimeout;
  call_options.piece_timeout = kReadTimeout;
  call_options.max_body_bytes = kMaxListBytes;
  http::CallObserver observer;
  observer.on_head = [this](const http::Response& head) { answer_ = head; };
  observer.on_piece = [this](const std::string& piece) { answer_.body.append(piece); };
  observer.on_end = [this] { OnAnswer(answer_); };
  observer.on_error = [this](const http::CallError&) { OnUnreachable(); };
  call_ = runtime_->http_client->Start(options_->inventory_endpoint, std::move(request),
                                       call_options, std::move(observer));
}

void InventoryFallback::OnAnswer(const http::Response& answer) {
  if (answer.status == 429) {
    metrics_->inventory_reads.Increment("rate_limited");
    const std::string_view field = answer.headers.Get("Retry-After-Ms");
    int64_t milliseconds = 0;
    std::from_chars(field.data(), field.data() + field.size(), milliseconds);
    const runtime::Duration wait = milliseconds > 0
                                       ? runtime::Duration(std::chrono::milliseconds(milliseconds))
                                       : kDefaultRetryAfter;
    next_read_ = runtime_->clock->Now() + wait +
                 runtime_->random->Between(runtime::Duration::zero(), kCheckInterval);
    return;
  }
  absl::StatusOr<control::Inventory> inventory = ParsePlatformInventory(answer.body);
  if (answer.status != 200 || !inventory.ok()) {
    OnUnreachable();
    return;
  }
  metrics_->inventory_reads.Increment("ok");
  was_unreachable_ = false;
  own_ = *std::move(inventory);
  own_asked_at_ = asked_at_;
  on_change_();
}

void InventoryFallback::OnUnreachable() {
  metrics_->inventory_reads.Increment("failed");
  was_unreachable_ = true;
  unreachable_at_ = runtime_->clock->Now();
}

}  // namespace posthatch::gateway
