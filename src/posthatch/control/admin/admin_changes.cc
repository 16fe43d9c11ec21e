#include "posthatch/control/admin/admin_changes.h"

#include <google/protobuf/util/json_util.h>

#include <boost/json.hpp>

#include "absl/status/status.h"
#include "absl/strings/str_cat.h"
#include "posthatch/control/server/state_views.h"

namespace posthatch::control {
namespace {

constexpr size_t kMaxRequestIdLength = 128;
constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;
constexpr int kStatusGone = 410;

// Reads the fields of a JSON object and keeps the first error; unknown fields are errors.
class FieldReader {
 public:
  explicit FieldReader(const boost::json::object& object) : object_(object) {}

  std::string Text(std::string_view name) {
    const boost::json::value* value = Consume(name);
    if (value == nullptr) return {};
    if (value->is_string()) return {value->get_string().data(), value->get_string().size()};
    Fail(name, "must be a string");
    return {};
  }

  uint64_t Number(std::string_view name) {
    const boost::json::value* value = Consume(name);
    if (value == nullptr) return 0;
    boost::json::error_code error;
    const uint64_t number = value->is_number() ? value->to_number<uint64_t>(error) : 0;
    if (!value->is_number() || error) Fail(name, "must be a whole number, 0 or more");
    return number;
  }

  bool Flag(std::string_view name) {
    const boost::json::value* value = Consume(name);
    if (value == nullptr) return false;
    if (!value->is_bool()) Fail(name, "must be true or false");
    return value->is_bool() && value->get_bool();
  }

  // Parses a field in protobuf's JSON mapping; false if it is missing.
  bool Message(std::string_view name, google::protobuf::Message* message) {
    const boost::json::value* value = Consume(name);
    if (value == nullptr) return false;
    const auto status =
        google::protobuf::util::JsonStringToMessage(boost::json::serialize(*value), message);
    if (!status.ok()) Fail(name, status.message().as_string());
    return true;
  }

  absl::Status Finish() const {
    if (!error_.empty()) return absl::InvalidArgumentError(error_);
    if (consumed_ != object_.size()) {
      return absl::InvalidArgumentError("body: unknown or wrong fields");
    }
    return absl::OkStatus();
  }

 private:
  const boost::json::value* Consume(std::string_view name) {
    const boost::json::value* value = object_.if_contains(name);
    if (value != nullptr) ++consumed_;
    return value;
  }
  void Fail(std::string_view name, std::string_view rule) {
    if (error_.empty()) error_ = std::string(name) + ": " + std::string(rule);
  }

  const boost::json::object& object_;
  size_t consumed_ = 0;
  std::string error_;
};

void ReadConfigurationChange(FieldReader* fields, ChangeConfiguration* change) {
  change->set_expected_version(fields->Number("expected_version"));
  Configuration configuration;
  ConfigurationPatch patch;
  if (fields->Message("configuration", &configuration)) {
    *change->mutable_whole() = std::move(configuration);
  } else if (fields->Message("patch", &patch)) {
    *change->mutable_patch() = std::move(patch);
  } else if (const uint64_t version = fields->Number("roll_back_to"); version != 0) {
    change->set_roll_back_to(version);
  }
}

void ReadEvacuation(FieldReader* fields, SetEvacuation* command) {
  command->mutable_evacuation()->set_name(fields->Text("name"));
  fields->Message("selector", command->mutable_evacuation()->mutable_selector());
  command->set_lifted(fields->Flag("lifted"));
}

void ReadRevision(FieldReader* fields, SetModelRevision* command) {
  command->set_model(fields->Text("model"));
  command->set_weights(fields->Text("weights"));
  command->set_expected_revision(fields->Number("expected_revision"));
}

boost::json::array ToArray(const google::protobuf::RepeatedPtrField<std::string>& lines) {
  boost::json::array array;
  for (const std::string& line : lines) array.emplace_back(line);
  return array;
}

http::Response JsonResponse(int status, const boost::json::object& body) {
  http::Response response;
  response.status = status;
  response.headers.Add("Content-Type", "application/json");
  response.body = boost::json::serialize(body);
  return response;
}

http::Response RenderAcknowledged(const Command& command, const CommandResult& result) {
  boost::json::object body{{"acknowledged", true}, {"log_index", result.log_index()}};
  if (command.has_change_configuration()) body["version"] = result.version();
  if (command.has_set_model_revision()) body["revision"] = result.version();
  return JsonResponse(kStatusOk, body);
}

// HTTP status and error code of a rejected change.
struct ErrorStatus {
  int http_status;
  std::string_view code;
};

ErrorStatus StatusOf(CommandResult::Code code) {
  switch (code) {
    case CommandResult::VERSION_CONFLICT:
      return {kStatusConflict, "version_conflict"};
    case CommandResult::REQUEST_ID_REUSED:
      return {kStatusConflict, "request_id_reused"};
    case CommandResult::NOT_FOUND:
      return {kStatusNotFound, "not_found"};
    case CommandResult::WINDOW_PASSED:
      return {kStatusGone, "window_passed"};
    default:
      return {kStatusBadRequest, "invalid"};
  }
}

}  // namespace

absl::StatusOr<Command> ParseChange(std::string_view name, const std::string& body) {
  boost::json::error_code error;
  const boost::json::value document = boost::json::parse(body, error);
  if (error || !document.is_object()) {
    return absl::InvalidArgumentError("body: must be a JSON object");
  }
  FieldReader fields(document.get_object());
  Command command;
  command.set_request_id(fields.Text("request_id"));
  if (name == "configuration") {
    ReadConfigurationChange(&fields, command.mutable_change_configuration());
  } else if (name == "evacuations") {
    ReadEvacuation(&fields, command.mutable_set_evacuation());
  } else if (name == "model-revisions") {
    ReadRevision(&fields, command.mutable_set_model_revision());
  } else {
    return absl::NotFoundError("no such change");
  }
  absl::Status status = fields.Finish();
  if (!status.ok()) return status;
  if (command.request_id().empty() || command.request_id().size() > kMaxRequestIdLength) {
    return absl::InvalidArgumentError("request_id: 1 to 128 characters");
  }
  return command;
}

http::Response RenderResult(const Command& command, const CommandResult& result) {
  if (result.code() == CommandResult::OK) return RenderAcknowledged(command, result);
  const ErrorStatus error = StatusOf(result.code());
  const std::string code(error.code);
  const std::string message =
      result.errors().empty() ? code : absl::StrCat(code, ": ", result.errors(0));
  boost::json::object body{{"error", boost::json::object{{"code", code}, {"message", message}}}};
  if (!result.errors().empty()) body["errors"] = ToArray(result.errors());
  if (result.code() == CommandResult::VERSION_CONFLICT) {
    body["version"] = result.version();
    body["request_id"] = result.winner_request_id();
    body["differences"] = ToArray(result.differences());
  }
  return JsonResponse(error.http_status, body);
}

http::Response RenderError(int status, std::string_view code, std::string_view message,
                           bool retry) {
  http::Response response;
  response.status = status;
  response.headers.Add("Content-Type", "application/json");
  if (retry) response.headers.Add("Retry-After", "1");
  response.body = ErrorJson(code, message);
  return response;
}

}  // namespace posthatch::control
