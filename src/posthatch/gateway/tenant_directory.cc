#include "posthatch/gateway/tenant_directory.h"

#include <openssl/crypto.h>

#include <cstring>

#include "absl/strings/match.h"
#include "posthatch/util/string_view.h"

namespace posthatch::gateway {
namespace {

constexpr std::string_view kBearer = "Bearer ";

uint64_t DigestPrefix(const Sha256Digest& digest) {
  uint64_t prefix;  // NOLINT(cppcoreguidelines-init-variables): memcpy fills it
  std::memcpy(&prefix, digest.data(), sizeof(prefix));
  return prefix;
}

}  // namespace

void TenantDirectory::Rebuild(const control::Configuration& configuration) {
  entries_.clear();
  for (const control::Tenant& tenant : configuration.tenants()) {
    const auto shared = std::make_shared<const control::Tenant>(tenant);
    for (const std::string& hex : tenant.key_sha256()) {
      const std::optional<Sha256Digest> digest = ParseSha256Hex(hex);
      if (digest.has_value()) entries_[DigestPrefix(*digest)] = Entry{*digest, shared};
    }
  }
}

std::shared_ptr<const control::Tenant> TenantDirectory::Authenticate(
    std::string_view authorization) const {
  if (!absl::StartsWithIgnoreCase(util::ToAbsl(authorization), util::ToAbsl(kBearer)))
    return nullptr;
  const Sha256Digest digest = Sha256(authorization.substr(kBearer.size()));
  const auto found = entries_.find(DigestPrefix(digest));
  if (found == entries_.end()) return nullptr;
  const Sha256Digest& expected = found->second.digest;
  if (CRYPTO_memcmp(expected.data(), digest.data(), digest.size()) != 0) return nullptr;
  return found->second.tenant;
}

}  // namespace posthatch::gateway
