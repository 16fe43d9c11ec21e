#include "posthatch/rehearse/inventory_publisher.h"

#include <boost/json.hpp>

#include "posthatch/rehearse/fleet_plan.h"

namespace posthatch::rehearse {

namespace {

namespace json = boost::json;

json::object EntryJson(const standins::InventoryBackend& backend) {
  json::object labels;
  for (const auto& [key, value] : backend.labels) labels[key] = value;
  return {{"id", backend.id},           {"kind", backend.kind},   {"endpoint", backend.endpoint},
          {"zone", backend.zone},       {"model", backend.model}, {"service", backend.service},
          {"labels", std::move(labels)}, {"draining", false}};
}

uint32_t NumberOf(const std::string& name) {
  return static_cast<uint32_t>(std::strtoul(name.c_str() + name.rfind('-') + 1, nullptr, 10));
}

}  // namespace

void InventoryPublisher::Publish(const std::vector<ProcessInfo>& processes) {
  json::array backends;
  std::string inventory_endpoint;
  for (const ProcessInfo& process : processes) {
    if (process.role == Role::kInventory) inventory_endpoint = process.http_endpoint;
    if (!IsBackend(process.role)) continue;
    const PlannedProcess plan = PlanProcess(*scenario_, process.role, NumberOf(process.name));
    backends.push_back(EntryJson(InventoryEntry(plan, process.http_endpoint)));
  }
  const std::string body = json::serialize(json::object{{"backends", std::move(backends)}});
  if (body == last_ || inventory_endpoint.empty()) return;
  const bool first = last_.empty();
  last_ = body;
  if (!first) control_->Put(inventory_endpoint, "/debug/backends", body, nullptr);
}

}  // namespace posthatch::rehearse
