#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::routing {

// A gateway has dispatched a prompt to a worker that has to prefill its shared segments.
struct PrefillStart {
  uint64_t affinity = 0;  // PromptShape::affinity
  uint64_t revision = 0;  // model revision of the worker
  std::string worker_id;
  runtime::Duration ready_in{0};  // expected time until the segments are cached
};

// The workers where shared segments are being prefilled, or were recently. The prefix cache index
// receives them only with the worker's events, a second or more later; without this table, prompts
// that share them would be prefilled at several workers in the meantime. The entries are hints: a
// wrong one only leads to a worse placement. Owned by TrafficGateway; event loop thread only.
class InFlightPrefills {
 public:
  struct Options {
    // After this time the index has the segments, or the worker has evicted them.
    runtime::Duration entry_ttl = std::chrono::seconds(5);
    // Maximum number of entries; further starts are ignored.
    size_t max_starts = 8192;
  };

  // A worker where the segments are being prefilled, or have been.
  struct PrefillLocation {
    std::string worker_id;
    bool ready = false;  // the segments should be cached at the worker by now
  };

  InFlightPrefills(const runtime::Clock* clock, Options options)
      : clock_(clock), options_(options) {}

  // Adds a prefill that this gateway has started or another gateway has announced.
  void Add(const PrefillStart& start);
  // Locations of the segments under a model revision, the last added worker first.
  std::vector<PrefillLocation> Find(uint64_t affinity, uint64_t revision) const;
  size_t size() const { return size_; }

 private:
  struct Key {
    uint64_t affinity = 0;
    uint64_t revision = 0;

    friend bool operator==(const Key&, const Key&) = default;
    template <typename Hash>
    friend Hash AbslHashValue(Hash hash, const Key& key) {
      return Hash::combine(std::move(hash), key.affinity, key.revision);
    }
  };
  struct Entry {
    std::string worker_id;
    runtime::MonotonicTime started_at;
    runtime::MonotonicTime ready_at;
  };

  void EvictExpired();

  const runtime::Clock* const clock_;
  const Options options_;
  absl::flat_hash_map<Key, std::vector<Entry>> entries_;
  size_t size_ = 0;
  runtime::MonotonicTime next_sweep_at_;
};

}  // namespace posthatch::routing
