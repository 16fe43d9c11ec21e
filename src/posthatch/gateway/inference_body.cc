#include "posthatch/gateway/inference_body.h"

#include <boost/json.hpp>

namespace posthatch::gateway {
namespace {

// Large enough that most bodies are parsed without heap allocation.
constexpr size_t kParseBufferBytes = size_t{8} * 1024;

absl::Status InvalidBody(const char* what) { return absl::InvalidArgumentError(what); }

const boost::json::string* FindString(const boost::json::object& object, std::string_view name) {
  const boost::json::value* field = object.if_contains(name);
  return field == nullptr ? nullptr : field->if_string();
}

void AppendLine(const boost::json::string& text, std::string* prompt) {
  prompt->append(text.data(), text.size());
  prompt->push_back('\n');
}

absl::Status AppendMessages(const boost::json::object& body, std::string* prompt) {
  const boost::json::value* messages = body.if_contains("messages");
  if (messages == nullptr || !messages->is_array() || messages->get_array().empty()) {
    return InvalidBody("\"messages\" must be a list that is not empty");
  }
  for (const boost::json::value& message : messages->get_array()) {
    if (!message.is_object()) return InvalidBody("a message must be an object");
    const boost::json::string* role = FindString(message.get_object(), "role");
    const boost::json::string* content = FindString(message.get_object(), "content");
    if (role == nullptr || content == nullptr) {
      return InvalidBody("a message needs the texts \"role\" and \"content\"");
    }
    AppendLine(*role, prompt);
    AppendLine(*content, prompt);
  }
  return absl::OkStatus();
}

}  // namespace

absl::StatusOr<InferenceBody> ParseInferenceBody(std::string_view body, bool chat) {
  unsigned char buffer[kParseBufferBytes];
  boost::json::monotonic_resource memory(buffer);
  boost::json::error_code error;
  const boost::json::value parsed = boost::json::parse(body, error, &memory);
  if (error || !parsed.is_object()) return InvalidBody("the body must be a JSON object");
  const boost::json::object& fields = parsed.get_object();
  const boost::json::string* model = FindString(fields, "model");
  if (model == nullptr || model->empty()) return InvalidBody("\"model\" must be a text");
  InferenceBody result;
  result.model.assign(model->data(), model->size());
  result.chat = chat;
  if (const boost::json::value* stream = fields.if_contains("stream")) {
    if (!stream->is_bool()) return InvalidBody("\"stream\" must be true or false");
    result.stream = stream->get_bool();
  }
  if (chat) {
    if (absl::Status status = AppendMessages(fields, &result.prompt); !status.ok()) return status;
    return result;
  }
  const boost::json::string* prompt = FindString(fields, "prompt");
  if (prompt == nullptr) return InvalidBody("\"prompt\" must be a text");
  result.prompt.assign(prompt->data(), prompt->size());
  return result;
}

}  // namespace posthatch::gateway
