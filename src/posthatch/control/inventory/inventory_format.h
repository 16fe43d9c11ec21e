#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "posthatch/control/control.pb.h"
#include "posthatch/http/http.h"

namespace posthatch::control {

struct InventoryPage {
  Inventory inventory;
  std::string next_page;  // empty on the last one
};

// How a platform's inventory is asked and read. Stateless; any thread.
class InventoryFormat {
 public:
  virtual ~InventoryFormat() = default;
  // `page` is empty for the first one.
  virtual http::Request PageRequest(const std::string& page) const = 0;
  // InvalidArgument if `body` is not a whole page.
  virtual absl::StatusOr<InventoryPage> ParsePage(const std::string& body) const = 0;
  // How long a refusal for reading too often asks to wait; zero if it doesn't say.
  virtual runtime::Duration RetryAfter(const http::Response& refusal) const = 0;
};

// The inventory of docs/BACKENDS.md: one page.
const InventoryFormat* NativeInventoryFormat();

// Reads a whole inventory of docs/BACKENDS.md, sorted by id. InvalidArgument if it isn't one.
absl::StatusOr<Inventory> ParseInventory(const std::string& json);

}  // namespace posthatch::control
