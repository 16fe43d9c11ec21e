#include "posthatch/index/worker_event_feed.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "posthatch/index/trusted_prefix_locator.h"

namespace posthatch::index {
namespace {

// Wait of a poll while the newest version known here is not of the worker's epoch: its events can't
// be used yet, so the worker must not delay its response for long.
constexpr runtime::Duration kWaitWithoutVersion = std::chrono::milliseconds(100);
// Time-out of a response beyond the wait by which the worker may delay it.
constexpr runtime::Duration kResponseMargin = std::chrono::milliseconds(1500);
constexpr int kStatusOk = 200;
// Minimum interval between lists, since a list delays the worker's other work.
constexpr runtime::Duration kListInterval = std::chrono::seconds(2);

}  // namespace

const char* LossReason(EventLoss loss) {
  switch (loss) {
    case EventLoss::kLostMark:
      return "lost mark";
    case EventLoss::kGap:
      return "gap";
    case EventLoss::kUnresponsive:
      return "silent";
  }
  return "unknown";
}

WorkerEventFeed::WorkerEventFeed(runtime::Runtime* runtime, Options options, std::string worker_id,
                                 std::string endpoint, const invalidation::ObjectTrust* trust,
                                 WorkerEventFeedOwner* owner)
    : runtime_(runtime),
      options_(options),
      worker_id_(std::move(worker_id)),
      endpoint_(std::move(endpoint)),
      trust_(trust),
      owner_(owner),
      missing_(options.reorder_window, options.tolerated_missing_share),
      poll_timer_(runtime->timers),
      missing_timer_(runtime->timers) {}

void WorkerEventFeed::Start() {
  last_response_at_ = runtime_->clock->Now();
  Poll();
}

void WorkerEventFeed::Poll() {
  CheckTimeout();
  if (!owner_->MayRead(worker_id_)) {
    poll_timer_.Start(options_.retry_delay, [this] { Poll(); });
    return;
  }
  if (unreported_loss_.has_value()) ReportLoss(*unreported_loss_);
  version_at_request_.Clear();
  const bool version_known =
      trust_->CurrentVersion(HolderObject(HolderKind::kWorker, worker_id_), &version_at_request_);
  const bool usable = version_known && version_at_request_.epoch() == epoch_;
  list_in_flight_ = usable && RelistIsDue();
  if (list_in_flight_)
    return SendRequest(*options_.format->ListRequest(), runtime::Duration::zero());
  const bool poll_soon = !usable || relist_needed_;
  const runtime::Duration wait =
      poll_soon ? std::min(options_.wait, kWaitWithoutVersion) : options_.wait;
  SendRequest(options_.format->PollRequest(epoch_, last_seq_read_, wait), wait);
}

bool WorkerEventFeed::RelistIsDue() const {
  return relist_needed_ && version_at_request_.sequence() > sequence_at_loss_ &&
         runtime_->clock->Now() - last_listed_at_ >= kListInterval;
}

void WorkerEventFeed::SendRequest(http::Request request, runtime::Duration wait) {
  http::CallOptions call_options;
  call_options.head_timeout = wait + kResponseMargin;
  call_options.body_idle_timeout = kResponseMargin;
  call_options.max_body_bytes = options_.max_body_bytes;
  status_ = 0;
  body_.clear();
  http::CallObserver observer;
  observer.on_head = [this](const http::Response& head) { status_ = head.status; };
  observer.on_chunk = [this](const std::string& chunk) { body_ += chunk; };
  observer.on_end = [this] { OnEnd(); };
  observer.on_error = [this](const http::CallError&) { OnFailure(); };
  call_ = runtime_->http_client->Start(endpoint_, std::move(request), call_options,
                                       std::move(observer));
}

void WorkerEventFeed::OnFailure() {
  CheckTimeout();
  poll_timer_.Start(options_.retry_delay, [this] { Poll(); });
}

void WorkerEventFeed::OnEnd() {
  // After a freeze of this process another gateway may hold the lease: then the response is not
  // used.
  if (!owner_->MayRead(worker_id_) || status_ != kStatusOk) {
    OnFailure();
    return;
  }
  if (list_in_flight_) return ApplyList();
  absl::StatusOr<KvEventBatch> batch = options_.format->ReadBatch(body_);
  if (!batch.ok()) {
    runtime_->trace->Event(runtime::Severity::kWarning, "KvEventsMalformed",
                           {{"worker", worker_id_}});
    OnFailure();
    return;
  }
  last_response_at_ = runtime_->clock->Now();
  timeout_reported_ = false;
  ApplyBatch(*std::move(batch));
  // Deferred to a later turn of the event loop: a call must not be destroyed in its callback.
  poll_timer_.Start(runtime::Duration::zero(), [this] { Poll(); });
}

void WorkerEventFeed::ApplyList() {
  relist_needed_ = false;
  last_listed_at_ = runtime_->clock->Now();
  absl::StatusOr<KvEventBatch> list = options_.format->ReadList(body_);
  if (!list.ok()) {
    runtime_->trace->Event(runtime::Severity::kWarning, "KvListMalformed",
                           {{"worker", worker_id_}});
  } else if (list->epoch == epoch_) {
    last_response_at_ = last_listed_at_;
    for (KvEvent& event : list->events)
      owner_->OnEvent(worker_id_, version_at_request_, std::move(event));
    last_seq_read_ = std::max(last_seq_read_, list->next);
    missing_.RemoveUpTo(list->next);
  }
  poll_timer_.Start(runtime::Duration::zero(), [this] { Poll(); });
}

void WorkerEventFeed::ApplyBatch(KvEventBatch batch) {
  if (batch.epoch != epoch_) {
    epoch_ = batch.epoch;
    last_seq_read_ = 0;
    missing_.Clear();
    relist_needed_ = false;
    owner_->OnEpoch(worker_id_, epoch_);
  }
  std::stable_sort(batch.events.begin(), batch.events.end(),
                   [](const KvEvent& left, const KvEvent& right) { return left.seq < right.seq; });
  for (KvEvent& event : batch.events) ApplyEvent(std::move(event));
  if (batch.next > last_seq_read_) {
    RecordMissing(last_seq_read_ + 1, batch.next);
    last_seq_read_ = batch.next;
  }
  CheckMissing();
}

void WorkerEventFeed::ApplyEvent(KvEvent event) {
  ++events_read_;
  missing_.CountEvent();
  const uint64_t seq = event.seq;
  if (event.type == KvEvent::Type::kLost) {
    // This one loss accounts for all events up to `seq`.
    last_seq_read_ = std::max(last_seq_read_, seq);
    missing_.RemoveUpTo(seq);
    ReportLoss(EventLoss::kLostMark);
    return;
  }
  if (seq > last_seq_read_) {
    if (seq > last_seq_read_ + 1) RecordMissing(last_seq_read_ + 1, seq - 1);
    last_seq_read_ = seq;
    owner_->OnEvent(worker_id_, version_at_request_, std::move(event));
    return;
  }
  if (!missing_.Remove(seq)) return;  // a duplicate
  // An event out of order: the blocks it stored may have been removed by an event that was read
  // before, so only removals are applied.
  if (event.type == KvEvent::Type::kRemoved)
    owner_->OnEvent(worker_id_, version_at_request_, std::move(event));
}

void WorkerEventFeed::RecordMissing(uint64_t first, uint64_t last) {
  if (!missing_.Add(first, last, runtime_->clock->Now())) ReportLoss(EventLoss::kGap);
}

void WorkerEventFeed::CheckMissing() {
  const runtime::MonotonicTime now = runtime_->clock->Now();
  if (missing_.Expire(now)) ReportLoss(EventLoss::kGap);
  const std::optional<runtime::MonotonicTime> next = missing_.next_expiry();
  if (next.has_value()) missing_timer_.Start(*next - now, [this] { CheckMissing(); });
}

void WorkerEventFeed::CheckTimeout() {
  if (timeout_reported_ || epoch_ == 0) return;
  if (runtime_->clock->Now() - last_response_at_ <= options_.response_timeout) return;
  timeout_reported_ = true;
  ReportLoss(EventLoss::kUnresponsive);
}

void WorkerEventFeed::ReportLoss(EventLoss loss) {
  // Only the lease holder may report it: after a freeze of this process another gateway may read
  // the worker. If the lease returns to this feed, the loss is reported then.
  if (owner_->MayRead(worker_id_)) {
    unreported_loss_.reset();
    relist_needed_ = options_.format->ListRequest().has_value();
    sequence_at_loss_ = version_at_request_.sequence();
    owner_->OnLost(worker_id_, epoch_, loss);
  } else {
    unreported_loss_ = loss;
  }
}

}  // namespace posthatch::index
