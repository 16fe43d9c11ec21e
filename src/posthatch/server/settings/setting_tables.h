#pragma once

#include <cstdint>
#include <vector>

#include "posthatch/server/settings/setting_description.h"

// The settings, one table of the settings file a function, each in a file of its own. Private to
// settings_table.cc, which puts them together.
namespace posthatch::server {

inline constexpr int64_t kKibibyte = 1024;
inline constexpr int64_t kMebibyte = 1024 * kKibibyte;
inline constexpr int64_t kGibibyte = 1024 * kMebibyte;
inline constexpr int64_t kMinuteMs = 60'000;

std::vector<SettingDescription> NodeTable();
std::vector<SettingDescription> LimitsTable();
std::vector<SettingDescription> GatewayTable();
// The mechanisms of routed traffic, each a switch; off only to measure what it is worth.
std::vector<SettingDescription> RoutingTable();
std::vector<SettingDescription> ControllerTable();

}  // namespace posthatch::server
