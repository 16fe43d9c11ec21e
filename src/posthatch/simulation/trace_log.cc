#include "posthatch/simulation/trace_log.h"

#include <xxhash.h>

#include <array>
#include <utility>

namespace posthatch::simulation {

namespace {

// Hash seed of trace events in the behaviour hash, in place of a TraceKind; equal to none of them.
constexpr uint64_t kTraceEventKind = 0;

uint64_t MixInto(uint64_t hash, runtime::MonotonicTime time, uint32_t actor, uint32_t peer,
                 uint64_t data_hash) {
  const std::array<uint64_t, 4> record = {hash, static_cast<uint64_t>(runtime::ToNanoseconds(time)),
                                          (static_cast<uint64_t>(actor) << 32) | peer, data_hash};
  return XXH3_64bits(record.data(), sizeof(record));
}

}  // namespace

void TraceLog::Mix(runtime::MonotonicTime time, uint32_t kind, uint32_t actor, uint32_t peer,
                   std::string_view data) {
  const uint64_t data_hash = XXH3_64bits_withSeed(data.data(), data.size(), kind);
  hash_ = MixInto(hash_, time, actor, peer, data_hash);
  behaviour_hash_ = MixInto(behaviour_hash_, time, actor, peer, data_hash);
}

void TraceLog::AddLine(runtime::MonotonicTime time, std::string_view host_name, std::string line) {
  hash_ = XXH3_64bits_withSeed(line.data(), line.size(), hash_);
  behaviour_hash_ =
      MixInto(behaviour_hash_, time, /*actor=*/0, /*peer=*/0,
              XXH3_64bits_withSeed(host_name.data(), host_name.size(), kTraceEventKind));
  if (lines_.size() == kMaxLines) lines_.pop_front();
  lines_.push_back(std::move(line));
}

}  // namespace posthatch::simulation
