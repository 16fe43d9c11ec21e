#include "posthatch/server/settings/setting_value.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <optional>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "posthatch/net/endpoint_check.h"
#include "posthatch/net/json_trace_sink.h"
#include "posthatch/server/settings/duration_text.h"
#include "posthatch/util/string_view.h"

namespace posthatch::server {
namespace {

constexpr size_t kMaxNameLength = 64;
constexpr size_t kMaxTextLength = 4096;
constexpr size_t kMaxSeeds = 3;
constexpr size_t kSha256Digits = 64;

struct RawFormatter {
  std::string operator()(const std::string& text) const { return absl::StrCat("\"", text, "\""); }
  std::string operator()(int64_t number) const { return absl::StrCat(number); }
  std::string operator()(const std::vector<std::string>& list) const {
    return absl::StrCat("[", absl::StrJoin(list, ", "), "]");
  }
};

absl::Status InvalidValueError(const SettingDescription& setting, const RawSetting& value) {
  return absl::InvalidArgumentError(
      absl::StrCat("must be ", AllowedRange(setting), ", is ", TextOf(value)));
}

bool IsName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return absl::ascii_isalnum(c) || c == '.' || c == '_' || c == '-';
         });
}

bool IsText(const std::string& text) {
  return text.size() <= kMaxTextLength &&
         std::none_of(text.begin(), text.end(), [](unsigned char c) { return c < 0x20; });
}

bool IsSha256(const std::string& text) {
  return text.empty() || (text.size() == kSha256Digits &&
                          std::all_of(text.begin(), text.end(),
                                      [](unsigned char c) { return absl::ascii_isxdigit(c); }));
}

bool IsValidText(SettingKind kind, const std::string& text) {
  switch (kind) {
    case SettingKind::kName:
      return IsName(text);
    case SettingKind::kEndpoint:
      return net::IsConnectableEndpoint(text);
    case SettingKind::kSha256:
      return IsSha256(text);
    default:
      return IsText(text);
  }
}

absl::Status StoreText(const SettingDescription& setting, const RawSetting& value,
                       SettingTarget target) {
  const auto* text = std::get_if<std::string>(&value);
  if (text == nullptr || !IsValidText(setting.kind, *text))
    return InvalidValueError(setting, value);
  if (setting.required && text->empty()) return InvalidValueError(setting, value);
  std::string stored = *text;
  if (setting.kind == SettingKind::kSha256) absl::AsciiStrToLower(&stored);
  *std::get<std::string*>(target) = std::move(stored);
  return absl::OkStatus();
}

absl::Status StoreSwitch(const SettingDescription& setting, const RawSetting& value,
                         SettingTarget target) {
  const auto* text = std::get_if<std::string>(&value);
  if (text == nullptr || (*text != "on" && *text != "off"))
    return InvalidValueError(setting, value);
  *std::get<bool*>(target) = *text == "on";
  return absl::OkStatus();
}

absl::Status StoreLogLevel(const SettingDescription& setting, const RawSetting& value,
                           SettingTarget target) {
  const auto* text = std::get_if<std::string>(&value);
  if (text == nullptr) return InvalidValueError(setting, value);
  const auto level = net::ParseSeverity(*text);
  if (!level.ok()) return InvalidValueError(setting, value);
  *std::get<runtime::Severity*>(target) = *level;
  return absl::OkStatus();
}

absl::Status StoreRoutingMode(const SettingDescription& setting, const RawSetting& value,
                              SettingTarget target) {
  const auto* text = std::get_if<std::string>(&value);
  if (text == nullptr) return InvalidValueError(setting, value);
  const std::optional<gateway::RoutingMode> mode = gateway::ParseRoutingMode(*text);
  if (!mode) return InvalidValueError(setting, value);
  *std::get<gateway::RoutingMode*>(target) = *mode;
  return absl::OkStatus();
}

absl::Status StoreEndpoints(const SettingDescription& setting, const RawSetting& value,
                            SettingTarget target) {
  const auto* list = std::get_if<std::vector<std::string>>(&value);
  if (list == nullptr || list->size() > kMaxSeeds) return InvalidValueError(setting, value);
  const absl::flat_hash_set<std::string> unique(list->begin(), list->end());
  if (unique.size() != list->size() ||
      !std::all_of(list->begin(), list->end(), net::IsConnectableEndpoint)) {
    return InvalidValueError(setting, value);
  }
  *std::get<std::vector<std::string>*>(target) = *list;
  return absl::OkStatus();
}

absl::Status StoreNumber(const SettingDescription& setting, const RawSetting& value,
                         SettingTarget target) {
  const auto* number = std::get_if<int64_t>(&value);
  if (number == nullptr || *number < setting.minimum || *number > setting.maximum) {
    return InvalidValueError(setting, value);
  }
  if (auto* const* uint32_target = std::get_if<uint32_t*>(&target)) {
    **uint32_target = static_cast<uint32_t>(*number);
  } else {
    *std::get<uint64_t*>(target) = static_cast<uint64_t>(*number);
  }
  return absl::OkStatus();
}

// A number is in milliseconds; a text has its unit.
std::optional<absl::Duration> ReadDuration(const RawSetting& value) {
  if (const auto* number = std::get_if<int64_t>(&value)) return absl::Milliseconds(*number);
  if (const auto* text = std::get_if<std::string>(&value)) return ParseDurationText(*text);
  return std::nullopt;
}

absl::Status StoreDuration(const SettingDescription& setting, const RawSetting& value,
                           SettingTarget target) {
  const std::optional<absl::Duration> duration = ReadDuration(value);
  if (!duration || *duration < absl::Milliseconds(setting.minimum) ||
      *duration > absl::Milliseconds(setting.maximum)) {
    return InvalidValueError(setting, value);
  }
  *std::get<runtime::Duration*>(target) = absl::ToChronoNanoseconds(*duration);
  return absl::OkStatus();
}

std::optional<double> ReadDecimal(const RawSetting& value) {
  const auto* text = std::get_if<std::string>(&value);
  double number = 0;
  if (text == nullptr || !absl::SimpleAtod(*text, &number) || std::isnan(number)) {
    return std::nullopt;
  }
  return number;
}

absl::Status StoreDecimal(const SettingDescription& setting, const RawSetting& value,
                          SettingTarget target) {
  const std::optional<double> number = ReadDecimal(value);
  if (!number || *number < static_cast<double>(setting.minimum) ||
      *number > static_cast<double>(setting.maximum)) {
    return InvalidValueError(setting, value);
  }
  *std::get<double*>(target) = *number;
  return absl::OkStatus();
}

std::optional<RawSetting> NearestDuration(const SettingDescription& setting,
                                          const RawSetting& value) {
  const std::optional<absl::Duration> duration = ReadDuration(value);
  if (!duration) return std::nullopt;
  if (*duration < absl::Milliseconds(setting.minimum)) return setting.minimum;
  if (*duration > absl::Milliseconds(setting.maximum)) return setting.maximum;
  return value;
}

std::optional<RawSetting> NearestDecimal(const SettingDescription& setting,
                                         const RawSetting& value) {
  const std::optional<double> number = ReadDecimal(value);
  if (!number) return std::nullopt;
  if (*number < static_cast<double>(setting.minimum)) return absl::StrCat(setting.minimum);
  if (*number > static_cast<double>(setting.maximum)) return absl::StrCat(setting.maximum);
  return value;
}

}  // namespace

absl::StatusOr<RawSetting> RawFromText(const SettingDescription& setting, const std::string& text) {
  switch (setting.kind) {
    case SettingKind::kCount:
    case SettingKind::kBytes: {
      int64_t number = 0;
      if (!absl::SimpleAtoi(text, &number)) return InvalidValueError(setting, text);
      return number;
    }
    case SettingKind::kMilliseconds: {
      int64_t number = 0;
      if (absl::SimpleAtoi(text, &number)) return number;
      return text;
    }
    case SettingKind::kEndpointList:
      return std::vector<std::string>(absl::StrSplit(text, ',', absl::SkipEmpty()));
    default:
      return text;
  }
}

absl::Status StoreSetting(const SettingDescription& setting, const RawSetting& value,
                          SettingsDraft* draft) {
  const SettingTarget target = setting.target(draft);
  switch (setting.kind) {
    case SettingKind::kText:
    case SettingKind::kName:
    case SettingKind::kEndpoint:
    case SettingKind::kSha256:
      return StoreText(setting, value, target);
    case SettingKind::kRoutingMode:
      return StoreRoutingMode(setting, value, target);
    case SettingKind::kSwitch:
      return StoreSwitch(setting, value, target);
    case SettingKind::kLogLevel:
      return StoreLogLevel(setting, value, target);
    case SettingKind::kDecimal:
      return StoreDecimal(setting, value, target);
    case SettingKind::kEndpointList:
      return StoreEndpoints(setting, value, target);
    case SettingKind::kCount:
    case SettingKind::kBytes:
      return StoreNumber(setting, value, target);
    case SettingKind::kMilliseconds:
      return StoreDuration(setting, value, target);
  }
  return absl::InternalError("unknown kind of setting");
}

bool IsAdjustable(SettingKind kind) {
  return kind == SettingKind::kMilliseconds || kind == SettingKind::kDecimal;
}

std::optional<RawSetting> NearestAllowedValue(const SettingDescription& setting,
                                              const RawSetting& value) {
  return setting.kind == SettingKind::kMilliseconds ? NearestDuration(setting, value)
                                                    : NearestDecimal(setting, value);
}

std::string TextOf(const RawSetting& value) { return std::visit(RawFormatter(), value); }

}  // namespace posthatch::server
