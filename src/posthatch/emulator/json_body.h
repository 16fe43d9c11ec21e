#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "posthatch/http/http.h"

// JSON bodies and rejections, as all emulators read and write them. No function throws.
namespace posthatch::emulator {

// Parses a body that must be one JSON object. Errors: InvalidArgument.
absl::StatusOr<boost::json::object> ParseObject(std::string_view body);

// Value of `key`, or the fallback if it is missing or of another type.
std::string TextField(const boost::json::object& object, std::string_view key,
                      std::string_view fallback = {});
uint64_t NumberField(const boost::json::object& object, std::string_view key,
                     uint64_t fallback = 0);
bool FlagField(const boost::json::object& object, std::string_view key, bool fallback = false);
// Array or object under `key`, or null.
const boost::json::array* ArrayField(const boost::json::object& object, std::string_view key);
const boost::json::object* ObjectField(const boost::json::object& object, std::string_view key);

// A complete response with a JSON body.
http::Response JsonResponse(int status, const boost::json::value& body);
// {"error": {"code", "message", "executed": "no"}}: states that nothing was executed.
http::Response NotExecuted(int status, std::string_view code, std::string_view message);

// Block hashes and checksums are encoded as 16 lower-case hexadecimal digits.
std::string ToHex(uint64_t number);
// False if `text` isn't a hexadecimal number.
bool FromHex(std::string_view text, uint64_t* number);

}  // namespace posthatch::emulator
