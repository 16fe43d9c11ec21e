#include <google/protobuf/descriptor.h>
#include <google/protobuf/dynamic_message.h>
#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <gtest/gtest.h>
#include <xxhash.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/strings/str_cat.h"
#include "posthatch/compatibility/golden_file-test.h"
#include "posthatch/consensus/consensus.pb.h"
#include "posthatch/control/configuration.pb.h"
#include "posthatch/control/control.pb.h"
#include "posthatch/control/traffic.pb.h"
#include "posthatch/fleettest/history/history.pb.h"
#include "posthatch/index/index.pb.h"
#include "posthatch/invalidation/invalidation.pb.h"
#include "posthatch/membership/membership.pb.h"
#include "posthatch/routing/routing.pb.h"
#include "posthatch/runtime/transport.pb.h"
#include "posthatch/storage/log_record.pb.h"

namespace posthatch::compatibility {
namespace {

using google::protobuf::Descriptor;
using google::protobuf::EnumDescriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::FileDescriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;

// The messages of one .proto file. Golden files name it by its label, which stays the same when
// the file is renamed.
struct Schema {
  std::string label;
  const FileDescriptor* file;
  // Whether all messages are printed or parsed as JSON, so that names are part of the format.
  bool json;
};

const std::vector<Schema>& Schemas() {
  static const auto* const schemas = new std::vector<Schema>{
      {"transport", runtime::Envelope::descriptor()->file(), false},
      {"storage", storage::HardState::descriptor()->file(), false},
      {"consensus", consensus::RaftMessage::descriptor()->file(), false},
      {"membership", membership::MembershipMessage::descriptor()->file(), false},
      {"configuration", control::Configuration::descriptor()->file(), true},
      {"traffic-configuration", control::TrafficConfiguration::descriptor()->file(), false},
      {"control", control::Command::descriptor()->file(), false},
      {"channels", invalidation::ChannelEnvelope::descriptor()->file(), false},
      {"index", index::IndexMessage::descriptor()->file(), false},
      {"traffic", routing::TrafficMessage::descriptor()->file(), false},
      {"history", fleettest::HistoryEvent::descriptor()->file(), true},
  };
  return *schemas;
}

// Whether the message is printed or parsed as JSON. Evacuation is, although the other messages of
// its file are not: control/state_views.cc prints it.
bool IsJson(const Schema& schema, const Descriptor* message) {
  return schema.json || message == control::Evacuation::descriptor();
}

std::string LabelOf(const FileDescriptor* file) {
  for (const Schema& schema : Schemas()) {
    if (schema.file == file) return schema.label;
  }
  return "unknown";
}

// Position of a type's declaration, independent of its name: "control/3.0" is the first type nested
// in the fourth message of the file.
template <typename Type>
std::string PositionOf(const Type* type) {
  if (type->containing_type() != nullptr) {
    return absl::StrCat(PositionOf(type->containing_type()), ".", type->index());
  }
  return absl::StrCat(LabelOf(type->file()), "/", type->index());
}

std::string DescribeField(const FieldDescriptor* field, bool json) {
  std::string line =
      absl::StrCat("  ", field->number(), " ", field->type_name(),
                   field->is_repeated() ? " repeated" : "", field->is_packed() ? " packed" : "",
                   field->is_map() ? " map" : "", field->has_presence() ? " presence" : "");
  if (field->real_containing_oneof() != nullptr) {
    absl::StrAppend(&line, " oneof ", field->real_containing_oneof()->index());
  }
  if (field->message_type() != nullptr) {
    absl::StrAppend(&line, " ", PositionOf(field->message_type()));
  }
  if (field->enum_type() != nullptr) {
    absl::StrAppend(&line, " enum ", PositionOf(field->enum_type()));
  }
  if (json) absl::StrAppend(&line, " ", field->name(), " ", field->json_name());
  return line + "\n";
}

std::string DescribeEnum(const EnumDescriptor* type, bool json) {
  std::string text = absl::StrCat("enum ", PositionOf(type), ":");
  for (int i = 0; i < type->value_count(); ++i) {
    absl::StrAppend(&text, " ", type->value(i)->number());
    if (json) absl::StrAppend(&text, " ", type->value(i)->name());
  }
  return text + "\n";
}

std::vector<const FieldDescriptor*> FieldsByNumber(const Descriptor* message) {
  std::vector<const FieldDescriptor*> fields;
  fields.reserve(static_cast<size_t>(message->field_count()));
  for (int i = 0; i < message->field_count(); ++i) fields.push_back(message->field(i));
  std::sort(fields.begin(), fields.end(),
            [](const auto* a, const auto* b) { return a->number() < b->number(); });
  return fields;
}

std::string DescribeMessage(const Schema& schema, const Descriptor* message) {
  const bool json = IsJson(schema, message);
  std::string text = absl::StrCat("message ", PositionOf(message), "\n");
  for (const FieldDescriptor* field : FieldsByNumber(message)) text += DescribeField(field, json);
  for (int i = 0; i < message->enum_type_count(); ++i) {
    text += DescribeEnum(message->enum_type(i), json);
  }
  for (int i = 0; i < message->nested_type_count(); ++i) {
    text += DescribeMessage(schema, message->nested_type(i));
  }
  return text;
}

// Sets every field of `message` to a value that depends on the field number alone. Of a oneof it
// sets the field with index `choice` modulo the number of fields. Nested messages are filled down
// to `depth` levels.
void Fill(Message* message, int choice, int depth);

void FillField(Message* message, const FieldDescriptor* field, int choice, int depth) {
  const Reflection* reflection = message->GetReflection();
  const int number = field->number();
  const std::string text = absl::StrCat("text-", number);
  const int count = field->is_repeated() ? (field->is_map() ? 1 : 2) : 0;
  if (field->cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
    if (depth == 0) return;
    if (count == 0) Fill(reflection->MutableMessage(message, field), choice, depth - 1);
    for (int i = 0; i < count; ++i) {
      Fill(reflection->AddMessage(message, field), choice + i, depth - 1);
    }
    return;
  }
  for (int i = 0; i < std::max(count, 1); ++i) {
    const bool repeated = count > 0;
    switch (field->cpp_type()) {
      case FieldDescriptor::CPPTYPE_INT32:
        repeated ? reflection->AddInt32(message, field, number)
                 : reflection->SetInt32(message, field, number);
        break;
      case FieldDescriptor::CPPTYPE_INT64:
        repeated ? reflection->AddInt64(message, field, -number)
                 : reflection->SetInt64(message, field, -number);
        break;
      case FieldDescriptor::CPPTYPE_UINT32:
        repeated ? reflection->AddUInt32(message, field, static_cast<uint32_t>(number) << 20)
                 : reflection->SetUInt32(message, field, static_cast<uint32_t>(number) << 20);
        break;
      case FieldDescriptor::CPPTYPE_UINT64:
        repeated ? reflection->AddUInt64(message, field, static_cast<uint64_t>(number) << 40)
                 : reflection->SetUInt64(message, field, static_cast<uint64_t>(number) << 40);
        break;
      case FieldDescriptor::CPPTYPE_DOUBLE:
        repeated ? reflection->AddDouble(message, field, number + 0.5)
                 : reflection->SetDouble(message, field, number + 0.5);
        break;
      case FieldDescriptor::CPPTYPE_FLOAT:
        repeated ? reflection->AddFloat(message, field, static_cast<float>(number) + 0.5F)
                 : reflection->SetFloat(message, field, static_cast<float>(number) + 0.5F);
        break;
      case FieldDescriptor::CPPTYPE_BOOL:
        repeated ? reflection->AddBool(message, field, true)
                 : reflection->SetBool(message, field, true);
        break;
      case FieldDescriptor::CPPTYPE_ENUM:
        repeated ? reflection->AddEnumValue(message, field, 1)
                 : reflection->SetEnumValue(message, field, 1);
        break;
      case FieldDescriptor::CPPTYPE_STRING:
        repeated ? reflection->AddString(message, field, text)
                 : reflection->SetString(message, field, text);
        break;
      case FieldDescriptor::CPPTYPE_MESSAGE:
        break;
    }
  }
}

void Fill(Message* message, int choice, int depth) {
  for (const FieldDescriptor* field : FieldsByNumber(message->GetDescriptor())) {
    const auto* oneof = field->real_containing_oneof();
    if (oneof != nullptr && choice % oneof->field_count() != field->index_in_oneof()) continue;
    FillField(message, field, choice, depth);
  }
}

std::string SerializeDeterministic(const Message& message) {
  std::string bytes;
  {
    google::protobuf::io::StringOutputStream stream(&bytes);
    google::protobuf::io::CodedOutputStream coded(&stream);
    coded.SetSerializationDeterministic(true);
    message.SerializeToCodedStream(&coded);
  }
  return bytes;
}

// Serializes one filled message for each field of the largest oneof, so that each field of a oneof
// is written at least once.
std::string DescribeBytes(const Descriptor* descriptor) {
  const Message* prototype =
      google::protobuf::MessageFactory::generated_factory()->GetPrototype(descriptor);
  int choices = 1;
  for (int i = 0; i < descriptor->real_oneof_decl_count(); ++i) {
    choices = std::max(choices, descriptor->oneof_decl(i)->field_count());
  }
  std::string text;
  for (int choice = 0; choice < choices; ++choice) {
    const std::unique_ptr<Message> message(prototype->New());
    Fill(message.get(), choice, /*depth=*/3);
    const std::string bytes = SerializeDeterministic(*message);
    const std::unique_ptr<Message> parsed(prototype->New());
    EXPECT_TRUE(parsed->ParseFromString(bytes)) << descriptor->full_name();
    EXPECT_EQ(SerializeDeterministic(*parsed), bytes) << descriptor->full_name();
    absl::StrAppend(&text, PositionOf(descriptor), " ", choice, ": ", bytes.size(), " bytes ",
                    absl::Hex(XXH3_64bits(bytes.data(), bytes.size()), absl::kZeroPad16), "\n");
  }
  return text;
}

// Number, type and cardinality of every field of every message; names only of JSON messages.
TEST(WireSchemaTest, FieldNumbersTypesAndJsonNamesAreUnchanged) {
  std::string text;
  for (const Schema& schema : Schemas()) {
    for (int i = 0; i < schema.file->enum_type_count(); ++i) {
      text += DescribeEnum(schema.file->enum_type(i), schema.json);
    }
    for (int i = 0; i < schema.file->message_type_count(); ++i) {
      text += DescribeMessage(schema, schema.file->message_type(i));
    }
  }
  ExpectGolden("schema.txt", text);
}

TEST(WireSchemaTest, EveryMessageIsSerializedToTheSameBytes) {
  std::string text;
  for (const Schema& schema : Schemas()) {
    for (int i = 0; i < schema.file->message_type_count(); ++i) {
      text += DescribeBytes(schema.file->message_type(i));
    }
  }
  ExpectGolden("message_bytes.txt", text);
}

}  // namespace
}  // namespace posthatch::compatibility
