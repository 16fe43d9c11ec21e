#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "posthatch/runtime/clock.h"
#include "posthatch/runtime/trace.h"

namespace posthatch::simulation {

// Two running XXH3 hashes over all events of the world, and the newest trace lines. Owned by
// WorldCore.
class TraceLog {
 public:
  // Mixes one event (a delivery, a disk completion) into both hashes. `kind` is a TraceKind;
  // `actor` and `peer` are host numbers (`peer` of a disk completion is the kind of operation).
  void Mix(runtime::MonotonicTime time, uint32_t kind, uint32_t actor, uint32_t peer,
           std::string_view data);
  // Mixes a trace event into both hashes and keeps its line. The behaviour hash gets its time and
  // its host only.
  void AddLine(runtime::MonotonicTime time, std::string_view host_name, std::string line);

  // Hash of deliveries, disk completions, process starts and ends, and the text of trace events.
  uint64_t hash() const { return hash_; }
  // Like hash(), but without the text of trace events: unchanged when an event is renamed.
  uint64_t behaviour_hash() const { return behaviour_hash_; }
  std::vector<std::string> Recent() const { return {lines_.begin(), lines_.end()}; }

 private:
  static constexpr size_t kMaxLines = 10000;

  uint64_t hash_ = 0;
  uint64_t behaviour_hash_ = 0;
  std::deque<std::string> lines_;
};

}  // namespace posthatch::simulation
