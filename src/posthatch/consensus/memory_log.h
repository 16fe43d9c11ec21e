#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "posthatch/storage/log_record.pb.h"

namespace posthatch::consensus {

// The log entries in memory: all since the last compaction, durable or not. Owned by RaftCore; not
// thread-safe.
class MemoryLog {
 public:
  void Restore(uint64_t base_index, uint64_t base_term, std::vector<storage::LogEntry> entries);

  // Index of the entry before the first one; its term is known.
  uint64_t base_index() const { return base_index_; }
  uint64_t last_index() const { return base_index_ + entries_.size(); }
  uint64_t last_term() const { return *Term(last_index()); }
  uint64_t bytes() const { return bytes_; }
  // Nullopt for indexes before base_index() or after last_index().
  std::optional<uint64_t> Term(uint64_t index) const;
  // `index` must be in (base_index(), last_index()].
  const storage::LogEntry& Entry(uint64_t index) const { return entries_[index - base_index_ - 1]; }

  // `entry.index()` must be last_index() + 1.
  void Append(storage::LogEntry entry);
  // Removes the entries from `index` on.
  void TruncateFrom(uint64_t index);
  // Removes the entries up to `index`, which must not be above last_index().
  void CompactTo(uint64_t index);
  // Empties the log; the next entry to append has index `index` + 1.
  void Reset(uint64_t index, uint64_t term);

 private:
  uint64_t base_index_ = 0;
  uint64_t base_term_ = 0;
  uint64_t bytes_ = 0;
  std::deque<storage::LogEntry> entries_;
};

}  // namespace posthatch::consensus
