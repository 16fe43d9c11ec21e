#include "posthatch/control/state/fingerprint.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <xxhash.h>

#include "absl/strings/str_cat.h"

namespace posthatch::control {

Fingerprint FingerprintOf(std::string_view bytes) {
  const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
  return {hash.high64, hash.low64};
}

std::string ToHex(const Fingerprint& fingerprint) {
  return absl::StrCat(absl::Hex(fingerprint.high, absl::kZeroPad16),
                      absl::Hex(fingerprint.low, absl::kZeroPad16));
}

std::string SerializeDeterministically(const google::protobuf::MessageLite& message) {
  std::string bytes;
  {
    google::protobuf::io::StringOutputStream stream(&bytes);
    google::protobuf::io::CodedOutputStream coded(&stream);
    coded.SetSerializationDeterministic(true);
    message.SerializeToCodedStream(&coded);
  }
  return bytes;
}

}  // namespace posthatch::control
