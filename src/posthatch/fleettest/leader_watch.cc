#include "posthatch/fleettest/leader_watch.h"

#include <boost/json.hpp>
#include <vector>

namespace posthatch::fleettest {

namespace {

namespace json = boost::json;

constexpr runtime::Duration kPollInterval = std::chrono::seconds(1);

std::string TextField(const json::object& object, const char* key) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr || !value->is_string()) return "";
  return std::string(value->get_string().c_str());
}

}  // namespace

std::string ParseLeader(const std::string& controllers_json) {
  boost::system::error_code error;
  const json::value document = json::parse(controllers_json, error);
  if (error || !document.is_object()) return "";
  const json::object& body = document.get_object();
  std::string leader = TextField(body, "leader");
  if (!leader.empty()) return leader;
  const json::value* controllers = body.if_contains("controllers");
  if (controllers == nullptr || !controllers->is_array()) return "";
  for (const json::value& entry : controllers->get_array()) {
    const json::object* fields = entry.if_object();
    if (fields != nullptr && TextField(*fields, "role") == "leader") {
      return TextField(*fields, "node_id");
    }
  }
  return "";
}

LeaderWatch::LeaderWatch(ProcessControlClient* control, runtime::Runtime* runtime, Fleet* fleet)
    : control_(control), runtime_(runtime), fleet_(fleet), timer_(runtime->timers) {
  Poll();
}

void LeaderWatch::Poll() {
  std::vector<std::string> controllers;
  for (const ProcessInfo& process : fleet_->processes()) {
    if (process.role == Role::kController) controllers.push_back(process.http_endpoint);
  }
  if (!controllers.empty()) {
    const std::string& endpoint = controllers[runtime_->random->Uniform(controllers.size())];
    control_->Get(endpoint, "/admin/v1/controllers",
                  [this](const absl::Status& status, const std::string& body) {
                    std::string leader = status.ok() ? ParseLeader(body) : "";
                    if (!leader.empty()) leader_ = std::move(leader);
                  });
  }
  timer_.Start(kPollInterval, [this] { Poll(); });
}

}  // namespace posthatch::fleettest
