#include "posthatch/server/settings/settings_table.h"

#include "posthatch/server/settings/setting_tables.h"

namespace posthatch::server {

const std::vector<SettingDescription>& SettingsTable() {
  static const auto* const settings = [] {
    auto* table = new std::vector<SettingDescription>();
    for (const auto& part :
         {NodeTable(), LimitsTable(), GatewayTable(), RoutingTable(), ControllerTable()}) {
      table->insert(table->end(), part.begin(), part.end());
    }
    return table;
  }();
  return *settings;
}

}  // namespace posthatch::server
