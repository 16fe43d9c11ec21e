#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "google/protobuf/message_lite.h"

namespace posthatch::control {

// XXH3-128 of a byte string, to compare keys and commands without storing them.
struct Fingerprint {
  uint64_t high = 0;
  uint64_t low = 0;

  friend bool operator==(const Fingerprint&, const Fingerprint&) = default;
  template <typename H>
  friend H AbslHashValue(H state, const Fingerprint& fingerprint) {
    return H::combine(std::move(state), fingerprint.high, fingerprint.low);
  }
};

Fingerprint FingerprintOf(std::string_view bytes);
// 32 hexadecimal digits.
std::string ToHex(const Fingerprint& fingerprint);
// Serialized with map entries in key order: equal messages give equal bytes on every replica.
std::string SerializeDeterministically(const google::protobuf::MessageLite& message);

}  // namespace posthatch::control
