#pragma once

#include <string>

#include "absl/status/status.h"
#include "posthatch/daemon/node_settings.h"
#include "posthatch/standins/inventory_standin.h"
#include "posthatch/standins/service_standin.h"
#include "posthatch/standins/store_standin.h"
#include "posthatch/standins/worker_settings.h"

// Settings files of the processes that a real rehearsal starts.
namespace posthatch::rehearse {

std::string GatewayToml(const daemon::GatewaySettings& settings);
std::string ControllerToml(const daemon::ControllerSettings& settings,
                           const std::string& data_folder);
std::string WorkerToml(const standins::WorkerSettings& settings, const std::string& history_file);
std::string StoreToml(const standins::StoreSettings& settings, const std::string& history_file);
std::string ServiceToml(const standins::ServiceSettings& settings, const std::string& history_file);
std::string InventoryToml(const standins::InventorySettings& settings,
                          const std::string& history_file);

absl::Status WriteTextFile(const std::string& path, const std::string& text);
// The last `bytes` of a file, or nothing if it can't be read.
std::string TailOfFile(const std::string& path, size_t bytes);

}  // namespace posthatch::rehearse
