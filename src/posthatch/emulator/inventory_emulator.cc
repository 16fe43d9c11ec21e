#include "posthatch/emulator/inventory_emulator.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <utility>

#include "absl/strings/str_cat.h"
#include "posthatch/emulator/json_body.h"
#include "posthatch/emulator/routed_server.h"
#include "posthatch/util/string_view.h"

namespace posthatch::emulator {

namespace json = boost::json;

using WriterPointer = std::shared_ptr<http::ResponseWriter>;

namespace {

json::object ToJson(const InventoryBackend& backend) {
  json::object labels;
  for (const auto& [key, value] : backend.labels) labels[key] = value;
  return {{"id", backend.id},
          {"kind", backend.kind},
          {"endpoint", backend.endpoint},
          {"zone", backend.zone},
          {"model", backend.model},
          {"service", backend.service},
          {"labels", std::move(labels)},
          {"draining", backend.draining}};
}

InventoryBackend FromJson(const json::object& fields) {
  InventoryBackend backend;
  backend.id = TextField(fields, "id");
  backend.kind = TextField(fields, "kind");
  backend.endpoint = TextField(fields, "endpoint");
  backend.zone = TextField(fields, "zone");
  backend.model = TextField(fields, "model");
  backend.service = TextField(fields, "service");
  backend.draining = FlagField(fields, "draining");
  if (const json::object* labels = ObjectField(fields, "labels")) {
    for (const auto& entry : *labels) {
      const std::string key(entry.key().data(), entry.key().size());
      backend.labels[key] = TextField(*labels, key);
    }
  }
  return backend;
}

}  // namespace

class InventoryEmulator::Impl {
 public:
  Impl(runtime::Runtime* runtime, InventorySettings settings, fleettest::HistoryRecorder* recorder)
      : runtime_(runtime),
        settings_(std::move(settings)),
        recorder_(recorder),
        lateness_(settings_.lateness),
        reads_per_second_(settings_.reads_per_second),
        newest_(settings_.backends),
        publish_timer_(runtime->timers),
        server_(runtime) {}

  absl::Status Start();
  const std::string& endpoint() const { return server_.endpoint(); }
  void SetBackends(std::vector<InventoryBackend> backends);
  absl::Status SetDraining(const std::string& id, bool draining);
  void SetLateness(runtime::Duration lateness) { lateness_ = lateness; }

 private:
  struct Pending {
    runtime::MonotonicTime visible_at;
    std::vector<InventoryBackend> backends;
  };

  void HandleRead(const WriterPointer& writer);
  void HandleSetBackends(const RoutedRequest& routed, const WriterPointer& writer);
  void HandleSetDraining(const RoutedRequest& routed, const WriterPointer& writer);
  void HandleSetBehaviour(const RoutedRequest& routed, const WriterPointer& writer);
  void QueueNewest();
  void PublishDue();
  void Publish(std::vector<InventoryBackend> backends);
  void RecordDraining(const std::string& id, bool draining);

  runtime::Runtime* const runtime_;
  const InventorySettings settings_;
  fleettest::HistoryRecorder* const recorder_;
  runtime::Duration lateness_;
  double reads_per_second_;
  double read_tokens_ = 0;
  runtime::MonotonicTime last_refill_at_;
  std::vector<InventoryBackend> newest_;
  std::deque<Pending> pending_;
  runtime::Timer publish_timer_;
  uint64_t version_ = 0;
  std::vector<InventoryBackend> visible_;
  RoutedServer server_;
};

absl::Status InventoryEmulator::Impl::Start() {
  last_refill_at_ = runtime_->clock->Now();
  read_tokens_ = std::max(1.0, reads_per_second_);
  server_.Route("GET", "/v1/inventory",
                [this](const RoutedRequest&, const WriterPointer& writer) { HandleRead(writer); });
  server_.Route("PUT", "/debug/backends",
                [this](const RoutedRequest& routed, const WriterPointer& writer) {
                  HandleSetBackends(routed, writer);
                });
  server_.Route("PUT", "/debug/draining",
                [this](const RoutedRequest& routed, const WriterPointer& writer) {
                  HandleSetDraining(routed, writer);
                });
  server_.Route("PUT", "/debug/behaviour",
                [this](const RoutedRequest& routed, const WriterPointer& writer) {
                  HandleSetBehaviour(routed, writer);
                });
  Publish(newest_);
  return server_.Listen(settings_.listen);
}

// Rate limited by a token bucket that holds the tokens of one second.
void InventoryEmulator::Impl::HandleRead(const WriterPointer& writer) {
  PublishDue();
  const runtime::MonotonicTime now = runtime_->clock->Now();
  const double seconds = std::chrono::duration<double>(now - last_refill_at_).count();
  read_tokens_ =
      std::min(std::max(1.0, reads_per_second_), read_tokens_ + seconds * reads_per_second_);
  last_refill_at_ = now;
  if (read_tokens_ < 1) {
    const double wait_ms = (1 - read_tokens_) / std::max(reads_per_second_, 0.001) * 1000;
    http::Response response = NotExecuted(429, "rate_limited", "the list is read too often");
    response.headers.Add("Retry-After-Ms",
                         std::to_string(static_cast<uint64_t>(std::ceil(wait_ms))));
    writer->SendResponse(std::move(response));
    return;
  }
  read_tokens_ -= 1;
  json::array backends;
  for (const InventoryBackend& backend : visible_) backends.push_back(ToJson(backend));
  writer->SendResponse(
      JsonResponse(200, json::object{{"version", version_}, {"backends", std::move(backends)}}));
}

void InventoryEmulator::Impl::HandleSetBackends(const RoutedRequest& routed,
                                                const WriterPointer& writer) {
  const absl::StatusOr<json::object> body = ParseObject(routed.request.body);
  const json::array* list = body.ok() ? ArrayField(*body, "backends") : nullptr;
  if (list == nullptr) {
    writer->SendResponse(NotExecuted(400, "bad_request", "needs backends"));
    return;
  }
  std::vector<InventoryBackend> backends;
  for (const json::value& entry : *list) {
    if (const json::object* fields = entry.if_object()) backends.push_back(FromJson(*fields));
  }
  SetBackends(std::move(backends));
  writer->SendResponse(JsonResponse(200, json::object{{"backends", newest_.size()}}));
}

void InventoryEmulator::Impl::HandleSetDraining(const RoutedRequest& routed,
                                                const WriterPointer& writer) {
  const absl::StatusOr<json::object> body = ParseObject(routed.request.body);
  const absl::Status set =
      body.ok() ? SetDraining(TextField(*body, "id"), FlagField(*body, "draining")) : body.status();
  if (set.ok()) {
    writer->SendResponse(JsonResponse(200, json::object{{"ok", true}}));
  } else {
    writer->SendResponse(NotExecuted(400, "bad_request", util::ToStd(set.message())));
  }
}

void InventoryEmulator::Impl::HandleSetBehaviour(const RoutedRequest& routed,
                                                 const WriterPointer& writer) {
  const absl::StatusOr<json::object> body = ParseObject(routed.request.body);
  if (!body.ok()) {
    writer->SendResponse(NotExecuted(400, "bad_request", util::ToStd(body.status().message())));
    return;
  }
  const auto old_ms = std::chrono::duration_cast<std::chrono::milliseconds>(lateness_).count();
  lateness_ =
      std::chrono::milliseconds(NumberField(*body, "lateness_ms", static_cast<uint64_t>(old_ms)));
  if (body->contains("reads_per_second")) {
    reads_per_second_ = static_cast<double>(NumberField(*body, "reads_per_second", 10));
  }
  writer->SendResponse(JsonResponse(200, json::object{{"ok", true}}));
}

void InventoryEmulator::Impl::SetBackends(std::vector<InventoryBackend> backends) {
  newest_ = std::move(backends);
  QueueNewest();
}

absl::Status InventoryEmulator::Impl::SetDraining(const std::string& id, bool draining) {
  const auto entry =
      std::find_if(newest_.begin(), newest_.end(),
                   [&id](const InventoryBackend& backend) { return backend.id == id; });
  if (entry == newest_.end()) return absl::NotFoundError(absl::StrCat("no back end ", id));
  entry->draining = draining;
  QueueNewest();
  return absl::OkStatus();
}

void InventoryEmulator::Impl::QueueNewest() {
  const runtime::Duration delay = runtime_->random->Between(lateness_ / 2, lateness_);
  runtime::MonotonicTime visible_at = runtime_->clock->Now() + delay;
  if (!pending_.empty()) visible_at = std::max(visible_at, pending_.back().visible_at);
  pending_.push_back({visible_at, newest_});
  PublishDue();
}

void InventoryEmulator::Impl::PublishDue() {
  const runtime::MonotonicTime now = runtime_->clock->Now();
  while (!pending_.empty() && pending_.front().visible_at <= now) {
    Publish(std::move(pending_.front().backends));
    pending_.pop_front();
  }
  if (pending_.empty()) return;
  publish_timer_.Start(pending_.front().visible_at - now, [this] { PublishDue(); });
}

void InventoryEmulator::Impl::Publish(std::vector<InventoryBackend> backends) {
  std::map<std::string, bool> before;
  for (const InventoryBackend& backend : visible_) before[backend.id] = backend.draining;
  visible_ = std::move(backends);
  ++version_;
  for (const InventoryBackend& backend : visible_) {
    if (before[backend.id] != backend.draining) RecordDraining(backend.id, backend.draining);
  }
}

void InventoryEmulator::Impl::RecordDraining(const std::string& id, bool draining) {
  fleettest::HistoryEvent event;
  event.mutable_draining_shown()->set_backend(id);
  event.mutable_draining_shown()->set_draining(draining);
  recorder_->Record(std::move(event));
}

InventoryEmulator::InventoryEmulator(runtime::Runtime* runtime, InventorySettings settings,
                                     fleettest::HistoryRecorder* recorder)
    : impl_(std::make_unique<Impl>(runtime, std::move(settings), recorder)) {}

InventoryEmulator::~InventoryEmulator() = default;

absl::Status InventoryEmulator::Start() { return impl_->Start(); }
const std::string& InventoryEmulator::endpoint() const { return impl_->endpoint(); }
void InventoryEmulator::SetBackends(std::vector<InventoryBackend> backends) {
  impl_->SetBackends(std::move(backends));
}
absl::Status InventoryEmulator::SetDraining(const std::string& id, bool draining) {
  return impl_->SetDraining(id, draining);
}
void InventoryEmulator::SetLateness(runtime::Duration lateness) { impl_->SetLateness(lateness); }

}  // namespace posthatch::emulator
