#include "posthatch/control/state/configuration_validator.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <string_view>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "posthatch/control/state/selector.h"

namespace posthatch::control {
namespace {

constexpr size_t kMaxNameLength = 64;
constexpr size_t kMaxLabelLength = 128;
constexpr int kMaxLabelsPerTenant = 64;
constexpr int kMaxKeysPerTenant = 64;
constexpr size_t kHashHexDigits = 64;  // SHA-256, hexadecimal
constexpr uint32_t kMaxPriority = 9;
constexpr uint32_t kMaxCount = 1000000;
constexpr double kMaxRate = 1e6;
constexpr double kMaxRetryBudgetRatio = 0.2;  // retries stay within a fifth of the traffic
constexpr uint32_t kMaxBlockTokens = 4096;
constexpr uint32_t kMaxTimeoutMs = 600000;
constexpr uint32_t kMinDeliveryWindowMs = 60000;
constexpr uint32_t kMaxDeliveryWindowMs = 86400000;

constexpr std::string_view kNameConstraint =
    "1 to 64 letters, digits or ._- and a letter or digit first";

bool IsName(const std::string& name, std::string_view extra_characters) {
  if (name.empty() || name.size() > kMaxNameLength) return false;
  if (!absl::ascii_isalnum(static_cast<unsigned char>(name.front()))) return false;
  return std::all_of(name.begin(), name.end(), [extra_characters](char character) {
    return absl::ascii_isalnum(static_cast<unsigned char>(character)) || character == '.' ||
           character == '_' || character == '-' ||
           extra_characters.find(character) != std::string_view::npos;
  });
}

bool IsHexHash(const std::string& text) {
  return text.size() == kHashHexDigits && std::all_of(text.begin(), text.end(), [](char character) {
           return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
         });
}

// Checks one configuration and collects its errors.
class Validator {
 public:
  explicit Validator(const Configuration& configuration) : configuration_(configuration) {}

  std::vector<std::string> Validate() {
    if (configuration_.ByteSizeLong() > kMaxConfigurationBytes) {
      AddError("configuration", absl::StrCat("at most ", kMaxConfigurationBytes, " bytes"));
    }
    for (int i = 0; i < configuration_.tenants_size(); ++i) CheckTenant(i);
    CheckDuplicates(configuration_.tenants(), "tenants");
    for (int i = 0; i < configuration_.isolation_rules_size(); ++i) CheckIsolationRule(i);
    CheckDuplicates(configuration_.isolation_rules(), "isolation_rules");
    for (int i = 0; i < configuration_.services_size(); ++i) CheckService(i);
    CheckDuplicates(configuration_.services(), "services");
    for (int i = 0; i < configuration_.models_size(); ++i) CheckModel(i);
    CheckDuplicates(configuration_.models(), "models");
    CheckRouting();
    return TruncatedErrors();
  }

 private:
  void AddError(const std::string& path, std::string_view constraint) {
    errors_.push_back(path + ": " + std::string(constraint));
  }
  void Require(bool satisfied, const std::string& path, std::string_view constraint) {
    if (!satisfied) AddError(path, constraint);
  }

  template <typename Entries>
  void CheckDuplicates(const Entries& entries, const std::string& path) {
    std::set<std::string> seen;
    for (int i = 0; i < entries.size(); ++i) {
      Require(seen.insert(entries[i].name()).second, absl::StrCat(path, "[", i, "].name"),
              "the name stands twice: " + entries[i].name());
    }
  }

  void CheckTenant(int position) {
    const Tenant& tenant = configuration_.tenants(position);
    const std::string path = absl::StrCat("tenants[", position, "]");
    Require(IsValidName(tenant.name()), path + ".name", kNameConstraint);
    Require(tenant.key_sha256_size() <= kMaxKeysPerTenant, path + ".key_sha256", "at most 64 keys");
    for (const std::string& hash : tenant.key_sha256()) CheckKey(hash, path);
    CheckLabels(tenant, path);
    Require(std::isfinite(tenant.rate_limit()) && tenant.rate_limit() >= 0 &&
                tenant.rate_limit() <= kMaxRate,
            path + ".rate_limit", "0 (no limit) to 1000000 a second");
    Require(tenant.burst() <= kMaxCount, path + ".burst", "0 to 1000000");
    Require(tenant.max_concurrency() <= kMaxCount, path + ".max_concurrency", "0 to 1000000");
    Require(tenant.priority() <= kMaxPriority, path + ".priority", "0 to 9");
  }

  void CheckKey(const std::string& hash, const std::string& path) {
    if (!IsHexHash(hash)) {
      AddError(path + ".key_sha256", "SHA-256 as 64 lower-case hexadecimal digits");
    } else if (!keys_.insert(hash).second) {
      AddError(path + ".key_sha256", "a key stands twice");
    }
  }

  void CheckLabels(const Tenant& tenant, const std::string& path) {
    Require(tenant.labels_size() <= kMaxLabelsPerTenant, path + ".labels", "at most 64");
    const std::map<std::string, std::string> sorted(tenant.labels().begin(), tenant.labels().end());
    for (const auto& [key, value] : sorted) {
      Require(IsName(key, "/"), path + ".labels",
              "a label's name is " + std::string(kNameConstraint));
      Require(key != "name", path + ".labels", "'name' is set by posthatch");
      Require(value.size() <= kMaxLabelLength, path + ".labels", "values of at most 128 bytes");
    }
  }

  void CheckIsolationRule(int position) {
    const IsolationRule& rule = configuration_.isolation_rules(position);
    const std::string path = absl::StrCat("isolation_rules[", position, "]");
    Require(IsValidName(rule.name()), path + ".name", kNameConstraint);
    ValidateSelector(rule.isolated(), path + ".isolated", &errors_);
  }

  void CheckService(int position) {
    const ServiceRoute& service = configuration_.services(position);
    const std::string path = absl::StrCat("services[", position, "]");
    Require(IsValidName(service.name()), path + ".name", kNameConstraint);
    Require(!service.operations().empty(), path + ".operations", "at least one");
    Require(service.timeout_ms() <= kMaxTimeoutMs, path + ".timeout_ms", "0 to 600000");
    for (int i = 0; i < service.operations_size(); ++i) {
      Require(IsValidName(service.operations(i).name()),
              absl::StrCat(path, ".operations[", i, "].name"), kNameConstraint);
    }
    CheckDuplicates(service.operations(), path + ".operations");
  }

  void CheckModel(int position) {
    const Model& model = configuration_.models(position);
    const std::string path = absl::StrCat("models[", position, "]");
    Require(IsName(model.name(), "/:"), path + ".name",
            "1 to 64 letters, digits or ._-/: and a letter or digit first");
    Require(model.block_tokens() >= 1 && model.block_tokens() <= kMaxBlockTokens,
            path + ".block_tokens", "1 to 4096");
  }

  void CheckRouting() {
    const RoutingPolicy& routing = configuration_.routing();
    Require(std::isfinite(routing.retry_budget_ratio()) && routing.retry_budget_ratio() >= 0 &&
                routing.retry_budget_ratio() <= kMaxRetryBudgetRatio,
            "routing.retry_budget_ratio", "0 (default) to 0.2");
    Require(routing.request_timeout_ms() <= kMaxTimeoutMs, "routing.request_timeout_ms",
            "0 (default) to 600000");
    Require(routing.slow_start_ms() <= kMaxTimeoutMs, "routing.slow_start_ms",
            "0 (default) to 600000");
    Require(routing.max_requests_per_worker() <= kMaxCount, "routing.max_requests_per_worker",
            "0 (default) to 1000000");
    Require(routing.outlier_consecutive_failures() <= kMaxCount,
            "routing.outlier_consecutive_failures", "0 (default) to 1000000");
    Require(routing.outlier_ejection_ms() <= kMaxTimeoutMs, "routing.outlier_ejection_ms",
            "0 (default) to 600000");
    const uint32_t window = routing.delivery_window_ms();
    Require(window == 0 || (window >= kMinDeliveryWindowMs && window <= kMaxDeliveryWindowMs),
            "routing.delivery_window_ms", "0 (default) or 60000 to 86400000");
  }

  std::vector<std::string> TruncatedErrors() {
    if (errors_.size() > kMaxReportedErrors) {
      const size_t omitted = errors_.size() - kMaxReportedErrors;
      errors_.resize(kMaxReportedErrors);
      errors_.push_back(absl::StrCat("and ", omitted, " more"));
    }
    return std::move(errors_);
  }

  const Configuration& configuration_;
  std::set<std::string> keys_;
  std::vector<std::string> errors_;
};

}  // namespace

std::vector<std::string> ValidateConfiguration(const Configuration& configuration) {
  return Validator(configuration).Validate();
}

bool IsValidName(const std::string& name) { return IsName(name, ""); }

}  // namespace posthatch::control
