#include "posthatch/server/settings/settings_page.h"

#include "absl/strings/str_cat.h"
#include "posthatch/server/settings/settings_table.h"
#include "posthatch/util/string_view.h"

namespace posthatch::server {
namespace {

constexpr const char* kIntroduction =
    "# Settings\n\n"
    "<!-- Made by `posthatchd settings-table`; do not edit. -->\n\n"
    "`posthatchd gateway|controller --config FILE` reads a TOML file; every setting is also a\n"
    "flag, which overrides the file (`[node] zone` is `--zone`; lists are separated by commas).\n"
    "Unknown keys are errors. All errors are told at once, with file, line, key and allowed\n"
    "range; the exit code is then 2 and nothing was started. `--check-config` only checks.\n";

std::string_view RolesOf(const SettingDescription& setting) {
  switch (setting.roles) {
    case SettingRoles::kBoth:
      return "both";
    case SettingRoles::kGateway:
      return "gateway";
    case SettingRoles::kController:
      return "controller";
  }
  return "";
}

struct DefaultFormatter {
  std::string operator()(const std::string* text) const {
    return text->empty() ? "" : absl::StrCat("\"", *text, "\"");
  }
  std::string operator()(const std::vector<std::string>*) const { return "[]"; }
  std::string operator()(const uint32_t* number) const { return absl::StrCat(*number); }
  std::string operator()(const uint64_t* number) const { return absl::StrCat(*number); }
  std::string operator()(const bool* flag) const { return *flag ? "\"on\"" : "\"off\""; }
  std::string operator()(const double* number) const { return absl::StrCat("\"", *number, "\""); }
  std::string operator()(const runtime::Duration* duration) const {
    return absl::StrCat(std::chrono::duration_cast<std::chrono::milliseconds>(*duration).count());
  }
  std::string operator()(const gateway::RoutingMode* mode) const {
    return absl::StrCat("\"", util::ToAbsl(gateway::RoutingModeName(*mode)), "\"");
  }
  // Only the default level is ever formatted.
  std::string operator()(const runtime::Severity*) const { return "\"info\""; }
};

// One line of the page's table for `setting`.
std::string SettingRow(const SettingDescription& setting) {
  const std::string standard = DefaultText(setting);
  std::string shown_default = "required";
  if (!setting.required) {
    shown_default = standard.empty() ? "empty" : absl::StrCat("`", standard, "`");
  }
  return absl::StrCat("| `", util::ToAbsl(setting.name), "` | ", util::ToAbsl(RolesOf(setting)),
                      " | ", AllowedRange(setting), " | ", shown_default, " | ",
                      util::ToAbsl(setting.help), " |\n");
}

}  // namespace

std::string DefaultText(const SettingDescription& setting) {
  if (setting.required) return "";
  SettingsDraft defaults;
  return std::visit(DefaultFormatter(), setting.target(&defaults));
}

std::string SettingsMarkdown() {
  std::string page = kIntroduction;
  std::string_view table;
  for (const SettingDescription& setting : SettingsTable()) {
    if (setting.table != table) {
      table = setting.table;
      absl::StrAppend(&page, "\n## [", util::ToAbsl(table), "]\n\n",
                      "| key | role | allowed | default | meaning |\n|---|---|---|---|---|\n");
    }
    absl::StrAppend(&page, SettingRow(setting));
  }
  return page;
}

}  // namespace posthatch::server
