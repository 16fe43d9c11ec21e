#include "posthatch/emulator/traffic_mix.h"

#include <openssl/sha.h>

#include <array>
#include <map>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "posthatch/util/string_view.h"

namespace posthatch::emulator {
namespace {

constexpr uint32_t kTenants = 8;
constexpr uint32_t kLargeTenants = 2;
constexpr uint32_t kServiceTimeoutMs = 5000;

// Eight tenants, the first two large; every fourth one isolated.
std::vector<TenantTraffic> EightTenants(const std::string& prefix) {
  std::vector<TenantTraffic> tenants;
  for (uint32_t i = 0; i < kTenants; ++i) {
    TenantTraffic tenant;
    tenant.name = absl::StrCat(prefix, "-", i);
    tenant.key = absl::StrCat("key-of-", tenant.name);
    tenant.key_id = absl::StrCat(tenant.name, "/1");
    tenant.share = i < kLargeTenants ? 4 : 1;
    tenant.isolated = i % 4 == 3;
    tenants.push_back(tenant);
  }
  return tenants;
}

OperationTraffic Inference(OperationKind kind, double share, bool stream, const std::string& model,
                           uint32_t max_tokens) {
  OperationTraffic operation;
  operation.kind = kind;
  operation.share = share;
  operation.stream = stream;
  operation.model = model;
  operation.max_tokens = max_tokens;
  return operation;
}

OperationTraffic Service(double share, const std::string& service, const std::string& name,
                         bool non_repeatable) {
  OperationTraffic operation;
  operation.kind = OperationKind::kService;
  operation.share = share;
  operation.service = service;
  operation.operation = name;
  operation.non_repeatable = non_repeatable;
  return operation;
}

control::ServiceRoute* RouteFor(const std::string& service, control::Configuration* configuration) {
  for (control::ServiceRoute& route : *configuration->mutable_services()) {
    if (route.name() == service) return &route;
  }
  control::ServiceRoute* route = configuration->add_services();
  route->set_name(service);
  route->set_timeout_ms(kServiceTimeoutMs);
  return route;
}

void AddModel(const std::string& name, uint32_t block_tokens,
              control::Configuration* configuration) {
  for (const control::Model& model : configuration->models()) {
    if (model.name() == name) return;
  }
  control::Model* model = configuration->add_models();
  model->set_name(name);
  model->set_block_tokens(block_tokens);
}

}  // namespace

TrafficMix NilestoneMix() {
  const std::string model = "race-7b";
  TrafficMix mix;
  mix.name = "nilestone";
  mix.requests_per_second = 50;
  mix.tenants = EightTenants("nilestone");
  mix.operations = {
      Inference(OperationKind::kCompletions, 0.30, true, model, 24),  // verdicts
      Inference(OperationKind::kChat, 0.20, true, model, 16),         // rival suggestions
      Inference(OperationKind::kChat, 0.25, false, model, 8),         // chat moderation
      Service(0.20, "lobby", "place", /*non_repeatable=*/true),
      Service(0.05, "lobby", "status", /*non_repeatable=*/false),
  };
  return mix;
}

TrafficMix KovinarMix() {
  const std::string model = "licence-7b";
  TrafficMix mix;
  mix.name = "kovinar";
  mix.requests_per_second = 55;
  mix.tenants = EightTenants("kovinar");
  mix.operations = {
      Inference(OperationKind::kCompletions, 0.15, true, model, 24),   // licence diagnoses
      Inference(OperationKind::kCompletions, 0.13, false, model, 16),  // renewal quotes
      Inference(OperationKind::kChat, 0.47, true, model, 8),           // seat questions
      Service(0.20, "checkout", "heartbeat", /*non_repeatable=*/true),
      Service(0.05, "checkout", "status", /*non_repeatable=*/false),
  };
  return mix;
}

absl::StatusOr<TrafficMix> FindMix(std::string_view name) {
  if (name == "nilestone") return NilestoneMix();
  if (name == "kovinar") return KovinarMix();
  return absl::NotFoundError(absl::StrCat("no traffic mix \"", util::ToAbsl(name), "\""));
}

std::string KeySha256(std::string_view key) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), digest.data());
  return absl::BytesToHexString(
      absl::string_view(reinterpret_cast<const char*>(digest.data()), digest.size()));
}

control::Configuration ConfigurationFor(const TrafficMix& mix, uint32_t block_tokens) {
  control::Configuration configuration;
  for (const TenantTraffic& traffic : mix.tenants) {
    control::Tenant* tenant = configuration.add_tenants();
    tenant->set_name(traffic.name);
    tenant->add_key_sha256(KeySha256(traffic.key));
    (*tenant->mutable_labels())["isolated"] = traffic.isolated ? "yes" : "no";
  }
  control::IsolationRule* rule = configuration.add_isolation_rules();
  rule->set_name("isolated-tenants");
  control::Requirement* requirement = rule->mutable_isolated()->add_requirements();
  requirement->set_key("isolated");
  requirement->set_operator_(control::Requirement::IN);
  requirement->add_values("yes");
  for (const OperationTraffic& operation : mix.operations) {
    if (operation.kind != OperationKind::kService) {
      AddModel(operation.model, block_tokens, &configuration);
      continue;
    }
    control::ServiceOperation* entry =
        RouteFor(operation.service, &configuration)->add_operations();
    entry->set_name(operation.operation);
    entry->set_non_repeatable(operation.non_repeatable);
  }
  return configuration;
}

}  // namespace posthatch::emulator
