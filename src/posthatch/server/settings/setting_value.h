#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "posthatch/server/settings/setting_description.h"

namespace posthatch::server {

// A value from the file or a flag, before it is checked.
using RawSetting = std::variant<std::string, int64_t, std::vector<std::string>>;

// Converts a flag's text to the value a file would have. Errors: InvalidArgument.
absl::StatusOr<RawSetting> RawFromText(const SettingDescription& setting, const std::string& text);

// Checks `value` against the setting's kind and range and stores it. Errors: InvalidArgument, with
// the allowed range and the value in the message.
absl::Status StoreSetting(const SettingDescription& setting, const RawSetting& value,
                          SettingsDraft* draft);

// Whether values of this kind that can't be used may be replaced: durations and decimal numbers,
// for which another value comes close to the given one.
bool IsAdjustable(SettingKind kind);

// Returns the value in the range of an adjustable setting that is nearest to `value`; nullopt if
// `value` can't be read.
std::optional<RawSetting> NearestAllowedValue(const SettingDescription& setting,
                                              const RawSetting& value);

// Returns the value as it stands in a message.
std::string TextOf(const RawSetting& value);

}  // namespace posthatch::server
