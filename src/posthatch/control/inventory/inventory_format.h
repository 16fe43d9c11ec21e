#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "posthatch/control/control.pb.h"
#include "posthatch/http/http.h"

namespace posthatch::control {

// A parsed page of a platform's inventory.
struct InventoryPage {
  Inventory inventory;
  std::string next_page;  // empty on the last one
};

// Builds the requests of a platform's inventory interface and parses its responses. Stateless;
// thread-safe.
class InventoryFormat {
 public:
  virtual ~InventoryFormat() = default;
  // `page` is InventoryPage::next_page of the previous one; empty for the first.
  virtual http::Request PageRequest(const std::string& page) const = 0;
  // InvalidArgument if `body` is not a complete page.
  virtual absl::StatusOr<InventoryPage> ParsePage(const std::string& body) const = 0;
  // The retry delay of a 429 response; zero if it has none.
  virtual runtime::Duration RetryAfter(const http::Response& response) const = 0;
};

// The format of docs/BACKENDS.md, which has a single page.
const InventoryFormat* NativeInventoryFormat();

// Parses a complete inventory in the format of docs/BACKENDS.md, sorted by id. InvalidArgument if
// `json` isn't one.
absl::StatusOr<Inventory> ParseInventory(const std::string& json);

}  // namespace posthatch::control
