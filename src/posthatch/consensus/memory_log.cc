#include "posthatch/consensus/memory_log.h"

#include <utility>

namespace posthatch::consensus {

void MemoryLog::Restore(uint64_t base_index, uint64_t base_term,
                        std::vector<storage::LogEntry> entries) {
  Reset(base_index, base_term);
  for (storage::LogEntry& entry : entries) Append(std::move(entry));
}

std::optional<uint64_t> MemoryLog::Term(uint64_t index) const {
  if (index == base_index_) return base_term_;
  if (index < base_index_ || index > last_index()) return std::nullopt;
  return Entry(index).term();
}

void MemoryLog::Append(storage::LogEntry entry) {
  bytes_ += entry.data().size();
  entries_.push_back(std::move(entry));
}

void MemoryLog::TruncateFrom(uint64_t index) {
  while (last_index() >= index && !entries_.empty()) {
    bytes_ -= entries_.back().data().size();
    entries_.pop_back();
  }
}

void MemoryLog::CompactTo(uint64_t index) {
  while (base_index_ < index && !entries_.empty()) {
    bytes_ -= entries_.front().data().size();
    base_term_ = entries_.front().term();
    ++base_index_;
    entries_.pop_front();
  }
}

void MemoryLog::Reset(uint64_t index, uint64_t term) {
  entries_.clear();
  bytes_ = 0;
  base_index_ = index;
  base_term_ = term;
}

}  // namespace posthatch::consensus
