#include "posthatch/net/envelope_codec.h"

#include <boost/endian/conversion.hpp>
#include <utility>

#include "absl/strings/str_cat.h"

namespace posthatch::net {
namespace {

uint32_t LoadLength(std::string_view bytes) {
  return boost::endian::load_big_u32(reinterpret_cast<const unsigned char*>(bytes.data()));
}

}  // namespace

std::string EncodeFrame(const runtime::Envelope& envelope) {
  std::string frame(kFrameHeaderBytes, '\0');
  const size_t size = envelope.ByteSizeLong();
  frame.reserve(kFrameHeaderBytes + size);
  boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(frame.data()),
                               static_cast<uint32_t>(size));
  envelope.AppendToString(&frame);
  return frame;
}

absl::Status ParseEnvelope(std::string_view bytes, runtime::Envelope* envelope) {
  if (!envelope->ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return absl::InvalidArgumentError("not an envelope");
  }
  if (envelope->service() == runtime::SERVICE_UNSPECIFIED || envelope->from_node().empty() ||
      envelope->from_endpoint().empty()) {
    return absl::InvalidArgumentError("envelope without service or sender");
  }
  return absl::OkStatus();
}

absl::Status FrameDecoder::DecodeFrames(
    std::string_view* bytes, const std::function<bool(const runtime::Envelope&)>& received) {
  runtime::Envelope envelope;
  while (bytes->size() >= kFrameHeaderBytes) {
    const size_t length = LoadLength(*bytes);
    if (length > max_frame_bytes_) {
      return absl::InvalidArgumentError(absl::StrCat("frame of ", length, " bytes is too long"));
    }
    if (bytes->size() < kFrameHeaderBytes + length) break;
    absl::Status status = ParseEnvelope(bytes->substr(kFrameHeaderBytes, length), &envelope);
    if (!status.ok()) return status;
    bytes->remove_prefix(kFrameHeaderBytes + length);
    if (!received(envelope)) {
      stopped_ = true;
      break;
    }
  }
  return absl::OkStatus();
}

absl::Status FrameDecoder::Feed(std::string_view bytes,
                                const std::function<bool(const runtime::Envelope&)>& received) {
  if (stopped_) return absl::OkStatus();
  std::string joined;
  if (!partial_.empty()) {
    partial_.append(bytes);
    const size_t needed = partial_.size() < kFrameHeaderBytes
                              ? kFrameHeaderBytes
                              : kFrameHeaderBytes + LoadLength(partial_);
    const bool too_long = needed > kFrameHeaderBytes + max_frame_bytes_;
    if (partial_.size() < needed && !too_long) return absl::OkStatus();
    joined = std::exchange(partial_, {});
    bytes = joined;
  }
  absl::Status status = DecodeFrames(&bytes, received);
  if (status.ok() && !stopped_) partial_.assign(bytes);
  return status;
}

}  // namespace posthatch::net
