// Reading arbitrary bytes as a snapshot must end in an error or in a snapshot that encodes to an
// equal one.
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "posthatch/storage/snapshot_file.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view contents(reinterpret_cast<const char*>(data), size);
  const auto snapshot = posthatch::storage::ParseSnapshot(contents);
  if (!snapshot.ok()) return 0;
  const auto again =
      posthatch::storage::ParseSnapshot(posthatch::storage::EncodeSnapshot(*snapshot));
  if (!again.ok() || again->data != snapshot->data) std::abort();
  return 0;
}
