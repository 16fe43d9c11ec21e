#pragma once

#include <vector>

#include "posthatch/server/settings/setting_description.h"

namespace posthatch::server {

// Every setting of both roles, in the order of the documentation. Thread-safe.
const std::vector<SettingDescription>& SettingsTable();

}  // namespace posthatch::server
