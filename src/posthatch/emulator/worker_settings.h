#pragma once

#include <cstdint>
#include <string>

#include "posthatch/runtime/clock.h"

// Settings and injected faults of the emulated worker.
namespace posthatch::emulator {

// The timing model. Prefill takes `prefill_per_block` for each block that is neither cached nor
// fetched; decoding produces one token per `decode_per_token`, slowed by the fraction
// `batching_slowdown` for each other run in progress.
struct WorkerTiming {
  runtime::Duration prefill_per_block = std::chrono::milliseconds(8);
  runtime::Duration decode_per_token = std::chrono::milliseconds(10);
  double batching_slowdown = 0.05;
  runtime::Duration weight_loading = std::chrono::seconds(3);
  // Transfer of cached blocks from this worker to a peer.
  uint64_t kv_bytes_per_block = 2ull * 1024 * 1024;
  uint64_t link_bytes_per_second = 2ull * 1024 * 1024 * 1024;
};

struct WorkerSettings {
  std::string id;
  std::string zone;
  std::string listen = "127.0.0.1:0";  // "ip:port"; port 0: chosen by the system
  std::string model = "race-7b";
  uint64_t initial_revision = 0;  // model revision before the first load command
  uint32_t block_tokens = 16;
  uint64_t cache_blocks = 20000;  // capacity; the least recently used block is evicted first
  uint32_t max_running = 16;      // runs in progress
  uint32_t max_waiting = 32;      // queued requests; more get 429 overloaded
  uint32_t max_tokens = 512;      // longest response
  uint64_t kept_events = 10000;   // retained KV events; a "lost" mark stands for older ones
  std::string store_endpoint;     // store that new blocks are pushed to; empty: none
  WorkerTiming timing;
};

// Faults of the worker, changed by PUT /debug/behaviour (fields of the same names; a missing field
// keeps its value). Shares are probabilities for each response or event.
struct WorkerBehaviour {
  uint32_t answers_late_ms = 0;      // delay of the head of delayed responses
  double answers_late_share = 0;     // delayed responses
  double answers_twice_share = 0;    // the response is sent again in place of the next request's
  double answers_crossed_share = 0;  // head and body of another request's response
  // Body of another request's response; the head still echoes this request's attempt.
  double answers_crossed_body_share = 0;
  double cut_share = 0;  // responses whose connection is broken before the body is complete
  // Streams are truncated before this chunk, other responses after half of the body.
  uint32_t cut_at_piece = 1;
  double cut_clean_share = 0;         // streams that end cleanly at cut_at_piece, without [DONE]
  double repeated_piece_share = 0;    // streams that send one chunk twice
  double skipped_piece_share = 0;     // streams that omit one chunk
  double slow_factor = 1;             // multiplies all durations of WorkerTiming
  uint32_t events_late_ms = 0;        // delay until an event can be read
  double events_lost_share = 0;       // lost events that leave a gap in `seq`
  double events_silent_share = 0;     // lost events that get no `seq` and leave no gap
  double events_doubled_share = 0;    // events delivered twice
  double events_reordered_share = 0;  // events delivered after the next one
  double events_lost_mark_share = 0;  // events replaced by a "lost" mark
  bool ignore_salt = false;           // blocks are shared across cache salts
  bool check_fencing_tokens = true;
  bool keep_blocks_on_load = false;  // loading weights keeps blocks and epoch
  bool freeze_loading = false;       // weight loading never ends
};

}  // namespace posthatch::emulator
