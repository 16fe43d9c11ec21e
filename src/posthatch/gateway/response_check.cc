#include "posthatch/gateway/response_check.h"

#include <xxhash.h>

#include <boost/json.hpp>
#include <charconv>

#include "posthatch/gateway/response_fields.h"

namespace posthatch::gateway {
namespace {

absl::Status InvalidResponse(const char* what) { return absl::DataLossError(what); }

// The text of the first choice; empty if there is none.
std::string_view FirstText(const boost::json::object& response) {
  const boost::json::value* choices = response.if_contains("choices");
  if (choices == nullptr || !choices->is_array() || choices->get_array().empty()) return {};
  const boost::json::value& choice = choices->get_array().front();
  if (!choice.is_object()) return {};
  if (choice.get_object().contains("text")) return StringField(choice.get_object(), "text");
  const boost::json::value* message = choice.get_object().if_contains("message");
  if (message == nullptr || !message->is_object()) return {};
  return StringField(message->get_object(), "content");
}

bool ChecksumMatches(std::string_view checksum, std::string_view text) {
  uint64_t expected = 0;
  const char* const end = checksum.data() + checksum.size();
  const auto [parsed, error] = std::from_chars(checksum.data(), end, expected, 16);
  return error == std::errc() && parsed == end && expected == XXH3_64bits(text.data(), text.size());
}

}  // namespace

absl::Status CheckCompletionBody(std::string_view body, std::string_view request_id) {
  boost::json::error_code error;
  const boost::json::value parsed = boost::json::parse(body, error);
  if (error || !parsed.is_object()) return InvalidResponse("the response is not a JSON object");
  const boost::json::object& response = parsed.get_object();
  if (StringField(response, "request_id") != request_id) {
    return InvalidResponse("the response is for another request");
  }
  if (StringField(response, "id").empty()) return InvalidResponse("the response has no run id");
  const boost::json::value* choices = response.if_contains("choices");
  if (choices == nullptr || !choices->is_array() || choices->get_array().empty()) {
    return InvalidResponse("the response has no choices");
  }
  const std::string_view checksum = StringField(response, "checksum");
  if (!checksum.empty() && !ChecksumMatches(checksum, FirstText(response))) {
    return InvalidResponse("checksum mismatch in the response");
  }
  return absl::OkStatus();
}

absl::Status CheckServiceBody(std::string_view body, std::string_view request_id,
                              std::string_view operation) {
  boost::json::error_code error;
  const boost::json::value parsed = boost::json::parse(body, error);
  if (error || !parsed.is_object()) return InvalidResponse("the response is not a JSON object");
  const boost::json::object& response = parsed.get_object();
  if (StringField(response, "request_id") != request_id) {
    return InvalidResponse("the response is for another request");
  }
  if (StringField(response, "operation") != operation) {
    return InvalidResponse("the response is for another operation");
  }
  return absl::OkStatus();
}

bool GuaranteesNotExecuted(const http::Response& response) {
  if (response.status < 400) return false;
  boost::json::error_code error;
  const boost::json::value parsed = boost::json::parse(response.body, error);
  if (error || !parsed.is_object()) return false;
  const boost::json::value* fields = parsed.get_object().if_contains("error");
  if (fields != nullptr && fields->is_object()) {
    return StringField(fields->get_object(), "executed") == "no";
  }
  return StringField(parsed.get_object(), "executed") == "no";
}

}  // namespace posthatch::gateway
