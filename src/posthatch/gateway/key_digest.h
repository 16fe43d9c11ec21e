#pragma once

#include <openssl/sha.h>

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace posthatch::gateway {

// SHA-256 (FIPS 180-4).
using Sha256Digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

Sha256Digest Sha256(std::string_view text);
std::string Sha256Hex(std::string_view text);
// Parses a digest of 64 hexadecimal digits; nullopt if `hex` is anything else.
std::optional<Sha256Digest> ParseSha256Hex(std::string_view hex);

}  // namespace posthatch::gateway
