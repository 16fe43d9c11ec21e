#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "posthatch/control/control.pb.h"
#include "posthatch/gateway/key_digest.h"

namespace posthatch::gateway {

// Maps callers' keys to tenants. Stores only SHA-256 digests and is rebuilt with each
// configuration. Every request is looked up, so a revoked key is rejected on persistent connections
// too. Keys are neither stored nor logged. Event loop thread only.
class TenantDirectory {
 public:
  // Loads the tenants of `configuration`; digests that are not 64 hexadecimal digits match nothing.
  void Rebuild(const control::Configuration& configuration);

  // Tenant of the `Authorization` field's value ("Bearer KEY", RFC 6750, 2.1), or null. The digests
  // are compared in constant time.
  std::shared_ptr<const control::Tenant> Authenticate(std::string_view authorization) const;

 private:
  struct Entry {
    Sha256Digest digest;
    std::shared_ptr<const control::Tenant> tenant;
  };
  // Keyed by the first 8 bytes of the digest, which can't be chosen without the key.
  absl::flat_hash_map<uint64_t, Entry> entries_;
};

}  // namespace posthatch::gateway
