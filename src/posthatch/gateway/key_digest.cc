#include "posthatch/gateway/key_digest.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"
#include "posthatch/util/string_view.h"

namespace posthatch::gateway {

Sha256Digest Sha256(std::string_view text) {
  Sha256Digest digest;
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
  return digest;
}

std::string Sha256Hex(std::string_view text) {
  const Sha256Digest digest = Sha256(text);
  return absl::BytesToHexString(
      absl::string_view(reinterpret_cast<const char*>(digest.data()), digest.size()));
}

std::optional<Sha256Digest> ParseSha256Hex(std::string_view hex) {
  Sha256Digest digest;
  if (hex.size() != 2 * digest.size()) return std::nullopt;
  if (!std::all_of(hex.begin(), hex.end(), [](unsigned char c) { return absl::ascii_isxdigit(c); }))
    return std::nullopt;
  const std::string bytes = absl::HexStringToBytes(util::ToAbsl(hex));
  std::copy(bytes.begin(), bytes.end(), digest.begin());
  return digest;
}

}  // namespace posthatch::gateway
