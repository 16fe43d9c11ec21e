// Any text as a settings file: errors or settings, never a crash; flags from the same bytes.
#include <cstddef>
#include <cstdint>
#include <string>

#include "posthatch/daemon/settings_loader.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using posthatch::daemon::SettingsTable;
  const std::string text(reinterpret_cast<const char*>(data), size);
  posthatch::daemon::SettingsSource source{"fuzz.toml", text, {}};
  if (size > 0) {
    const auto& setting = SettingsTable()[data[0] % SettingsTable().size()];
    source.overrides.emplace_back(setting.Key(), text.substr(1));
  }
  posthatch::daemon::GatewaySettings gateway;
  posthatch::daemon::ControllerSettings controller;
  posthatch::daemon::LoadGatewaySettings(source, &gateway);
  posthatch::daemon::LoadControllerSettings(source, &controller);
  return 0;
}
