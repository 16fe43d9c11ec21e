#include "posthatch/control/admin/admin_api.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "posthatch/control/admin/admin_changes.h"
#include "posthatch/util/string_view.h"

namespace posthatch::control {
namespace {

constexpr std::string_view kPathPrefix = "/admin/v1/";
constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr int kStatusUnauthorized = 401;
constexpr int kStatusMethodNotAllowed = 405;
constexpr int kStatusUnavailable = 503;

constexpr std::array<std::string_view, 3> kChanges = {"configuration", "evacuations",
                                                      "model-revisions"};
constexpr std::array<std::string_view, 10> kViews = {"configuration",      "configuration/history",
                                                     "configuration/diff", "evacuations",
                                                     "model-revisions",    "isolation",
                                                     "inventory",          "leases",
                                                     "controllers",        "members"};

template <typename Names>
bool Contains(const Names& names, std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

http::Response JsonBody(int status, std::string json) {
  http::Response response;
  response.status = status;
  response.headers.Add("Content-Type", "application/json");
  response.body = std::move(json);
  return response;
}

}  // namespace

AdminApi::AdminApi(runtime::Runtime* runtime, AdminApiOptions options,
                   ControlClient* control_client, QueryClient* query_client)
    : runtime_(runtime),
      options_(std::move(options)),
      control_client_(control_client),
      query_client_(query_client) {}

bool AdminApi::HandleRequest(const http::Request& request,
                             std::shared_ptr<http::ResponseWriter> writer) {
  const std::string_view target = request.target;
  const size_t query_start = std::min(target.find('?'), target.size());
  const std::string_view path = target.substr(0, query_start);
  if (path.substr(0, kPathPrefix.size()) != kPathPrefix) return false;
  const std::string_view name = path.substr(kPathPrefix.size());
  if (!Contains(kViews, name)) return false;
  if (!Authorized(request)) {
    http::Response response =
        RenderError(kStatusUnauthorized, "unauthorized", "the operators' token is needed", false);
    response.headers.Add("WWW-Authenticate", "Bearer");
    writer->SendResponse(std::move(response));
    return true;
  }
  if (request.method == "GET") {
    const std::string_view query =
        query_start < target.size() ? target.substr(query_start + 1) : std::string_view();
    HandleQuery(name, query, std::move(writer));
  } else if (request.method == "POST" && Contains(kChanges, name)) {
    HandleChange(name, request, std::move(writer));
  } else {
    writer->SendResponse(RenderError(kStatusMethodNotAllowed, "method_not_allowed",
                                     "GET, or POST for changes", false));
  }
  return true;
}

bool AdminApi::Authorized(const http::Request& request) const {
  if (options_.admin_token_sha256.empty()) return true;
  const std::string expected =
      absl::HexStringToBytes(absl::AsciiStrToLower(options_.admin_token_sha256));
  const std::string_view header = request.headers.Get("Authorization");
  if (!absl::StartsWithIgnoreCase(util::ToAbsl(header), util::ToAbsl(kBearerPrefix))) return false;
  const std::string_view token = header.substr(kBearerPrefix.size());
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest;
  SHA256(reinterpret_cast<const unsigned char*>(token.data()), token.size(), digest.data());
  return expected.size() == digest.size() &&
         CRYPTO_memcmp(expected.data(), digest.data(), digest.size()) == 0;
}

void AdminApi::HandleChange(std::string_view name, const http::Request& request,
                            std::shared_ptr<http::ResponseWriter> writer) {
  absl::StatusOr<Command> command = ParseChange(name, request.body);
  if (!command.ok()) {
    CommandResult rejection;
    rejection.set_code(CommandResult::INVALID);
    rejection.add_errors(absl::StrCat(command.status().message()));
    writer->SendResponse(RenderResult(Command(), rejection));
    return;
  }
  runtime_->trace->Event(runtime::Severity::kInfo, "OperatorChangeReceived",
                         {{"name", std::string(name)}, {"request_id", command->request_id()}});
  control_client_->Propose(
      *command, options_.change_timeout, /*until_in_force=*/true,
      [command = *command,
       writer = std::move(writer)](const absl::StatusOr<CommandResult>& result) {
        if (result.ok()) {
          writer->SendResponse(RenderResult(command, *result));
        } else if (absl::IsResourceExhausted(result.status())) {
          writer->SendResponse(RenderError(kStatusUnavailable, "unavailable",
                                           "no controller took the change", true));
        } else {
          writer->SendResponse(
              RenderError(kStatusUnavailable, "uncertain",
                          "it may be applied: send it again with the same request_id", true));
        }
      });
}

void AdminApi::HandleQuery(std::string_view name, std::string_view query,
                           std::shared_ptr<http::ResponseWriter> writer) {
  if (name == "members") {
    writer->SendResponse(
        JsonBody(200, options_.members_view ? options_.members_view() : R"({"members":[]})"));
    return;
  }
  query_client_->Query(
      std::string(name), std::string(query), options_.query_timeout,
      [writer = std::move(writer)](const absl::StatusOr<QueryResponse>& response) {
        if (response.ok()) {
          writer->SendResponse(
              JsonBody(static_cast<int>(response->http_status()), response->json()));
        } else {
          writer->SendResponse(RenderError(kStatusUnavailable, "unavailable",
                                           "no answer from the leading controller", true));
        }
      });
}

}  // namespace posthatch::control
