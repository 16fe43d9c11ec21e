#include "posthatch/fleettest/process_settings.h"

#include <fmt/format.h>

#include <fstream>
#include <iterator>

namespace posthatch::fleettest {

namespace {

int64_t Milliseconds(runtime::Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

// Names and endpoints contain no characters that TOML would escape.
std::string Quoted(const std::string& text) { return "\"" + text + "\""; }

std::string List(const std::vector<std::string>& texts) {
  std::string list;
  for (const std::string& text : texts) list += (list.empty() ? "" : ", ") + Quoted(text);
  return "[" + list + "]";
}

std::string NodeToml(const server::NodeSettings& node) {
  return fmt::format(
      "[node]\nnode_id = {}\nzone = {}\nregion = {}\ninternal_endpoint = {}\nhttp_endpoint = {}\n"
      "seeds = {}\ninventory_endpoint = {}\ndrain_deadline_ms = {}\n",
      Quoted(node.node_id), Quoted(node.zone), Quoted(node.region), Quoted(node.internal_endpoint),
      Quoted(node.http_endpoint), List(node.seeds), Quoted(node.inventory_endpoint),
      Milliseconds(node.drain_deadline));
}

}  // namespace

std::string GatewayToml(const server::GatewaySettings& settings) {
  return NodeToml(settings.node) +
         fmt::format("\n[gateway]\nrouting_mode = {}\n",
                     Quoted(std::string(gateway::RoutingModeName(settings.routing_mode))));
}

std::string ControllerToml(const server::ControllerSettings& settings,
                           const std::string& data_folder) {
  return NodeToml(settings.node) +
         fmt::format(
             "data_folder = {}\n\n[controller]\nbootstrap_expect = {}\ntarget_voters = {}\n",
             Quoted(data_folder), settings.bootstrap_expect, settings.target_voters);
}

std::string WorkerToml(const emulator::WorkerSettings& settings, const std::string& history_file) {
  return fmt::format(
      "id = {}\nzone = {}\nlisten = {}\nhistory = {}\nmodel = {}\nblock_tokens = {}\n"
      "cache_blocks = {}\nmax_running = {}\nstore_endpoint = {}\nprefill_per_block_us = {}\n"
      "decode_per_token_us = {}\n",
      Quoted(settings.id), Quoted(settings.zone), Quoted(settings.listen), Quoted(history_file),
      Quoted(settings.model), settings.block_tokens, settings.cache_blocks, settings.max_running,
      Quoted(settings.store_endpoint), settings.timing.prefill_per_block.count() / 1000,
      settings.timing.decode_per_token.count() / 1000);
}

std::string StoreToml(const emulator::StoreSettings& settings, const std::string& history_file) {
  return fmt::format("id = {}\nzone = {}\nlisten = {}\nhistory = {}\n", Quoted(settings.id),
                     Quoted(settings.zone), Quoted(settings.listen), Quoted(history_file));
}

std::string ServiceToml(const emulator::ServiceSettings& settings,
                        const std::string& history_file) {
  return fmt::format("id = {}\nzone = {}\nlisten = {}\nhistory = {}\nservice = {}\n",
                     Quoted(settings.id), Quoted(settings.zone), Quoted(settings.listen),
                     Quoted(history_file), Quoted(settings.service));
}

std::string InventoryToml(const emulator::InventorySettings& settings,
                          const std::string& history_file) {
  std::string toml =
      fmt::format("listen = {}\nhistory = {}\nlateness_ms = {}\nreads_per_second = {}\n",
                  Quoted(settings.listen), Quoted(history_file), Milliseconds(settings.lateness),
                  settings.reads_per_second);
  for (const emulator::InventoryBackend& backend : settings.backends) {
    toml += fmt::format("\n[[backends]]\nid = {}\nkind = {}\nendpoint = {}\nzone = {}\n",
                        Quoted(backend.id), Quoted(backend.kind), Quoted(backend.endpoint),
                        Quoted(backend.zone));
    if (!backend.model.empty()) toml += fmt::format("model = {}\n", Quoted(backend.model));
    if (!backend.service.empty()) toml += fmt::format("service = {}\n", Quoted(backend.service));
    std::string labels;
    for (const auto& [key, value] : backend.labels) {
      labels += (labels.empty() ? "" : ", ") + Quoted(key) + " = " + Quoted(value);
    }
    toml += fmt::format("labels = {{ {} }}\n", labels);
  }
  return toml;
}

absl::Status WriteTextFile(const std::string& path, const std::string& text) {
  std::ofstream file(path);
  file << text;
  file.close();
  return file ? absl::OkStatus() : absl::UnavailableError(path + ": can't be written");
}

std::string TailOfFile(const std::string& path, size_t bytes) {
  std::ifstream file(path);
  const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  return text.size() <= bytes ? text : text.substr(text.size() - bytes);
}

}  // namespace posthatch::fleettest
