#include "posthatch/control/server/state_views.h"

#include <google/protobuf/util/json_util.h>

#include <array>
#include <boost/json.hpp>
#include <map>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "posthatch/control/state/configuration_patch.h"
#include "posthatch/control/state/selector.h"
#include "posthatch/util/string_view.h"

namespace posthatch::control {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;

// Protobuf's JSON mapping, with the field names of the .proto files.
boost::json::value ToJson(const google::protobuf::Message& message) {
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  std::string text;
  if (!google::protobuf::util::MessageToJsonString(message, &text, options).ok()) return {};
  boost::json::error_code error;
  boost::json::value value = boost::json::parse(text, error);
  return error ? boost::json::value() : value;
}

View Found(const boost::json::value& value) { return {kStatusOk, boost::json::serialize(value)}; }
View NotFound(std::string_view what) { return {kStatusNotFound, ErrorJson("not_found", what)}; }

const ConfigurationVersion* FindVersion(const ConfigurationHistory& history,
                                        const std::string& text) {
  if (text.empty()) return history.newest();
  uint64_t version = 0;
  return absl::SimpleAtoi(text, &version) ? history.Find(version) : nullptr;
}

View ConfigurationView(std::string_view query, const ControlState& state) {
  const std::string requested = QueryValue(query, "version");
  const ConfigurationVersion* version = FindVersion(state.history(), requested);
  if (version == nullptr && !requested.empty()) return NotFound("this version isn't kept");
  const ConfigurationVersion none;
  if (version == nullptr) version = &none;
  return Found(boost::json::object{{"version", version->version()},
                                   {"log_index", version->log_index()},
                                   {"configuration", ToJson(version->configuration())}});
}

View HistoryView(std::string_view /*query*/, const ControlState& state) {
  boost::json::array versions;
  for (const ConfigurationVersion& version : state.history().versions()) {
    versions.push_back(boost::json::object{{"version", version.version()},
                                           {"request_id", version.request_id()},
                                           {"log_index", version.log_index()}});
  }
  return Found(boost::json::object{{"versions", std::move(versions)}});
}

View DiffView(std::string_view query, const ControlState& state) {
  const ConfigurationVersion* from = FindVersion(state.history(), QueryValue(query, "from"));
  const ConfigurationVersion* to = FindVersion(state.history(), QueryValue(query, "to"));
  if (from == nullptr || to == nullptr) return NotFound("one of the versions isn't kept");
  boost::json::array differences;
  for (const std::string& line : DescribeDifferences(from->configuration(), to->configuration())) {
    differences.emplace_back(line);
  }
  return Found(boost::json::object{
      {"from", from->version()}, {"to", to->version()}, {"differences", std::move(differences)}});
}

View EvacuationsView(std::string_view /*query*/, const ControlState& state) {
  boost::json::array evacuations;
  for (const Evacuation& evacuation : state.fleet().evacuations()) {
    evacuations.push_back(ToJson(evacuation));
  }
  return Found(boost::json::object{{"evacuations", std::move(evacuations)}});
}

View RevisionsView(std::string_view /*query*/, const ControlState& state) {
  boost::json::array revisions;
  for (const ModelRevision& revision : state.fleet().revisions()) {
    revisions.push_back(boost::json::object{{"model", revision.model()},
                                            {"revision", revision.revision()},
                                            {"weights", revision.weights()},
                                            {"request_id", revision.request_id()}});
  }
  return Found(boost::json::object{{"revisions", std::move(revisions)}});
}

View IsolationView(std::string_view /*query*/, const ControlState& state) {
  boost::json::array domains;
  for (const TenantIsolation& domain : state.fleet().isolation()) {
    domains.push_back(boost::json::object{{"tenant", domain.tenant()},
                                          {"isolated", domain.isolated()},
                                          {"generation", domain.generation()},
                                          {"removed", domain.removed()}});
  }
  return Found(boost::json::object{{"isolation", std::move(domains)}});
}

// Renders the inventory in a platform's native format (docs/BACKENDS.md).
View InventoryView(std::string_view /*query*/, const ControlState& state) {
  boost::json::array backends;
  for (const Backend& backend : state.fleet().inventory().backends()) {
    boost::json::object labels;
    const std::map<std::string, std::string> sorted(backend.labels().begin(),
                                                    backend.labels().end());
    for (const auto& [key, value] : sorted) labels[key] = value;
    const LabelMap all_labels = BackendLabels(backend);
    const auto kind = all_labels.find("kind");
    backends.push_back(boost::json::object{{"id", backend.id()},
                                           {"kind", kind == all_labels.end() ? "" : kind->second},
                                           {"endpoint", backend.endpoint()},
                                           {"zone", backend.zone()},
                                           {"model", backend.model()},
                                           {"service", backend.service()},
                                           {"labels", std::move(labels)},
                                           {"draining", backend.draining()}});
  }
  return Found(boost::json::object{{"version", state.fleet().inventory().version()},
                                   {"backends", std::move(backends)}});
}

View LeasesView(std::string_view /*query*/, const ControlState& state) {
  boost::json::array leases;
  for (const WorkerLease& lease : state.fleet().leases()) {
    leases.push_back(boost::json::object{{"worker_id", lease.worker_id()},
                                         {"holder", lease.holder()},
                                         {"holder_incarnation", lease.holder_incarnation()},
                                         {"fencing_token", lease.fencing_token()}});
  }
  return Found(boost::json::object{{"leases", std::move(leases)}});
}

struct NamedView {
  std::string_view name;
  View (*render)(std::string_view query, const ControlState& state);
};

constexpr std::array<NamedView, 8> kViews = {{
    {"configuration", ConfigurationView},
    {"configuration/history", HistoryView},
    {"configuration/diff", DiffView},
    {"evacuations", EvacuationsView},
    {"model-revisions", RevisionsView},
    {"isolation", IsolationView},
    {"inventory", InventoryView},
    {"leases", LeasesView},
}};

}  // namespace

View RenderView(std::string_view name, std::string_view query, const ControlState& state) {
  for (const NamedView& view : kViews) {
    if (view.name == name) return view.render(query, state);
  }
  return NotFound("no such view");
}

std::string QueryValue(std::string_view query, std::string_view key) {
  for (const absl::string_view part : absl::StrSplit(util::ToAbsl(query), '&')) {
    const std::vector<absl::string_view> pair = absl::StrSplit(part, absl::MaxSplits('=', 1));
    if (pair.size() == 2 && pair[0] == util::ToAbsl(key)) return absl::StrCat(pair[1]);
  }
  return {};
}

std::string ErrorJson(std::string_view code, std::string_view message) {
  return boost::json::serialize(
      boost::json::object{{"error", boost::json::object{{"code", code}, {"message", message}}}});
}

}  // namespace posthatch::control
