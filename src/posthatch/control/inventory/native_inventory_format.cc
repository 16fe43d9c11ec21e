#include <algorithm>
#include <boost/json.hpp>

#include "absl/strings/numbers.h"
#include "posthatch/control/inventory/inventory_format.h"
#include "posthatch/control/state/inventory_state.h"
#include "posthatch/util/string_view.h"

namespace posthatch::control {
namespace {

std::string Text(const boost::json::object& object, std::string_view key) {
  const boost::json::value* value = object.if_contains(key);
  const boost::json::string* text = value == nullptr ? nullptr : value->if_string();
  return text == nullptr ? std::string() : std::string(text->data(), text->size());
}

BackendKind KindOf(const std::string& name) {
  if (name == "worker") return BACKEND_KIND_WORKER;
  if (name == "store") return BACKEND_KIND_STORE;
  if (name == "service") return BACKEND_KIND_SERVICE;
  return BACKEND_KIND_UNSPECIFIED;
}

absl::Status ReadBackend(const boost::json::value& value, Backend* backend) {
  const boost::json::object* object = value.if_object();
  if (object == nullptr) return absl::InvalidArgumentError("a backend is not an object");
  backend->set_id(Text(*object, "id"));
  backend->set_kind(KindOf(Text(*object, "kind")));
  backend->set_endpoint(Text(*object, "endpoint"));
  backend->set_zone(Text(*object, "zone"));
  backend->set_model(Text(*object, "model"));
  backend->set_service(Text(*object, "service"));
  const boost::json::value* draining = object->if_contains("draining");
  backend->set_draining(draining != nullptr && draining->is_bool() && draining->get_bool());
  const boost::json::value* labels = object->if_contains("labels");
  if (labels != nullptr && labels->is_object()) {
    for (const auto& label : labels->get_object()) {
      (*backend->mutable_labels())[std::string(label.key())] =
          Text(labels->get_object(), std::string_view(label.key().data(), label.key().size()));
    }
  }
  if (backend->id().empty() || backend->endpoint().empty() ||
      backend->kind() == BACKEND_KIND_UNSPECIFIED) {
    return absl::InvalidArgumentError("a backend without id, endpoint or known kind");
  }
  return absl::OkStatus();
}

class NativeFormat : public InventoryFormat {
 public:
  http::Request PageRequest(const std::string& /*page*/) const override {
    http::Request request;
    request.method = "GET";
    request.target = "/v1/inventory";
    return request;
  }

  absl::StatusOr<InventoryPage> ParsePage(const std::string& body) const override {
    boost::json::error_code error;
    const boost::json::value document = boost::json::parse(body, error);
    if (error || !document.is_object()) {
      return absl::InvalidArgumentError("the inventory is not a JSON object");
    }
    const boost::json::value* backends = document.get_object().if_contains("backends");
    if (backends == nullptr || !backends->is_array()) {
      return absl::InvalidArgumentError("the inventory has no list of backends");
    }
    InventoryPage page;
    for (const boost::json::value& value : backends->get_array()) {
      absl::Status status = ReadBackend(value, page.inventory.add_backends());
      if (!status.ok()) return status;
    }
    return page;
  }

  runtime::Duration RetryAfter(const http::Response& response) const override {
    int64_t delay_ms = 0;
    if (!absl::SimpleAtoi(util::ToAbsl(response.headers.Get("Retry-After-Ms")), &delay_ms)) {
      return runtime::Duration::zero();
    }
    return std::chrono::milliseconds(std::max<int64_t>(delay_ms, 0));
  }
};

}  // namespace

const InventoryFormat* NativeInventoryFormat() {
  static const NativeFormat format;
  return &format;
}

absl::StatusOr<Inventory> ParseInventory(const std::string& json) {
  absl::StatusOr<InventoryPage> page = NativeInventoryFormat()->ParsePage(json);
  if (!page.ok()) return page.status();
  SortBackends(&page->inventory);
  return std::move(page->inventory);
}

}  // namespace posthatch::control
