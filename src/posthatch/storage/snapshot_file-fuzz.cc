// Parsing arbitrary bytes as a snapshot must return an error or a snapshot that survives encoding
// and parsing. Half of the inputs are parsed as they are; the others become the data of a valid
// snapshot, of which one byte is changed.
#include <cstdint>
#include <cstdlib>
#include <string>

#include "posthatch/storage/snapshot_file.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  if (size < 4) return 0;
  std::string contents(reinterpret_cast<const char*>(data) + 4, size - 4);
  const bool edited = data[0] % 2 == 1 && data[2] != 0;
  if (edited) {
    posthatch::storage::Snapshot snapshot;
    snapshot.metadata.set_index(data[3]);
    snapshot.data = contents;
    contents = posthatch::storage::EncodeSnapshot(snapshot);
    contents[data[1] % contents.size()] ^= static_cast<char>(data[2]);
  }
  const auto snapshot = posthatch::storage::ParseSnapshot(contents);
  if (!snapshot.ok()) return 0;
  if (edited) std::abort();  // every changed byte must be detected
  const auto again =
      posthatch::storage::ParseSnapshot(posthatch::storage::EncodeSnapshot(*snapshot));
  if (!again.ok() || again->data != snapshot->data) std::abort();
  return 0;
}
