#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include "posthatch/simulation/event_queue.h"
#include "posthatch/simulation/processor_model.h"

namespace posthatch::simulation {

// How a simulated process ends.
enum class ProcessEnd {
  kCrash,      // the operating system keeps running
  kPowerLoss,  // the whole machine is off
};

// Runs the callbacks of one host's process; defers them while the host is frozen, and, with a
// processor model, in order of arrival while its processor is busy with earlier ones. Each start of
// the process has a new process id; callbacks scheduled for an earlier process are dropped. Owned
// by the host; lives as long as the world.
class HostExecutor {
 public:
  enum class CallbackType {
    kTimer,     // timer: runs late if due during a freeze
    kNetwork,   // stream, HTTP or disk event: buffered by the kernel during a freeze
    kDatagram,  // datagram: buffered during a freeze, dropped beyond kMaxDeferredDatagrams
  };

  HostExecutor(EventQueue* queue, uint32_t number, std::string name)
      : queue_(queue), number_(number), name_(std::move(name)) {}

  // Index of the host in its world.
  uint32_t number() const { return number_; }
  const std::string& name() const { return name_; }
  // Id of the running process, unique in the world; 0 if none is running.
  uint64_t process_id() const { return process_id_; }
  bool running() const { return process_id_ != 0; }
  bool frozen() const { return frozen_; }
  // False after a power loss until the next start: not even the kernel responds.
  bool powered() const { return powered_; }
  // Whether a callback of this process is on the stack.
  bool executing() const { return executing_ > 0; }

  // Runs `callback` if `process_id` is the running process: immediately, or after Thaw when frozen.
  void Run(uint64_t process_id, CallbackType type, Callback callback);

  void StartProcess(uint64_t process_id);
  void EndProcess(ProcessEnd end);
  // Null: callbacks need no processor time. What a callback sends leaves at the callback's start.
  void SetProcessor(ProcessorModel* processor) { processor_ = processor; }
  void Freeze() { frozen_ = running(); }
  // `timers_first`: deferred timers run before deferred network events.
  void Thaw(bool timers_first);

 private:
  static constexpr size_t kMaxDeferredDatagrams = 64;
  struct Deferred {
    uint64_t process_id;
    CallbackType type;
    Callback callback;
  };
  void RunDeferred(bool timers_first);
  void Execute(Callback* callback);
  bool Busy() const { return !backlog_.empty() || queue_->now() < busy_until_; }
  void AddToBacklog(Deferred deferred);
  void ScheduleBacklog();
  void RunBacklog();

  EventQueue* const queue_;
  const uint32_t number_;
  const std::string name_;
  uint64_t process_id_ = 0;
  bool frozen_ = false;
  bool powered_ = true;
  int executing_ = 0;
  size_t deferred_datagrams_ = 0;
  ProcessorModel* processor_ = nullptr;
  runtime::MonotonicTime busy_until_{};
  std::deque<Deferred> backlog_;  // waits for the processor, in order of arrival
  size_t backlog_datagrams_ = 0;
  bool backlog_scheduled_ = false;
  std::deque<Deferred> deferred_timers_;
  std::deque<Deferred> deferred_network_;
};

}  // namespace posthatch::simulation
