#pragma once

#include <string>
#include <vector>

#include "posthatch/server/settings/node_settings.h"

namespace posthatch::server {

// An error in the settings.
struct SettingsError {
  std::string file;  // "command line" for flags
  int line = 0;      // 0 for a missing key or a flag
  std::string key;   // empty for a file that can't be read as TOML
  std::string message;

  // "gateway.toml:12: limits.max_body_bytes: must be ..., is 3"
  std::string ToString() const;
};

// A flag on the command line, which overrides the file.
struct SettingOverride {
  std::string key;  // "node.zone"
  std::string text;
};

struct SettingsSource {
  std::string file_name;  // shown in error messages
  std::string text;       // TOML
  std::vector<SettingOverride> overrides;
};

// Check a complete settings file and the flags that override it, and fill `settings` if there is no
// error. Return every error found (only the first if the file is not TOML).
std::vector<SettingsError> LoadGatewaySettings(const SettingsSource& source,
                                               GatewaySettings* settings);
std::vector<SettingsError> LoadControllerSettings(const SettingsSource& source,
                                                  ControllerSettings* settings);

}  // namespace posthatch::server
