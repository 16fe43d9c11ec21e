#include "posthatch/emulator/program_options.h"

#include <toml++/toml.h>

#include <CLI/CLI.hpp>
#include <sstream>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "posthatch/util/string_view.h"

namespace posthatch::emulator {
namespace {

constexpr int kExitBadOptions = 2;

// Adds a flag for a duration, which takes a whole number of `Unit`.
template <typename Unit>
void AddDuration(CLI::App* command, const std::string& flag, runtime::Duration* target,
                 const std::string& help) {
  command
      ->add_option_function<uint32_t>(
          flag, [target](const uint32_t& count) { *target = Unit(count); }, help)
      ->take_last();
}

template <typename Value>
void Add(CLI::App* command, const std::string& flag, Value* target, const std::string& help) {
  command->add_option(flag, *target, help)->take_last();
}

void AddCommon(CLI::App* command, ProgramOptions* options, std::string* listen) {
  Add(command, "--listen", listen, "Address ip:port to serve on; port 0 lets the system choose");
  Add(command, "--history", &options->history, "File that history events are appended to");
  Add(command, "--log-file", &options->log_file, "File for the log; stderr if not given");
  command->add_flag("--enable-fault-injection", options->enable_fault_injection,
                    "Serve PUT /debug/faults");
}

void AddWorker(CLI::App* command, ProgramOptions* options) {
  using std::chrono::microseconds;
  using std::chrono::milliseconds;
  WorkerSettings* worker = &options->worker;
  WorkerTiming* timing = &worker->timing;
  AddCommon(command, options, &worker->listen);
  Add(command, "--id", &worker->id, "Back end id, as in the inventory");
  Add(command, "--zone", &worker->zone, "Failure domain");
  Add(command, "--model", &worker->model, "Model that the worker serves");
  Add(command, "--initial-revision", &worker->initial_revision, "Model revision at start");
  Add(command, "--block-tokens", &worker->block_tokens, "Tokens in a cache block");
  Add(command, "--cache-blocks", &worker->cache_blocks, "Capacity of the cache, in blocks");
  Add(command, "--max-running", &worker->max_running, "Maximum number of runs in progress");
  Add(command, "--max-waiting", &worker->max_waiting, "Requests that may wait; more get 429");
  Add(command, "--max-tokens", &worker->max_tokens, "Longest response, in tokens");
  Add(command, "--kept-events", &worker->kept_events, "Number of KV events that are retained");
  Add(command, "--store-endpoint", &worker->store_endpoint,
      "Address ip:port of the store that new blocks are pushed to");
  AddDuration<microseconds>(command, "--prefill-per-block-us", &timing->prefill_per_block,
                            "Time to prefill a block that is not cached, in microseconds");
  AddDuration<microseconds>(command, "--decode-per-token-us", &timing->decode_per_token,
                            "Time to decode a token, in microseconds");
  Add(command, "--batching-slowdown", &timing->batching_slowdown,
      "Fraction by which each other run in progress slows decoding");
  AddDuration<milliseconds>(command, "--weight-loading-ms", &timing->weight_loading,
                            "Time to load weights, in milliseconds");
  Add(command, "--kv-bytes-per-block", &timing->kv_bytes_per_block,
      "Size of a cached block, in bytes");
  Add(command, "--link-bytes-per-second", &timing->link_bytes_per_second,
      "Transfer rate to a peer that fetches blocks");
}

void AddStore(CLI::App* command, ProgramOptions* options) {
  StoreSettings* store = &options->store;
  AddCommon(command, options, &store->listen);
  Add(command, "--id", &store->id, "Back end id, as in the inventory");
  Add(command, "--zone", &store->zone, "Failure domain");
  Add(command, "--capacity-blocks", &store->capacity_blocks, "Capacity in blocks");
  Add(command, "--kv-bytes-per-block", &store->kv_bytes_per_block,
      "Size of a cached block, in bytes");
  Add(command, "--link-bytes-per-second", &store->link_bytes_per_second,
      "Transfer rate to a worker that fetches blocks");
}

void AddService(CLI::App* command, ProgramOptions* options) {
  ServiceSettings* service = &options->service;
  AddCommon(command, options, &service->listen);
  Add(command, "--id", &service->id, "Back end id, as in the inventory");
  Add(command, "--zone", &service->zone, "Failure domain");
  Add(command, "--service", &service->service, "Name of the application service");
  AddDuration<std::chrono::milliseconds>(command, "--execution-ms", &service->execution,
                                         "Time to execute an operation, in milliseconds");
  Add(command, "--max-running", &service->max_running,
      "Maximum number of operations in progress; more get 429");
}

void AddInventory(CLI::App* command, ProgramOptions* options) {
  InventorySettings* inventory = &options->inventory;
  AddCommon(command, options, &inventory->listen);
  AddDuration<std::chrono::milliseconds>(
      command, "--lateness-ms", &inventory->lateness,
      "Maximum delay until a change is visible, in milliseconds");
  Add(command, "--reads-per-second", &inventory->reads_per_second,
      "Rate limit on the reads of all callers together; more get 429");
}

std::string FlagOf(std::string_view key) {
  return "--" + absl::StrReplaceAll(std::string(key), {{"_", "-"}});
}

std::string TextOf(const toml::node& node) {
  if (const auto* text = node.as_string()) return text->get();
  std::ostringstream printed;
  node.visit([&printed](const auto& value) {
    if constexpr (toml::is_value<decltype(value)>) printed << value.get();
  });
  return printed.str();
}

absl::StatusOr<InventoryBackend> ReadBackend(const toml::table& table) {
  InventoryBackend backend;
  const std::vector<std::pair<std::string_view, std::string*>> texts = {
      {"id", &backend.id},     {"kind", &backend.kind},   {"endpoint", &backend.endpoint},
      {"zone", &backend.zone}, {"model", &backend.model}, {"service", &backend.service}};
  for (const auto& [name, target] : texts) *target = table[name].value_or(std::string());
  backend.draining = table["draining"].value_or(false);
  if (const toml::table* labels = table["labels"].as_table()) {
    for (const auto& [key, value] : *labels) {
      backend.labels[std::string(key.str())] = value.value_or(std::string());
    }
  }
  if (backend.id.empty() || backend.endpoint.empty()) {
    return absl::InvalidArgumentError("a back end needs id and endpoint");
  }
  return backend;
}

absl::StatusOr<toml::table> ParseFile(const std::string& path) {
  try {
    return toml::parse_file(path);
  } catch (const toml::parse_error& error) {
    return absl::InvalidArgumentError(
        absl::StrCat(path, ":", error.source().begin.line, ": ", std::string(error.description())));
  }
}

absl::Status ReadBackends(const toml::node& value, InventorySettings* inventory) {
  const toml::array* backends = value.as_array();
  if (backends == nullptr) return absl::InvalidArgumentError("backends isn't a list");
  for (const toml::node& entry : *backends) {
    const toml::table* table = entry.as_table();
    if (table == nullptr) return absl::InvalidArgumentError("a back end isn't a table");
    absl::StatusOr<InventoryBackend> backend = ReadBackend(*table);
    if (!backend.ok()) return backend.status();
    inventory->backends.push_back(*std::move(backend));
  }
  return absl::OkStatus();
}

// Converts the file's keys to flags, and [[backends]] to the inventory's list.
absl::StatusOr<std::vector<std::string>> ReadConfig(const std::string& path,
                                                    InventorySettings* inventory) {
  const absl::StatusOr<toml::table> parsed = ParseFile(path);
  if (!parsed.ok()) return parsed.status();
  std::vector<std::string> flags;
  for (const auto& [key, value] : *parsed) {
    if (key.str() == "backends") {
      const absl::Status read = ReadBackends(value, inventory);
      if (!read.ok()) return read;
    } else {
      flags.push_back(FlagOf(key.str()));
      flags.push_back(TextOf(value));
    }
  }
  return flags;
}

// The value of --config among the arguments, or empty.
std::string ConfigPath(const std::vector<std::string>& arguments) {
  const std::string flag = "--config";
  for (size_t i = 0; i < arguments.size(); ++i) {
    if (arguments[i] == flag && i + 1 < arguments.size()) return arguments[i + 1];
    if (arguments[i].rfind(flag + "=", 0) == 0) return arguments[i].substr(flag.size() + 1);
  }
  return "";
}

}  // namespace

ProgramOptionsResult ReadProgramOptions(int argc, const char* const* argv) {
  ProgramOptionsResult result;
  ProgramOptions* options = &result.options;
  CLI::App app("Emulates a back end or the platform, for fleet tests", "posthatch-emulator");
  app.require_subcommand(1);
  const std::vector<std::pair<EmulatorRole, CLI::App*>> roles = {
      {EmulatorRole::kWorker, app.add_subcommand("worker", "Language-model worker")},
      {EmulatorRole::kStore, app.add_subcommand("store", "Store of cached KV blocks")},
      {EmulatorRole::kService, app.add_subcommand("service", "Application service")},
      {EmulatorRole::kInventory, app.add_subcommand("inventory", "Platform inventory")}};
  AddWorker(roles[0].second, options);
  AddStore(roles[1].second, options);
  AddService(roles[2].second, options);
  AddInventory(roles[3].second, options);
  std::string config;
  for (const auto& [role, command] : roles) {
    command->add_option("--config", config, "Settings file (TOML); flags override it");
  }

  std::vector<std::string> arguments(argv + std::min(argc, 1), argv + argc);
  if (const std::string path = ConfigPath(arguments); !path.empty()) {
    const auto from_file = ReadConfig(path, &options->inventory);
    if (!from_file.ok()) {
      result.exit_code = kExitBadOptions;
      result.message = util::ToStd(from_file.status().message());
      return result;
    }
    arguments.insert(arguments.begin() + 1, from_file->begin(), from_file->end());
  }
  std::reverse(arguments.begin(), arguments.end());  // CLI11 takes the arguments in reverse order
  try {
    app.parse(arguments);
  } catch (const CLI::ParseError& error) {
    std::ostringstream text;
    result.exit_code = app.exit(error, text, text) == 0 ? 0 : kExitBadOptions;
    result.message = text.str();
    return result;
  }
  for (const auto& [role, command] : roles) {
    if (command->parsed()) options->role = role;
  }
  result.run = true;
  return result;
}

}  // namespace posthatch::emulator
