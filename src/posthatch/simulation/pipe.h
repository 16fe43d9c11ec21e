#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

#include "posthatch/simulation/fifo.h"
#include "posthatch/simulation/world_core.h"

namespace posthatch::simulation {

// One direction of a simulated TCP connection: messages arrive complete, in order and exactly once,
// until the pipe breaks. Models the sender's buffer, the data in flight (bounded by a window), the
// receiver's unread data, retransmission over partitioned links, and a timeout after a stall of
// kMinStall to kMaxStall. Shared by its ends and its pending event.
class Pipe : public std::enable_shared_from_this<Pipe> {
 public:
  // Called when the first message arrives: returns the id of the receiving process, or 0 to refuse.
  using Accept = absl::AnyInvocable<uint64_t()>;

  // `to` is null if no host has the address. `to_process_id` is 0 until `accept` binds it.
  Pipe(WorldCore* core, TraceKind kind, HostExecutor* from, HostExecutor* to,
       uint64_t to_process_id);

  // Delays the first message by the time of a connection handshake.
  void AddSetupDelay();
  void set_accept(Accept accept) { accept_ = std::move(accept); }
  // Runs at the sender when the pipe breaks by refusal, reset or timeout; not after Break.
  void set_on_error(Callback on_error) { on_error_ = std::move(on_error); }

  // Runs `deliver` at the receiver when the message of `bytes` bytes arrives; `digest` is mixed
  // into the trace hash then.
  void Push(size_t bytes, uint64_t digest, Callback deliver);
  // Closes the pipe at the sender: its buffer is lost, messages in flight may still arrive.
  // `deliver`, if given, represents the reset: it runs at the receiver after those messages, with a
  // random delay.
  void CloseSender(Callback deliver);
  // Breaks as if the receiver had sent a reset.
  void Reset();
  // Drops everything; no callback runs at either end any more.
  void Break();

  bool broken() const { return broken_; }
  bool established() const { return to_process_id_ != 0; }
  // Bytes in the sender's buffer, not transmitted yet.
  size_t buffered_bytes() const { return buffered_bytes_; }
  // Runs `callback` once at the sender when fewer than `threshold` bytes are buffered.
  void NotifyWritable(size_t threshold, Callback callback);

  void StopReading() { paused_ = true; }
  void ResumeReading();

 private:
  struct Message {
    runtime::MonotonicTime arrival;
    size_t bytes;
    uint64_t digest;
    Callback deliver;
  };
  static constexpr size_t kWindowBytes = size_t{256} * 1024;
  static constexpr runtime::Duration kRetransmitDelay = std::chrono::milliseconds(200);
  static constexpr runtime::Duration kMinStall = std::chrono::seconds(8);
  static constexpr runtime::Duration kMaxStall = std::chrono::seconds(16);

  void Transmit(Message message);
  void ScheduleArrival(runtime::MonotonicTime time);
  void Arrive();
  // Returns whether the link is blocked; if so, schedules a retransmission or fails the pipe.
  bool HandleStall();
  bool BindReceiver();
  void RequestDelivery();
  void DeliverUnread();
  void Refill();
  void CheckWritable();
  void Fail(runtime::Duration delay);

  WorldCore* const core_;
  const TraceKind kind_;
  HostExecutor* const from_;
  const uint64_t from_process_id_;
  HostExecutor* const to_;
  uint64_t to_process_id_;
  Accept accept_;
  Callback on_error_;

  Fifo<Message> buffered_;
  Fifo<Message> in_flight_;
  Fifo<Message> unread_;
  size_t buffered_bytes_ = 0;
  size_t window_bytes_ = 0;  // bytes in in_flight_ and unread_
  size_t writable_threshold_ = 0;
  Callback on_writable_;
  runtime::MonotonicTime last_arrival_;
  runtime::MonotonicTime stalled_since_{};
  runtime::Duration stall_limit_;
  bool stalled_ = false;
  bool arrival_scheduled_ = false;
  bool delivery_requested_ = false;
  bool paused_ = false;
  bool broken_ = false;
  bool sender_closed_ = false;
};

}  // namespace posthatch::simulation
