#include "posthatch/server/settings/settings_loader.h"

#include <toml++/toml.h>

#include <algorithm>
#include <optional>
#include <string_view>

#include "absl/container/btree_map.h"
#include "absl/strings/str_cat.h"
#include "posthatch/server/settings/setting_value.h"
#include "posthatch/server/settings/settings_table.h"

namespace posthatch::server {
namespace {

constexpr const char* kCommandLine = "command line";

// A value and where it was given, for error messages.
struct LocatedValue {
  RawSetting value;
  std::string file;
  int line = 0;
};

// Reads one file and its overrides; collects every error on the way.
class Loader {
 public:
  Loader(Role role, const SettingsSource& source) : role_(role), source_(source) {}

  std::vector<SettingsError> Load(SettingsDraft* draft) {
    if (!ReadFile()) return std::move(errors_);
    ReadOverrides();
    adjust_unusable_values_ = IsOn("node.adjust_unusable_values");
    for (const SettingDescription& setting : SettingsTable()) Store(setting, draft);
    if (errors_.empty()) CheckCombinations(*draft);
    std::stable_sort(errors_.begin(), errors_.end(),
                     [](const auto& a, const auto& b) { return a.line < b.line; });
    return std::move(errors_);
  }

 private:
  void AddError(const std::string& file, int line, const std::string& key, std::string message) {
    errors_.push_back({file, line, key, std::move(message)});
  }

  const SettingDescription* Find(const std::string& key) const {
    for (const SettingDescription& setting : SettingsTable()) {
      if (setting.Key() == key) return &setting;
    }
    return nullptr;
  }

  // Returns false if the file is not TOML: nothing else can be checked then.
  bool ReadFile() {
    try {
      const toml::table document = toml::parse(source_.text, source_.file_name);
      for (const auto& [name, node] : document) ReadTable(std::string(name.str()), node);
      return true;
    } catch (const toml::parse_error& error) {
      AddError(source_.file_name, static_cast<int>(error.source().begin.line), "",
               absl::StrCat("not TOML: ", std::string(error.description())));
      return false;
    }
  }

  static int LineOf(const toml::node& node) { return static_cast<int>(node.source().begin.line); }

  void ReadTable(const std::string& name, const toml::node& node) {
    const toml::table* table = node.as_table();
    const bool known = std::any_of(SettingsTable().begin(), SettingsTable().end(),
                                   [&](const auto& setting) { return setting.table == name; });
    if (table == nullptr || !known) {
      AddError(source_.file_name, LineOf(node), name,
               "unknown; settings belong in [node], [limits], [gateway] or [controller]");
      return;
    }
    for (const auto& [key, value] : *table) {
      ReadValue(absl::StrCat(name, ".", std::string(key.str())), value);
    }
  }

  void ReadValue(const std::string& key, const toml::node& node) {
    const SettingDescription* setting = Find(key);
    if (setting == nullptr || !setting->AppliesTo(role_)) {
      AddError(source_.file_name, LineOf(node), key,
               setting == nullptr ? "unknown setting" : "not a setting of this role");
      values_.insert_or_assign(key, std::nullopt);
      return;
    }
    std::optional<RawSetting> raw = RawFromNode(node);
    if (!raw) {
      AddError(source_.file_name, LineOf(node), key,
               absl::StrCat("must be ", AllowedRange(*setting)));
      values_.insert_or_assign(key, std::nullopt);
      return;
    }
    values_.insert_or_assign(key, LocatedValue{*std::move(raw), source_.file_name, LineOf(node)});
  }

  static std::optional<RawSetting> RawFromNode(const toml::node& node) {
    if (const auto text = node.value_exact<std::string>()) return *text;
    if (const auto number = node.value_exact<int64_t>()) return *number;
    const toml::array* array = node.as_array();
    if (array == nullptr) return std::nullopt;
    std::vector<std::string> list;
    for (const toml::node& item : *array) {
      const auto text = item.value_exact<std::string>();
      if (!text) return std::nullopt;
      list.push_back(*text);
    }
    return list;
  }

  void ReadOverrides() {
    for (const auto& [key, text] : source_.overrides) {
      const SettingDescription* setting = Find(key);
      if (setting == nullptr || !setting->AppliesTo(role_)) {
        AddError(kCommandLine, 0, key, "not a setting of this role");
        continue;
      }
      const auto raw = RawFromText(*setting, text);
      if (raw.ok()) {
        values_.insert_or_assign(key, LocatedValue{*raw, kCommandLine, 0});
      } else {
        AddError(kCommandLine, 0, key, absl::StrCat(raw.status().message()));
        values_.insert_or_assign(key, std::nullopt);
      }
    }
  }

  void Store(const SettingDescription& setting, SettingsDraft* draft) {
    if (!setting.AppliesTo(role_)) return;
    const auto found = values_.find(setting.Key());
    if (found == values_.end()) {
      if (setting.required) {
        AddError(source_.file_name, 0, setting.Key(),
                 absl::StrCat("missing; must be ", AllowedRange(setting)));
      }
      return;
    }
    if (!found->second) return;  // already reported
    const LocatedValue& located = *found->second;
    absl::Status status = StoreSetting(setting, located.value, draft);
    if (status.ok()) return;
    if (MayAdjust(setting, located)) {
      Adjust(setting, located.value, draft);
    } else {
      AddError(located.file, located.line, setting.Key(), absl::StrCat(status.message()));
    }
  }

  bool IsOn(const std::string& key) const {
    const auto found = values_.find(key);
    return found != values_.end() && found->second && found->second->value == RawSetting("on");
  }

  // A flag was typed by an operator, who is told of the error.
  bool MayAdjust(const SettingDescription& setting, const LocatedValue& located) const {
    return adjust_unusable_values_ && IsAdjustable(setting.kind) && located.file != kCommandLine;
  }

  // Stores the allowed value that is nearest to `given`, or leaves the default.
  static void Adjust(const SettingDescription& setting, const RawSetting& given,
                     SettingsDraft* draft) {
    const std::optional<RawSetting> nearest = NearestAllowedValue(setting, given);
    const bool stored = nearest && StoreSetting(setting, *nearest, draft).ok();
    draft->node.adjusted.push_back(
        {setting.Key(), TextOf(given), stored ? TextOf(*nearest) : "default"});
  }

  // Checks rules that involve several settings.
  void CheckCombinations(const SettingsDraft& draft) {
    const bool any_port = draft.node.http_endpoint.ends_with(":0");
    if (draft.node.internal_endpoint == draft.node.http_endpoint && !any_port) {
      const auto& located = values_.find("node.http_endpoint")->second;
      AddError(located->file, located->line, "node.http_endpoint",
               "must differ from node.internal_endpoint");
    }
  }

  const Role role_;
  const SettingsSource& source_;
  std::vector<SettingsError> errors_;
  bool adjust_unusable_values_ = false;
  // Keyed by setting key; nullopt if an error of this setting has been reported.
  absl::btree_map<std::string, std::optional<LocatedValue>> values_;
};

}  // namespace

std::string SettingsError::ToString() const {
  std::string text = file;
  if (line > 0) absl::StrAppend(&text, ":", line);
  if (!key.empty()) absl::StrAppend(&text, ": ", key);
  absl::StrAppend(&text, ": ", message);
  return text;
}

std::vector<SettingsError> LoadGatewaySettings(const SettingsSource& source,
                                               GatewaySettings* settings) {
  SettingsDraft draft;
  std::vector<SettingsError> errors = Loader(Role::kGateway, source).Load(&draft);
  if (!errors.empty()) return errors;
  *settings = draft.gateway;
  settings->node = draft.node;
  settings->limits = draft.limits;
  return errors;
}

std::vector<SettingsError> LoadControllerSettings(const SettingsSource& source,
                                                  ControllerSettings* settings) {
  SettingsDraft draft;
  std::vector<SettingsError> errors = Loader(Role::kController, source).Load(&draft);
  if (!errors.empty()) return errors;
  *settings = draft.controller;
  settings->node = draft.node;
  settings->limits = draft.limits;
  return errors;
}

}  // namespace posthatch::server
