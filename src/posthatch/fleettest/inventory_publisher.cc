#include "posthatch/fleettest/inventory_publisher.h"

#include <boost/json.hpp>
#include <cstdlib>
#include <utility>

#include "posthatch/fleettest/fleet_plan.h"

namespace posthatch::fleettest {

namespace {

namespace json = boost::json;

json::object EntryJson(const emulator::InventoryBackend& backend, bool draining) {
  json::object labels;
  for (const auto& [key, value] : backend.labels) labels[key] = value;
  return {{"id", backend.id},
          {"kind", backend.kind},
          {"endpoint", backend.endpoint},
          {"zone", backend.zone},
          {"model", backend.model},
          {"service", backend.service},
          {"labels", std::move(labels)},
          {"draining", draining}};
}

uint32_t NumberOf(const std::string& name) {
  return static_cast<uint32_t>(std::strtoul(name.c_str() + name.rfind('-') + 1, nullptr, 10));
}

}  // namespace

void InventoryPublisher::Publish(const std::vector<ProcessInfo>& processes) {
  json::array backends;
  for (const ProcessInfo& process : processes) {
    if (process.role == Role::kInventory) inventory_endpoint_ = process.http_endpoint;
    if (!IsBackend(process.role)) continue;
    PlannedProcess plan = PlanProcess(*scenario_, process.role, NumberOf(process.name));
    plan.zone = process.zone;
    backends.push_back(
        EntryJson(InventoryEntry(plan, process.http_endpoint), draining_.count(process.name) > 0));
  }
  const std::string body = json::serialize(json::object{{"backends", std::move(backends)}});
  if (body == last_inventory_ || inventory_endpoint_.empty()) return;
  const bool first = last_inventory_.empty();
  last_inventory_ = body;
  if (!first) control_->Put(inventory_endpoint_, "/debug/backends", body, nullptr);
}

void InventoryPublisher::SetDraining(const std::string& backend, bool draining,
                                     ProcessControlClient::Done done) {
  if (draining) {
    draining_.insert(backend);
  } else {
    draining_.erase(backend);
  }
  const json::object body = {{"id", backend}, {"draining", draining}};
  control_->Put(inventory_endpoint_, "/debug/draining", json::serialize(body), std::move(done));
}

}  // namespace posthatch::fleettest
