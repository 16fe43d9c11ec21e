#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <string_view>

#include "posthatch/http/http.h"

namespace posthatch::gateway {

// The number in field `name`; 0 if there is none.
uint64_t NumberField(const http::Headers& headers, std::string_view name);

// The string in `object`'s field `name`; empty if there is none.
std::string_view StringField(const boost::json::object& object, std::string_view name);

}  // namespace posthatch::gateway
