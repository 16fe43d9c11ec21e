#include "posthatch/server/allocation_processor-test.h"

#include <cstdlib>
#include <new>

namespace {

thread_local uint64_t allocated_bytes = 0;

}  // namespace

// Replaces the allocation functions of the test program. The other forms of `new` call this one.
void* operator new(size_t size) {
  allocated_bytes += size;
  void* const memory = std::malloc(size == 0 ? 1 : size);  // NOLINT(cppcoreguidelines-no-malloc)
  if (memory == nullptr) throw std::bad_alloc();
  return memory;
}
void operator delete(void* memory) noexcept {
  std::free(memory);  // NOLINT(cppcoreguidelines-no-malloc)
}
void operator delete(void* memory, size_t /*size*/) noexcept {
  std::free(memory);  // NOLINT(cppcoreguidelines-no-malloc)
}

namespace posthatch::server {

uint64_t AllocatedBytes() { return allocated_bytes; }

runtime::Duration AllocationProcessor::OnCallbackEnd() {
  const uint64_t allocated = AllocatedBytes() - allocated_before_;
  const auto counted = static_cast<double>(allocated - allocated % kCountedBytes);
  const double nanoseconds = (kNanosecondsPerCallback + kNanosecondsPerByte * counted) / share_;
  return std::chrono::nanoseconds(static_cast<int64_t>(nanoseconds));
}

}  // namespace posthatch::server
