#pragma once

#include <boost/json/array.hpp>
#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "posthatch/emulator/routed_server.h"
#include "posthatch/emulator/worker_settings.h"
#include "posthatch/index/block_hash.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::emulator {

// A worker's KV events in order of `seq`, with the faults of WorkerBehaviour, and the long polls
// that wait for them (GET /kv_events). `next` of a response is the last `seq` it covers; it is sent
// as `after` of the next poll. Event loop thread only.
class KvEventLog {
 public:
  KvEventLog(runtime::Runtime* runtime, uint64_t max_events);

  void Stored(const std::vector<index::BlockHash>& blocks, uint32_t first,
              const std::string& attempt, const WorkerBehaviour& behaviour);
  void Removed(const std::vector<index::BlockHash>& blocks, const WorkerBehaviour& behaviour);
  // A new epoch: drops all events, restarts `seq`, and responds to pending polls.
  void StartEpoch(uint64_t epoch);
  void Poll(const RoutedRequest& request, const std::shared_ptr<http::ResponseWriter>& writer);

 private:
  // Events that become visible with a `seq`: usually one; none if it was lost or is delivered
  // with a later one.
  struct Slot {
    uint64_t seq = 0;
    runtime::MonotonicTime visible_at;
    std::vector<boost::json::object> events;
  };
  struct PendingPoll {
    PendingPoll(runtime::TimerService* timers, uint64_t after_seq,
                std::shared_ptr<http::ResponseWriter> response_writer)
        : after(after_seq), writer(std::move(response_writer)), timeout(timers) {}
    uint64_t after;
    std::shared_ptr<http::ResponseWriter> writer;
    runtime::Timer timeout;
  };

  void Append(boost::json::object event, const WorkerBehaviour& behaviour);
  uint64_t LastVisibleSeq() const;
  void Respond(uint64_t after, http::ResponseWriter* writer) const;
  void RespondToPendingPolls(bool all);
  void ScheduleVisible();

  runtime::Runtime* const runtime_;
  const uint64_t max_events_;
  uint64_t epoch_ = 0;
  uint64_t last_seq_ = 0;
  std::deque<Slot> slots_;
  std::vector<boost::json::object> reordered_events_;  // delivered after the next event
  std::list<PendingPoll> pending_polls_;
  runtime::Timer visible_timer_;
};

}  // namespace posthatch::emulator
