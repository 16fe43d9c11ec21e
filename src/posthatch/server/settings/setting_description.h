#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "posthatch/server/settings/node_settings.h"

namespace posthatch::server {

enum class Role { kGateway, kController };

// Settings under construction while a file is read; `node` and `limits` are copied into the role's
// settings at the end.
struct SettingsDraft {
  NodeSettings node;
  http::ServerLimits limits;
  GatewaySettings gateway;
  ControllerSettings controller;
};

// The type of a setting, which its value is checked against.
enum class SettingKind {
  kText,          // any text without control characters
  kName,          // 1 to 64 of a-z A-Z 0-9 . _ -
  kEndpoint,      // "ip:port", not an unspecified address
  kEndpointList,  // up to three of them, all different
  kSha256,        // empty, or 64 hexadecimal digits
  kLogLevel,      // debug, info, warning, error
  kRoutingMode,   // prefix_aware, round_robin
  kSwitch,        // on, off
  kCount,         // whole number
  kDecimal,       // decimal number, 0 or more, written as text
  kBytes,         // whole number of bytes
  kMilliseconds,  // whole number of milliseconds, or a text with its unit ("7.5s")
};

using SettingTarget =
    std::variant<std::string*, std::vector<std::string>*, uint32_t*, uint64_t*, double*, bool*,
                 runtime::Duration*, runtime::Severity*, gateway::RoutingMode*>;

// Which processes have a setting.
enum class SettingRoles { kBoth, kGateway, kController };

// One setting. Its key in the file is `table`.`name`; its flag is --name with '-' for '_'. Its
// default is that of the field that `target` points to.
struct SettingDescription {
  std::string_view table;
  std::string_view name;
  SettingKind kind;
  bool required = false;
  SettingRoles roles = SettingRoles::kBoth;
  int64_t minimum = 0;  // inclusive range of numeric settings
  int64_t maximum = 0;
  SettingTarget (*target)(SettingsDraft*);  // the field that stores the value
  std::string_view help;

  bool AppliesTo(Role role) const;
  std::string Key() const;
  std::string Flag() const;  // with leading "--"
};

// Returns for example "1024 to 65536 bytes", for error messages and the documentation.
std::string AllowedRange(const SettingDescription& setting);

}  // namespace posthatch::server
