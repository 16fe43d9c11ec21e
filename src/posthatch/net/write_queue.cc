#include "posthatch/net/write_queue.h"

#include <algorithm>
#include <utility>

namespace posthatch::net {
namespace {

// Bytes are copied to the last buffer up to this size; beyond it a new buffer is started.
constexpr size_t kMaxCoalescedBytes = 16UL * 1024;

}  // namespace

void WriteQueue::Append(std::string bytes) {
  bytes_ += bytes.size();
  buffers_.push_back(std::move(bytes));
}

void WriteQueue::AppendCopy(std::string_view bytes) {
  bytes_ += bytes.size();
  if (!buffers_.empty() && buffers_.back().size() + bytes.size() <= kMaxCoalescedBytes) {
    buffers_.back().append(bytes);
  } else {
    buffers_.emplace_back(bytes);
  }
}

size_t WriteQueue::Peek(size_t max_bytes, Buffers* buffers) const {
  size_t count = 0;
  size_t offset = first_offset_;
  for (const std::string& buffer : buffers_) {
    if (count == buffers->size() || max_bytes == 0) break;
    const size_t size = std::min(buffer.size() - offset, max_bytes);
    (*buffers)[count++] = boost::asio::const_buffer(buffer.data() + offset, size);
    max_bytes -= size;
    offset = 0;
  }
  return count;
}

void WriteQueue::Consume(size_t bytes) {
  bytes_ -= bytes;
  first_offset_ += bytes;
  while (!buffers_.empty() && first_offset_ >= buffers_.front().size()) {
    first_offset_ -= buffers_.front().size();
    buffers_.pop_front();
  }
}

}  // namespace posthatch::net
