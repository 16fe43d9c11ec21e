#include "posthatch/ctl/admin_request.h"

#include <boost/json.hpp>

#include "absl/strings/str_cat.h"
#include "posthatch/control/inventory/inventory_poller.h"
#include "posthatch/control/state/selector.h"

namespace posthatch::ctl {
namespace {

constexpr const char* kAdminPathPrefix = "/admin/v1/";

absl::StatusOr<boost::json::object> ReadObject(const std::string& text) {
  boost::json::error_code error;
  boost::json::value value = boost::json::parse(text, error);
  if (error || !value.is_object()) {
    return absl::InvalidArgumentError("the file must contain one JSON object");
  }
  return std::move(value.get_object());
}

std::string OperatorName(control::Requirement::Operator kind) {
  return control::Requirement::Operator_Name(kind);
}

boost::json::object SelectorJson(const control::Selector& selector) {
  if (selector.match_all()) return {{"match_all", true}};
  boost::json::array requirements;
  for (const control::Requirement& requirement : selector.requirements()) {
    boost::json::array values;
    for (const std::string& value : requirement.values()) values.emplace_back(value);
    requirements.push_back(boost::json::object{{"key", requirement.key()},
                                               {"operator", OperatorName(requirement.operator_())},
                                               {"values", std::move(values)}});
  }
  return {{"requirements", std::move(requirements)}};
}

// Path and query of a command that reads, relative to kAdminPathPrefix.
std::string ResourcePath(const Invocation& invocation) {
  switch (invocation.command) {
    case CommandKind::kConfigGet:
      return invocation.version == 0 ? "configuration"
                                     : absl::StrCat("configuration?version=", invocation.version);
    case CommandKind::kConfigHistory:
      return "configuration/history";
    case CommandKind::kConfigDiff:
      return absl::StrCat(
          "configuration/diff?from=", invocation.from_version,
          invocation.to_version == 0 ? std::string() : absl::StrCat("&to=", invocation.to_version));
    case CommandKind::kEvacuations:
      return "evacuations";
    case CommandKind::kModelRevisions:
      return "model-revisions";
    case CommandKind::kLeases:
      return "leases";
    case CommandKind::kInventory:
      return "inventory";
    case CommandKind::kControllers:
      return "controllers";
    case CommandKind::kIndexStats:
      return "index";
    default:
      return "members";
  }
}

// Adds the fields of a change to `body` and returns the path of its resource, relative to
// kAdminPathPrefix.
absl::StatusOr<std::string> FillChangeBody(const Invocation& invocation,
                                           boost::json::object* body) {
  switch (invocation.command) {
    case CommandKind::kConfigApply: {
      absl::StatusOr<boost::json::object> content = ReadObject(invocation.file_content);
      if (!content.ok()) return content.status();
      (*body)["expected_version"] = invocation.expected_version;
      (*body)[invocation.is_patch ? "patch" : "configuration"] = *std::move(content);
      return "configuration";
    }
    case CommandKind::kConfigRollback:
      (*body)["expected_version"] = invocation.expected_version;
      (*body)["roll_back_to"] = invocation.version;
      return "configuration";
    case CommandKind::kEvacuate: {
      absl::StatusOr<control::Selector> selector = control::ParseSelector(invocation.selector);
      if (!selector.ok()) return selector.status();
      (*body)["name"] = invocation.name;
      (*body)["selector"] = SelectorJson(*selector);
      return "evacuations";
    }
    case CommandKind::kLift:
      (*body)["name"] = invocation.name;
      (*body)["lifted"] = true;
      return "evacuations";
    default:
      (*body)["model"] = invocation.name;
      (*body)["weights"] = invocation.weights;
      (*body)["expected_revision"] = invocation.expected_version;
      return "model-revisions";
  }
}

}  // namespace

bool IsChange(CommandKind command) {
  return command == CommandKind::kConfigApply || command == CommandKind::kConfigRollback ||
         command == CommandKind::kEvacuate || command == CommandKind::kLift ||
         command == CommandKind::kModelRevision;
}

absl::StatusOr<http::Request> MakeRequest(const Invocation& invocation) {
  http::Request request;
  if (!invocation.token.empty()) {
    request.headers.Add("Authorization", "Bearer " + invocation.token);
  }
  if (!IsChange(invocation.command)) {
    request.method = "GET";
    request.target = kAdminPathPrefix + ResourcePath(invocation);
    return request;
  }
  boost::json::object body{{"request_id", invocation.request_id}};
  absl::StatusOr<std::string> resource = FillChangeBody(invocation, &body);
  if (!resource.ok()) return resource.status();
  request.method = "POST";
  request.target = kAdminPathPrefix + *resource;
  request.headers.Add("Content-Type", "application/json");
  request.body = boost::json::serialize(body);
  return request;
}

absl::StatusOr<MatchCount> CountMatches(const std::string& selector,
                                        const std::string& inventory_json) {
  absl::StatusOr<control::Selector> parsed = control::ParseSelector(selector);
  if (!parsed.ok()) return parsed.status();
  absl::StatusOr<control::Inventory> inventory = control::ParseInventory(inventory_json);
  if (!inventory.ok()) return inventory.status();
  MatchCount count;
  for (const control::Backend& backend : inventory->backends()) {
    ++count.all;
    if (control::SelectorMatches(*parsed, control::BackendLabels(backend))) ++count.matching;
  }
  return count;
}

}  // namespace posthatch::ctl
