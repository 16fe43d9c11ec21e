#pragma once

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "posthatch/emulator/inventory_emulator.h"
#include "posthatch/emulator/service_emulator.h"
#include "posthatch/emulator/store_emulator.h"
#include "posthatch/emulator/worker_settings.h"

namespace posthatch::emulator {

enum class EmulatorRole { kWorker, kStore, kService, kInventory };

// The command line of `posthatch-emulator`.
struct ProgramOptions {
  EmulatorRole role = EmulatorRole::kWorker;
  std::string history;   // file that events are appended to
  std::string log_file;  // empty: stderr
  bool enable_fault_injection = false;
  // Settings of all roles; those of `role` are used.
  WorkerSettings worker;
  StoreSettings store;
  ServiceSettings service;
  InventorySettings inventory;
};

// Result of reading the command line: options, or a text to print and an exit code.
struct ProgramOptionsResult {
  bool run = false;
  ProgramOptions options;
  int exit_code = 0;
  std::string message;
};

// Reads `posthatch-emulator ROLE [--config FILE] [flags]`. The file is TOML with the flags' names
// in snake_case (and [[backends]] for the inventory); flags override it. Invalid options: exit
// code 2.
ProgramOptionsResult ReadProgramOptions(int argc, const char* const* argv);

}  // namespace posthatch::emulator
