#include "posthatch/server/settings/setting_description.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "posthatch/util/string_view.h"

namespace posthatch::server {
namespace {

std::string_view UnitOf(SettingKind kind) {
  switch (kind) {
    case SettingKind::kBytes:
      return "bytes";
    case SettingKind::kMilliseconds:
      return "ms";
    default:
      return "";
  }
}

}  // namespace

bool SettingDescription::AppliesTo(Role role) const {
  if (roles == SettingRoles::kBoth) return true;
  return roles == (role == Role::kGateway ? SettingRoles::kGateway : SettingRoles::kController);
}

std::string SettingDescription::Key() const {
  return absl::StrCat(util::ToAbsl(table), ".", util::ToAbsl(name));
}

std::string SettingDescription::Flag() const {
  return absl::StrCat("--", absl::StrReplaceAll(util::ToAbsl(name), {{"_", "-"}}));
}

std::string AllowedRange(const SettingDescription& setting) {
  switch (setting.kind) {
    case SettingKind::kText:
      return "text without control characters";
    case SettingKind::kName:
      return "1 to 64 of a-z A-Z 0-9 . _ -";
    case SettingKind::kEndpoint:
      return "\"ip:port\" with a definite address";
    case SettingKind::kEndpointList:
      return "up to 3 different \"ip:port\"";
    case SettingKind::kSha256:
      return "empty or 64 hexadecimal digits";
    case SettingKind::kLogLevel:
      return "debug, info, warning or error";
    case SettingKind::kRoutingMode:
      return "prefix_aware or round_robin";
    case SettingKind::kSwitch:
      return "on or off";
    case SettingKind::kDecimal:
      return absl::StrCat("a decimal number in quotes, ", setting.minimum, " to ", setting.maximum);
    case SettingKind::kCount:
    case SettingKind::kBytes:
    case SettingKind::kMilliseconds:
      break;
  }
  const std::string range = absl::StrCat(setting.minimum, " to ", setting.maximum);
  const std::string_view unit = UnitOf(setting.kind);
  return unit.empty() ? range : absl::StrCat(range, " ", util::ToAbsl(unit));
}

}  // namespace posthatch::server
