#pragma once

#include <string>

#include "absl/status/status.h"
#include "posthatch/emulator/inventory_emulator.h"
#include "posthatch/emulator/service_emulator.h"
#include "posthatch/emulator/store_emulator.h"
#include "posthatch/emulator/worker_settings.h"
#include "posthatch/server/settings/node_settings.h"

// Settings files for the processes of a real fleet.
namespace posthatch::fleettest {

std::string GatewayToml(const server::GatewaySettings& settings);
std::string ControllerToml(const server::ControllerSettings& settings,
                           const std::string& data_folder);
std::string WorkerToml(const emulator::WorkerSettings& settings, const std::string& history_file);
std::string StoreToml(const emulator::StoreSettings& settings, const std::string& history_file);
std::string ServiceToml(const emulator::ServiceSettings& settings, const std::string& history_file);
std::string InventoryToml(const emulator::InventorySettings& settings,
                          const std::string& history_file);

absl::Status WriteTextFile(const std::string& path, const std::string& text);
// Returns the last `bytes` bytes of a file, or an empty string if it can't be read.
std::string TailOfFile(const std::string& path, size_t bytes);

}  // namespace posthatch::fleettest
