#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "posthatch/runtime/transport.h"

namespace posthatch::net {

// Frames on a stream between posthatch processes: the length of the serialized `Envelope` in four
// bytes, big endian, then the envelope.
inline constexpr size_t kFrameHeaderBytes = 4;

// Returns the frame of `envelope`, whose serialized size must be below 4 GiB.
std::string EncodeFrame(const runtime::Envelope& envelope);

// Reads an envelope and checks the fields that every envelope has: a service, the sender's node id
// and endpoint. Errors: InvalidArgument.
absl::Status ParseEnvelope(std::string_view bytes, runtime::Envelope* envelope);

// Splits a stream of bytes into envelopes. Owned by one connection.
class FrameDecoder {
 public:
  // Frames over `max_frame_bytes` are an error, detected as soon as their length is read.
  explicit FrameDecoder(size_t max_frame_bytes) : max_frame_bytes_(max_frame_bytes) {}

  // Runs `received` for each envelope completed by `bytes`; `received` returns false to stop and to
  // drop the rest of the stream. Errors: InvalidArgument, after which the stream can't be decoded
  // further.
  absl::Status Feed(std::string_view bytes,
                    const std::function<bool(const runtime::Envelope&)>& received);

  size_t buffered_bytes() const { return partial_.size(); }

 private:
  absl::Status DecodeFrames(std::string_view* bytes,
                            const std::function<bool(const runtime::Envelope&)>& received);

  const size_t max_frame_bytes_;
  std::string partial_;  // the start of an incomplete frame
  bool stopped_ = false;
};

}  // namespace posthatch::net
