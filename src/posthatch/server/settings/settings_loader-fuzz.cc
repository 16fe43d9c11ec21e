// Fuzzes the settings loader: any text as a settings file, and a flag from the same bytes, must
// give settings or errors, never a crash.
#include <cstddef>
#include <cstdint>
#include <string>

#include "posthatch/server/settings/settings_loader.h"
#include "posthatch/server/settings/settings_table.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using posthatch::server::SettingsTable;
  const std::string text(reinterpret_cast<const char*>(data), size);
  posthatch::server::SettingsSource source{"fuzz.toml", text, {}};
  if (size > 0) {
    const auto& setting = SettingsTable()[data[0] % SettingsTable().size()];
    source.overrides.push_back({setting.Key(), text.substr(1)});
  }
  posthatch::server::GatewaySettings gateway;
  posthatch::server::ControllerSettings controller;
  posthatch::server::LoadGatewaySettings(source, &gateway);
  posthatch::server::LoadControllerSettings(source, &controller);
  return 0;
}
