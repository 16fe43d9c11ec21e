#pragma once

#include <cstdint>
#include <string>

#include "posthatch/runtime/clock.h"

// Settings and injected faults of the emulated worker.
namespace posthatch::emulator {

// The timing model. Prefill takes `prefill_per_block` for each block that is neither cached nor
// fetched; decoding makes one token each `decode_per_token`, longer by `batching_slowdown` for each
// other run in progress.
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
  uint64_t initial_revision = 0;  // weights at start, before any order
  uint32_t block_tokens = 16;
  uint64_t cache_blocks = 20000;  // capacity; the least recently used block is evicted first
  uint32_t max_running = 16;      // runs in progress
  uint32_t max_waiting = 32;      // beyond: 429 overloaded
  uint32_t max_tokens = 512;      // longest response
  uint64_t kept_events = 10000;   // beyond: older ones are dropped behind a "lost" mark
  std::string store_endpoint;     // new blocks are pushed there; empty: nowhere
  WorkerTiming timing;
};

// Faults of the worker, changed by PUT /debug/behaviour (fields of the same names; those left out
// keep their value). Shares are probabilities for each response or event.
struct WorkerBehaviour {
  uint32_t answers_late_ms = 0;      // delay of the head of late responses
  double answers_late_share = 0;     //
  double answers_twice_share = 0;    // the response comes again, in place of the next request's
  double answers_crossed_share = 0;  // head and body of another request's response
  // Only the body is another request's; the head echoes this attempt.
  double answers_crossed_body_share = 0;
  double cut_share = 0;        // responses whose connection is broken within the body ...
  uint32_t cut_at_piece = 1;   // ... before this chunk (complete responses: after half of the body)
  double cut_clean_share = 0;  // streams that end properly but lack their rest and [DONE]
  double repeated_piece_share = 0;  // streams that send one piece twice
  double skipped_piece_share = 0;   // streams that leave one piece out
  double slow_factor = 1;           // all of WorkerTiming times this
  uint32_t events_late_ms = 0;      // until an event can be read
  double events_lost_share = 0;     // leave a gap in `seq`
  double events_silent_share = 0;   // never get a `seq`: no gap to be seen
  double events_doubled_share = 0;
  double events_reordered_share = 0;  // come after the next one
  double events_lost_mark_share = 0;  // are replaced by a "lost" mark
  bool ignore_salt = false;           // cache shared across salts
  bool check_fencing_tokens = true;
  bool keep_blocks_on_load = false;  // loading weights leaves blocks and epoch as they are
  bool freeze_loading = false;       // weight loading never ends
};

}  // namespace posthatch::emulator
