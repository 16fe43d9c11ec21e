#include "posthatch/server/command_line.h"

#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>

#include "absl/status/statusor.h"
#include "posthatch/net/asio_runtime.h"
#include "posthatch/server/process_runner.h"
#include "posthatch/server/settings/settings_loader.h"
#include "posthatch/server/settings/settings_page.h"
#include "posthatch/server/settings/settings_table.h"
#include "posthatch/server/settings/settings_watch.h"

namespace posthatch::server {
namespace {

// The parsed command line of one role.
struct RoleCommand {
  CLI::App* command = nullptr;
  std::string config_file;
  bool check_config = false;
  bool enable_fault_injection = false;
  std::map<std::string, std::string> flags;  // texts by setting key; empty if not given

  SettingsSource Source(std::string text) const {
    SettingsSource source{config_file, std::move(text), {}};
    for (const SettingDescription& setting : SettingsTable()) {
      const auto flag = flags.find(setting.Key());
      if (flag == flags.end() || command->count(setting.Flag()) == 0) continue;
      source.overrides.push_back({flag->first, flag->second});
    }
    return source;
  }
};

void AddRole(CLI::App* app, Role role, const std::string& name, const std::string& help,
             RoleCommand* command) {
  command->command = app->add_subcommand(name, help);
  command->command->add_option("--config", command->config_file, "Settings file (TOML)")
      ->required();
  command->command->add_flag("--check-config", command->check_config,
                             "Check settings and flags, then exit");
  command->command->add_flag("--enable-fault-injection", command->enable_fault_injection,
                             "Accept PUT /debug/faults; for rehearsals only");
  for (const SettingDescription& setting : SettingsTable()) {
    if (!setting.AppliesTo(role)) continue;
    command->command->add_option(setting.Flag(), command->flags[setting.Key()],
                                 std::string(setting.help) + " [" + AllowedRange(setting) + "]");
  }
}

absl::StatusOr<std::string> ReadFileContents(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) return absl::NotFoundError(path + ": can't be read, or is empty");
  return text.str();
}

int ReportErrors(const std::vector<SettingsError>& errors) {
  for (const SettingsError& error : errors) std::cerr << error.ToString() << "\n";
  return kExitBadSettings;
}

void ReportAdjustments(const std::string& file, const NodeSettings& node) {
  for (const AdjustedSetting& setting : node.adjusted) {
    std::cout << file << ": " << setting.key << ": can't be " << setting.given
              << "; used: " << setting.used << "\n";
  }
}

absl::StatusOr<std::unique_ptr<net::AsioRuntime>> MakeRuntime(const NodeSettings& node,
                                                              bool enable_fault_injection) {
  net::AsioRuntimeOptions options;
  options.node_id = node.node_id;
  options.internal_endpoint = node.internal_endpoint;
  options.data_folder = node.data_folder;
  options.log_file = node.log_file;
  options.log_level = node.log_level;
  options.enable_fault_injection = enable_fault_injection;
  return net::AsioRuntime::Create(options);
}

// Raises the limit of open file descriptors, of which each connection needs one, to the maximum
// that the system allows.
void RaiseDescriptorLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

int ReportStartFailure(const absl::Status& status) {
  std::cerr << "posthatchd: not started: " << status.ToString() << "\n";
  return kExitStartFailed;
}

// Reads the settings file again and returns its seeds. Errors: NotFound, InvalidArgument (with the
// first error in the file).
template <typename Settings, typename Load>
absl::StatusOr<std::vector<std::string>> ReadSeeds(const RoleCommand& command, const Load& load) {
  auto text = ReadFileContents(command.config_file);
  if (!text.ok()) return text.status();
  Settings settings;
  const std::vector<SettingsError> errors = load(command.Source(*std::move(text)), &settings);
  if (!errors.empty()) return absl::InvalidArgumentError(errors.front().ToString());
  return WithPort(settings.node.seeds, settings.node.seeds_port);
}

// Runs a process of one role: `load` reads the role's settings, `make` builds the process.
template <typename Settings, typename Load, typename Make>
int RunRole(const RoleCommand& command, const Load& load, const Make& make) {
  // A SIGHUP must not end a process that starts. SettingsWatch finds the change of the file, by its
  // modification time, once the process handles the signal.
  std::signal(SIGHUP, SIG_IGN);
  const int64_t modified_ns = ModificationTime(command.config_file);
  auto text = ReadFileContents(command.config_file);
  if (!text.ok()) {
    std::cerr << text.status().message() << "\n";
    return kExitBadSettings;
  }
  Settings settings;
  const std::vector<SettingsError> errors = load(command.Source(*std::move(text)), &settings);
  if (!errors.empty()) return ReportErrors(errors);
  if (command.check_config) {
    ReportAdjustments(command.config_file, settings.node);
    std::cout << command.config_file << ": no errors\n";
    return kExitOk;
  }
  RaiseDescriptorLimit();
  const auto runtime = MakeRuntime(settings.node, command.enable_fault_injection);
  if (!runtime.ok()) return ReportStartFailure(runtime.status());
  settings.node.internal_endpoint = (*runtime)->runtime()->transport->endpoint();
  settings.node.seeds = WithPort(settings.node.seeds, settings.node.seeds_port);
  const SettingsFile settings_file{command.config_file, modified_ns, [&command, &load] {
                                     return ReadSeeds<Settings>(command, load);
                                   }};
  absl::Status status = RunProcess(runtime->get(), settings.node, settings.limits, settings_file,
                                   [&](const std::string& http_endpoint) {
                                     settings.node.http_endpoint = http_endpoint;
                                     return make((*runtime)->runtime(), settings);
                                   });
  return status.ok() ? kExitOk : ReportStartFailure(status);
}

}  // namespace

int RunCommandLine(int argc, const char* const* argv, ProcessFactory* factory) {
  CLI::App app("A process of a posthatch fleet", "posthatchd");
  app.require_subcommand(1);
  RoleCommand gateway;
  RoleCommand controller;
  AddRole(&app, Role::kGateway, "gateway", "Takes callers' requests and routes them", &gateway);
  AddRole(&app, Role::kController, "controller", "Runs a replica of the replicated log",
          &controller);
  CLI::App* settings_table =
      app.add_subcommand("settings-table", "Print docs/operations/settings.md");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kExitOk : kExitBadSettings;
  }
  if (settings_table->parsed()) {
    std::cout << SettingsMarkdown();
    return kExitOk;
  }
  if (gateway.command->parsed()) {
    return RunRole<GatewaySettings>(
        gateway, LoadGatewaySettings,
        [factory](runtime::Runtime* runtime, const GatewaySettings& settings) {
          return factory->MakeGateway(runtime, settings);
        });
  }
  return RunRole<ControllerSettings>(
      controller, LoadControllerSettings,
      [factory](runtime::Runtime* runtime, const ControllerSettings& settings) {
        return factory->MakeController(runtime, settings);
      });
}

}  // namespace posthatch::server
