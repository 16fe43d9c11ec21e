#include "posthatch/control/inventory_reader.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "posthatch/control/inventory_state.h"
#include "posthatch/util/string_view.h"

namespace posthatch::control {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusTooManyRequests = 429;
constexpr size_t kMaxBodyBytes = size_t{64} * 1024 * 1024;

std::string Text(const boost::json::object& object, std::string_view key) {
  const boost::json::value* value = object.if_contains(key);
  const boost::json::string* text = value == nullptr ? nullptr : value->if_string();
  return text == nullptr ? std::string() : std::string(text->data(), text->size());
}

BackendKind KindOf(const std::string& name) {
  if (name == "worker") return BACKEND_KIND_WORKER;
  if (name == "store") return BACKEND_KIND_STORE;
  if (name == "service") return BACKEND_KIND_SERVICE;
  return BACKEND_KIND_UNSPECIFIED;
}

absl::Status ReadBackend(const boost::json::value& value, Backend* backend) {
  const boost::json::object* object = value.if_object();
  if (object == nullptr) return absl::InvalidArgumentError("a backend is not an object");
  backend->set_id(Text(*object, "id"));
  backend->set_kind(KindOf(Text(*object, "kind")));
  backend->set_endpoint(Text(*object, "endpoint"));
  backend->set_zone(Text(*object, "zone"));
  backend->set_model(Text(*object, "model"));
  backend->set_service(Text(*object, "service"));
  const boost::json::value* draining = object->if_contains("draining");
  backend->set_draining(draining != nullptr && draining->is_bool() && draining->get_bool());
  const boost::json::value* labels = object->if_contains("labels");
  if (labels != nullptr && labels->is_object()) {
    for (const auto& label : labels->get_object()) {
      (*backend->mutable_labels())[std::string(label.key())] =
          Text(labels->get_object(), std::string_view(label.key().data(), label.key().size()));
    }
  }
  if (backend->id().empty() || backend->endpoint().empty() ||
      backend->kind() == BACKEND_KIND_UNSPECIFIED) {
    return absl::InvalidArgumentError("a backend without id, endpoint or known kind");
  }
  return absl::OkStatus();
}

}  // namespace

absl::StatusOr<Inventory> ParseInventory(const std::string& json) {
  boost::json::error_code error;
  const boost::json::value document = boost::json::parse(json, error);
  if (error || !document.is_object()) {
    return absl::InvalidArgumentError("the inventory is not a JSON object");
  }
  const boost::json::value* backends = document.get_object().if_contains("backends");
  if (backends == nullptr || !backends->is_array()) {
    return absl::InvalidArgumentError("the inventory has no list of backends");
  }
  Inventory inventory;
  for (const boost::json::value& value : backends->get_array()) {
    absl::Status status = ReadBackend(value, inventory.add_backends());
    if (!status.ok()) return status;
  }
  SortBackends(&inventory);
  return inventory;
}

InventoryReader::InventoryReader(runtime::Runtime* runtime, InventoryReaderOptions options,
                                 ReadingDone done)
    : runtime_(runtime),
      options_(std::move(options)),
      done_(std::move(done)),
      timer_(runtime->timers) {}

void InventoryReader::Start() {
  if (running_ || options_.endpoint.empty()) return;
  running_ = true;
  PollAfter(runtime::Duration::zero());
}

void InventoryReader::Stop() {
  running_ = false;
  call_.reset();
  timer_.Cancel();
}

void InventoryReader::PollAfter(runtime::Duration delay) {
  timer_.Start(delay, [this] { Poll(); });
}

void InventoryReader::Poll() {
  asked_at_ = runtime_->clock->Now();
  status_ = 0;
  pause_ = runtime::Duration::zero();
  body_.clear();
  http::Request request;
  request.method = "GET";
  request.target = "/v1/inventory";
  http::CallOptions call_options;
  call_options.head_timeout = options_.timeout;
  call_options.piece_timeout = options_.timeout;
  call_options.max_body_bytes = kMaxBodyBytes;
  http::CallObserver observer;
  observer.on_head = [this](const http::Response& head) {
    status_ = head.status;
    int64_t pause_ms = 0;
    if (absl::SimpleAtoi(util::ToAbsl(head.headers.Get("Retry-After-Ms")), &pause_ms)) {
      pause_ = std::clamp<runtime::Duration>(std::chrono::milliseconds(pause_ms),
                                             runtime::Duration::zero(), options_.max_pause);
    }
  };
  observer.on_piece = [this](const std::string& piece) { body_ += piece; };
  observer.on_end = [this] { OnEnd(); };
  observer.on_error = [this](const http::CallError&) { PollAfter(options_.poll_interval); };
  call_ = runtime_->http_client->Start(options_.endpoint, std::move(request), call_options,
                                       std::move(observer));
}

void InventoryReader::OnEnd() {
  PollAfter(status_ == kStatusTooManyRequests ? std::max(pause_, options_.poll_interval)
                                              : options_.poll_interval);
  if (status_ != kStatusOk) return;
  absl::StatusOr<Inventory> inventory = ParseInventory(body_);
  if (inventory.ok()) {
    done_(*std::move(inventory), asked_at_);
    return;
  }
  runtime_->trace->Event(runtime::Severity::kWarning, "InventoryUnreadable",
                         {{"error", absl::StrCat(inventory.status().message())}});
}

}  // namespace posthatch::control
