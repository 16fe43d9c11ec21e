#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "posthatch/control/control.pb.h"
#include "posthatch/gateway/key_digest.h"

namespace posthatch::gateway {

// Finds the tenant of a caller's key. Holds only SHA-256 digests of keys and is built anew with
// each configuration, so a revoked key is refused from then on, on kept connections too: every
// request is looked up. Keys are neither kept nor logged. Event loop thread only.
class TenantDirectory {
 public:
  // Takes the tenants of `configuration`; digests that are not 64 hexadecimal digits match nothing.
  void Rebuild(const control::Configuration& configuration);

  // Tenant of the `Authorization` field's value ("Bearer KEY", RFC 6750, 2.1), or null. The digests
  // are compared in constant time.
  std::shared_ptr<const control::Tenant> Authenticate(std::string_view authorization) const;

 private:
  struct Entry {
    Sha256Digest digest;
    std::shared_ptr<const control::Tenant> tenant;
  };
  // By the first 8 bytes of the digest, which nobody can choose without the key.
  absl::flat_hash_map<uint64_t, Entry> entries_;
};

}  // namespace posthatch::gateway
