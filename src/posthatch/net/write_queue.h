#pragma once

#include <array>
#include <boost/asio/buffer.hpp>
#include <cstddef>
#include <deque>
#include <string>
#include <string_view>

namespace posthatch::net {

// The bytes of a stream that are not yet written to its socket. Owned by the stream; event loop
// thread only.
class WriteQueue {
 public:
  // Maximum number of buffers written in one system call.
  static constexpr size_t kMaxBuffersPerWrite = 16;
  using Buffers = std::array<boost::asio::const_buffer, kMaxBuffersPerWrite>;

  // Appends `bytes` as a separate buffer, without copying.
  void Append(std::string bytes);
  // Copies `bytes` to the end of the last buffer while that is small, so that many short writes
  // are sent in one buffer.
  void AppendCopy(std::string_view bytes);

  // Fills `buffers` with the first bytes of the queue, at most `max_bytes`, and returns how many
  // buffers are used. They are valid until the queue changes.
  size_t Peek(size_t max_bytes, Buffers* buffers) const;
  // Drops the first `bytes` bytes, which have been written.
  void Consume(size_t bytes);

  size_t bytes() const { return bytes_; }

 private:
  std::deque<std::string> buffers_;
  size_t first_offset_ = 0;  // bytes of buffers_.front() that are already written
  size_t bytes_ = 0;
};

}  // namespace posthatch::net
