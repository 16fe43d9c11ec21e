#pragma once

#include <string>

#include "posthatch/server/settings/setting_description.h"

namespace posthatch::server {

// The default as it would stand in the file; empty if the setting is required or empty.
std::string DefaultText(const SettingDescription& setting);

// docs/operations/settings.md, made from the settings' table.
std::string SettingsMarkdown();

}  // namespace posthatch::server
