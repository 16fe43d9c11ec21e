#pragma once

#include <cstdint>
#include <vector>

#include "posthatch/server/settings/setting_description.h"

// The settings, one function for each table of the settings file, each in its own source file.
// Private to settings_table.cc, which joins them.
namespace posthatch::server {

inline constexpr int64_t kKibibyte = 1024;
inline constexpr int64_t kMebibyte = 1024 * kKibibyte;
inline constexpr int64_t kGibibyte = 1024 * kMebibyte;
inline constexpr int64_t kMinuteMs = 60'000;
inline constexpr int64_t kHourMs = 60 * kMinuteMs;
inline constexpr int64_t kDayMs = 24 * kHourMs;

std::vector<SettingDescription> NodeTable();
std::vector<SettingDescription> LimitsTable();
std::vector<SettingDescription> GatewayTable();
// Switches of the routing mechanisms, turned off only to measure their effect.
std::vector<SettingDescription> RoutingTable();
std::vector<SettingDescription> ControllerTable();

}  // namespace posthatch::server
