#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/status/status.h"
#include "absl/strings/str_cat.h"
#include "posthatch/util/string_view.h"

namespace posthatch::emulator {

// JSON name of a settings field and the struct member that it sets.
template <typename Struct>
struct Field {
  std::string_view name;
  std::variant<uint32_t Struct::*, double Struct::*, bool Struct::*> member;
};

namespace internal {

inline bool Assign(const boost::json::value& value, uint32_t* target) {
  if (!value.is_int64() || value.get_int64() < 0 || value.get_int64() > UINT32_MAX) return false;
  *target = static_cast<uint32_t>(value.get_int64());
  return true;
}

inline bool Assign(const boost::json::value& value, double* target) {
  boost::system::error_code error;
  const auto number = value.to_number<double>(error);
  if (error || number < 0) return false;
  *target = number;
  return true;
}

inline bool Assign(const boost::json::value& value, bool* target) {
  if (!value.is_bool()) return false;
  *target = value.get_bool();
  return true;
}

}  // namespace internal

// Sets the fields of `object` in `target`, or none of them if one is unknown or of a wrong type.
// Errors: InvalidArgument, naming that field.
template <typename Struct>
absl::Status ApplyFields(const boost::json::object& object, const std::vector<Field<Struct>>& table,
                         Struct* target) {
  Struct changed = *target;
  for (const auto& [key, value] : object) {
    const std::string_view name(key.data(), key.size());
    bool assigned = false;
    const boost::json::value* const source = &value;
    for (const Field<Struct>& field : table) {
      if (field.name != name) continue;
      assigned = std::visit(
          [source, &changed](auto member) { return internal::Assign(*source, &(changed.*member)); },
          field.member);
    }
    if (!assigned) {
      return absl::InvalidArgumentError(
          absl::StrCat("unknown field or wrong type: ", util::ToAbsl(name)));
    }
  }
  *target = changed;
  return absl::OkStatus();
}

}  // namespace posthatch::emulator
