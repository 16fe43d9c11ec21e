#include "posthatch/emulator/json_body.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "posthatch/util/string_view.h"

namespace posthatch::emulator {

namespace json = boost::json;

absl::StatusOr<json::object> ParseObject(std::string_view body) {
  boost::system::error_code error;
  json::value parsed = json::parse(body, error);
  if (error) return absl::InvalidArgumentError(absl::StrCat("not JSON: ", error.message()));
  if (json::object* object = parsed.if_object()) return std::move(*object);
  return absl::InvalidArgumentError("not a JSON object");
}

std::string TextField(const json::object& object, std::string_view key, std::string_view fallback) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr || !value->is_string()) return std::string(fallback);
  const json::string& text = value->get_string();
  return std::string(text.data(), text.size());
}

uint64_t NumberField(const json::object& object, std::string_view key, uint64_t fallback) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr) return fallback;
  if (value->is_uint64()) return value->get_uint64();
  if (value->is_int64() && value->get_int64() >= 0) {
    return static_cast<uint64_t>(value->get_int64());
  }
  uint64_t number = 0;  // protobuf's JSON writes 64-bit numbers as text
  if (value->is_string() && absl::SimpleAtoi(TextField(object, key), &number)) return number;
  return fallback;
}

bool FlagField(const json::object& object, std::string_view key, bool fallback) {
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->is_bool() ? value->get_bool() : fallback;
}

const json::array* ArrayField(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value == nullptr ? nullptr : value->if_array();
}

const json::object* ObjectField(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value == nullptr ? nullptr : value->if_object();
}

http::Response JsonResponse(int status, const json::value& body) {
  http::Response response;
  response.status = status;
  response.headers.Add("Content-Type", "application/json");
  response.body = json::serialize(body);
  return response;
}

http::Response NotExecuted(int status, std::string_view code, std::string_view message) {
  const json::object error = {{"code", code}, {"message", message}, {"executed", "no"}};
  return JsonResponse(status, json::object{{"error", error}});
}

std::string ToHex(uint64_t number) { return absl::StrCat(absl::Hex(number, absl::kZeroPad16)); }

bool FromHex(std::string_view text, uint64_t* number) {
  return absl::SimpleHexAtoi(util::ToAbsl(text), number);
}

}  // namespace posthatch::emulator
