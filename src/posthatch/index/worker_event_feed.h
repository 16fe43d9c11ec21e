#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "posthatch/index/kv_event_format.h"
#include "posthatch/index/kv_events.h"
#include "posthatch/index/missing_events.h"
#include "posthatch/invalidation/object_trust.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::index {

// How events of a worker were lost.
enum class EventLoss {
  kLostMark,      // the worker reports a loss
  kGap,           // sequence numbers are missing
  kUnresponsive,  // the worker has not responded for too long
};
// Name of the loss in observations and in the log.
const char* LossReason(EventLoss loss);

// Interface by which a feed queries its owner and reports to it. Event loop thread only.
class WorkerEventFeedOwner {
 public:
  virtual ~WorkerEventFeedOwner() = default;
  // Whether this gateway still holds the worker's lease; checked before each poll and before each
  // response is used.
  virtual bool MayRead(const std::string& worker_id) const = 0;
  // The worker's cache has begun a new epoch (also the first one seen).
  virtual void OnEpoch(const std::string& worker_id, uint64_t epoch) = 0;
  // Events of `epoch` are lost, or the worker can't be read.
  virtual void OnLost(const std::string& worker_id, uint64_t epoch, EventLoss loss) = 0;
  // `version` is the newest version of the worker's object known when the poll was sent.
  virtual void OnEvent(const std::string& worker_id, const invalidation::ObjectVersion& version,
                       KvEvent event) = 0;
};

// Long-polls one worker's events, orders them by `seq`, and detects missing ones: the change
// detection that WCIP 4.2 leaves to the origin. After a loss it requests a list of all that the
// worker has cached, where the worker offers one, which restores the entries without new prefills.
// Owned by WorkerEventReader; event loop thread only.
class WorkerEventFeed {
 public:
  struct Options {
    runtime::Duration wait = std::chrono::seconds(2);
    // How long a missing `seq` may still arrive before it counts as lost.
    runtime::Duration reorder_window = std::chrono::milliseconds(500);
    // Without a response for this long, the worker's entries lose their trust.
    runtime::Duration response_timeout = std::chrono::seconds(6);
    runtime::Duration retry_delay = std::chrono::milliseconds(250);
    size_t max_body_bytes = size_t{8} * 1024 * 1024;
    const KvEventFormat* format = NativeKvEventFormat();
    // Fraction of a worker's events that may be missing before its entries lose their trust: where
    // events get lost one by one, a missing one leaves a single entry wrong, which costs less than
    // dropping all. A loss that the worker itself reports always counts.
    double tolerated_missing_share = 0;
  };

  // `runtime`, `trust` and `owner` must outlive the feed.
  WorkerEventFeed(runtime::Runtime* runtime, Options options, std::string worker_id,
                  std::string endpoint, const invalidation::ObjectTrust* trust,
                  WorkerEventFeedOwner* owner);
  WorkerEventFeed(const WorkerEventFeed&) = delete;
  WorkerEventFeed& operator=(const WorkerEventFeed&) = delete;

  void Start();
  const std::string& endpoint() const { return endpoint_; }
  uint64_t epoch() const { return epoch_; }
  uint64_t events_read() const { return events_read_; }

 private:
  void Poll();
  void SendRequest(http::Request request, runtime::Duration wait);
  // Whether to request a list of the worker's cache now: events were lost, and the version that
  // follows the loss is known here, so that what is read from now on is trusted. At most once per
  // kListInterval.
  bool RelistIsDue() const;
  void ApplyList();
  void OnEnd();
  void OnFailure();
  void ApplyBatch(KvEventBatch batch);
  void ApplyEvent(KvEvent event);
  // Records that the sequence numbers `first` to `last` have not arrived.
  void RecordMissing(uint64_t first, uint64_t last);
  // Reports a loss if too many events never arrived; starts the timer for the next missing number.
  void CheckMissing();
  void CheckTimeout();
  void ReportLoss(EventLoss loss);

  runtime::Runtime* const runtime_;
  const Options options_;
  const std::string worker_id_;
  const std::string endpoint_;
  const invalidation::ObjectTrust* const trust_;
  WorkerEventFeedOwner* const owner_;

  uint64_t epoch_ = 0;
  uint64_t last_seq_read_ = 0;  // `after` of the next poll
  uint64_t events_read_ = 0;
  MissingEvents missing_;
  invalidation::ObjectVersion version_at_request_;
  std::unique_ptr<http::Call> call_;
  int status_ = 0;
  std::string body_;
  runtime::MonotonicTime last_response_at_;
  bool timeout_reported_ = false;
  // Set after a loss: a list is due once the version is newer than `sequence_at_loss_`.
  bool relist_needed_ = false;
  uint64_t sequence_at_loss_ = 0;
  runtime::MonotonicTime last_listed_at_;
  bool list_in_flight_ = false;               // whether the call in flight requests a list
  std::optional<EventLoss> unreported_loss_;  // detected while the lease was not held
  runtime::Timer poll_timer_;
  runtime::Timer missing_timer_;
};

}  // namespace posthatch::index
