#include "posthatch/simulation/trace_log.h"

#include <xxhash.h>

#include <array>
#include <utility>

namespace posthatch::simulation {

void TraceLog::Mix(runtime::MonotonicTime time, uint32_t kind, uint32_t actor, uint32_t peer,
                   std::string_view data) {
  const std::array<uint64_t, 4> record = {hash_,
                                          static_cast<uint64_t>(runtime::ToNanoseconds(time)),
                                          (static_cast<uint64_t>(actor) << 32) | peer,
                                          XXH3_64bits_withSeed(data.data(), data.size(), kind)};
  hash_ = XXH3_64bits(record.data(), sizeof(record));
}

void TraceLog::AddLine(std::string line) {
  hash_ = XXH3_64bits_withSeed(line.data(), line.size(), hash_);
  if (lines_.size() == kMaxLines) lines_.pop_front();
  lines_.push_back(std::move(line));
}

}  // namespace posthatch::simulation
