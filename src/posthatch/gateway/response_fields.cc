#include "posthatch/gateway/response_fields.h"

#include <charconv>

namespace posthatch::gateway {

uint64_t NumberField(const http::Headers& headers, std::string_view name) {
  const std::string_view text = headers.Get(name);
  uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

std::string_view StringField(const boost::json::object& object, std::string_view name) {
  const boost::json::value* field = object.if_contains(name);
  if (field == nullptr || !field->is_string()) return {};
  return {field->get_string().data(), field->get_string().size()};
}

}  // namespace posthatch::gateway
