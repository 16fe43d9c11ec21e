#pragma once

#include <string>

#include "posthatch/server/settings/setting_description.h"

namespace posthatch::server {

// The default as written in a settings file; empty if the setting is required or has no default.
std::string DefaultText(const SettingDescription& setting);

// Returns the contents of docs/operations/settings.md, generated from SettingsTable().
std::string SettingsMarkdown();

}  // namespace posthatch::server
