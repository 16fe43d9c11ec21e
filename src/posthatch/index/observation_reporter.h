#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "absl/container/btree_map.h"
#include "posthatch/control/client/control_client.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::index {

// Proposes observations (ObserveObject) to the controllers: one at a time for each object, retried
// with the same request id until it is accepted; later observations are merged into the next
// proposal. Owned by IndexNode; `client` must outlive it. Event loop thread only.
class ObservationReporter {
 public:
  ObservationReporter(runtime::Runtime* runtime, control::ControlClient* client);
  ~ObservationReporter();
  ObservationReporter(const ObservationReporter&) = delete;
  ObservationReporter& operator=(const ObservationReporter&) = delete;

  // Reports the epoch observed at a cache holder. `reason` is free text for operators.
  void ReportEpoch(const std::string& object, uint64_t epoch, const std::string& reason) {
    Report(object, {epoch, /*lost=*/false, reason});
  }
  // Reports that entries made within the cache holder's epoch may be wrong.
  void ReportLoss(const std::string& object, uint64_t epoch, const std::string& reason) {
    Report(object, {epoch, /*lost=*/true, reason});
  }

  uint64_t accepted() const { return accepted_; }
  size_t pending() const { return objects_.size(); }

 private:
  struct Observation {
    uint64_t epoch = 0;
    bool lost = false;
    std::string reason;
  };
  struct State {
    explicit State(runtime::TimerService* timers) : retry_timer(timers) {}
    Observation sent;
    std::string request_id;           // request id of `sent`
    std::optional<Observation> next;  // merged from later observations
    runtime::Timer retry_timer;
  };

  void Report(const std::string& object, Observation observation);
  void Send(const std::string& object);
  void OnProposalResult(const std::string& object, const std::string& request_id, bool accepted);

  runtime::Runtime* const runtime_;
  control::ControlClient* const client_;
  absl::btree_map<std::string, std::unique_ptr<State>> objects_;
  uint64_t last_request_number_ = 0;
  uint64_t accepted_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace posthatch::index
