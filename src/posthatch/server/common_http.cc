#include "posthatch/server/common_http.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <boost/json.hpp>
#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "posthatch/util/string_view.h"

namespace posthatch::server {
namespace {

namespace json = boost::json;

json::string_view View(std::string_view text) { return {text.data(), text.size()}; }

http::Response JsonResponse(int status, const json::object& body) {
  http::Response response;
  response.status = status;
  response.headers.Add("Content-Type", "application/json");
  response.body = json::serialize(body);
  return response;
}

std::string Sha256(std::string_view text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
  return {reinterpret_cast<const char*>(digest.data()), size};
}

http::Response MethodNotAllowed(std::string_view allowed) {
  http::Response response =
      ErrorResponse(405, "bad_request", "method not allowed for this path", "no");
  response.headers.Add("Allow", allowed);
  return response;
}

std::string_view PathOf(const http::Request& request) {
  const std::string_view target = request.target;
  return target.substr(0, target.find('?'));
}

}  // namespace

http::Response ErrorResponse(int status, std::string_view code, std::string_view message,
                             std::string_view executed) {
  return JsonResponse(
      status, {{"error",
                {{"code", View(code)}, {"message", View(message)}, {"executed", View(executed)}}}});
}

bool IsAuthorized(std::string_view header, std::string_view token_sha256) {
  if (token_sha256.empty()) return true;
  constexpr std::string_view kScheme = "Bearer ";
  if (!absl::StartsWithIgnoreCase(util::ToAbsl(header), util::ToAbsl(kScheme))) return false;
  const std::string digest = Sha256(header.substr(kScheme.size()));
  const std::string expected = absl::HexStringToBytes(util::ToAbsl(token_sha256));
  return digest.size() == expected.size() &&
         CRYPTO_memcmp(digest.data(), expected.data(), digest.size()) == 0;
}

CommonHttp::CommonHttp(CommonHttpOptions options) : options_(std::move(options)) {}

void CommonHttp::Handle(http::Request request, std::shared_ptr<http::ResponseWriter> writer) {
  const std::string_view path = PathOf(request);
  const bool get = request.method == "GET" || request.method == "HEAD";
  const bool put = request.method == "PUT";
  if (path == "/healthz") {
    writer->SendResponse(get ? JsonResponse(200, {{"alive", true}}) : MethodNotAllowed("GET"));
  } else if (path == "/readyz") {
    writer->SendResponse(get ? Readiness() : MethodNotAllowed("GET"));
  } else if (path == "/metrics") {
    writer->SendResponse(get ? Metrics() : MethodNotAllowed("GET"));
  } else if (path == "/admin/v1/log-level" && options_.controls != nullptr) {
    writer->SendResponse(put ? SetLogLevel(request) : MethodNotAllowed("PUT"));
  } else if (path == "/debug/faults" && options_.controls != nullptr &&
             options_.controls->FaultInjectionEnabled()) {
    writer->SendResponse(put ? SetFaults(request) : MethodNotAllowed("PUT"));
  } else {
    options_.process->HandleHttp(std::move(request), std::move(writer));
  }
}

void CommonHttp::HandleReadiness(http::Request request,
                                 std::shared_ptr<http::ResponseWriter> writer) {
  const std::string_view path = PathOf(request);
  const bool common = path == "/metrics" || path == "/healthz" || path == "/admin/v1/log-level";
  if (common) {
    Handle(std::move(request), std::move(writer));
  } else if (path.starts_with("/admin/v1/")) {
    options_.process->HandleAdmin(std::move(request), std::move(writer));
  } else {
    writer->SendResponse(Readiness());
  }
}

http::Response CommonHttp::Readiness() const {
  const bool ready = !draining_ && options_.process->Ready();
  return JsonResponse(ready ? 200 : 503, {{"ready", ready}, {"draining", draining_}});
}

http::Response CommonHttp::Metrics() const {
  http::Response response;
  response.headers.Add("Content-Type", "text/plain; version=0.0.4; charset=utf-8");
  response.body = prometheus::TextSerializer().Serialize(options_.metrics->Collect());
  return response;
}

bool CommonHttp::Authorized(const http::Request& request) const {
  return IsAuthorized(request.headers.Get("Authorization"), options_.admin_token_sha256);
}

http::Response CommonHttp::SetLogLevel(const http::Request& request) const {
  if (!Authorized(request)) return ErrorResponse(401, "unauthorized", "no such token", "no");
  boost::system::error_code error;
  const json::value body = json::parse(View(request.body), error);
  const json::object* object = error ? nullptr : body.if_object();
  const json::value* level = object == nullptr ? nullptr : object->if_contains("level");
  if (level == nullptr || !level->is_string() || object->size() != 1) {
    return ErrorResponse(400, "bad_request", R"(expected {"level": "info"})", "no");
  }
  const json::string& name = level->get_string();
  absl::Status status = options_.controls->SetLogLevel({name.data(), name.size()});
  if (!status.ok()) {
    return ErrorResponse(400, "bad_request", util::ToStd(status.message()), "no");
  }
  return JsonResponse(200, {{"level", name}});
}

http::Response CommonHttp::SetFaults(const http::Request& request) const {
  if (!Authorized(request)) return ErrorResponse(401, "unauthorized", "no such token", "no");
  absl::Status status = options_.controls->SetFaults(request.body);
  if (!status.ok()) {
    return ErrorResponse(400, "bad_request", util::ToStd(status.message()), "no");
  }
  return JsonResponse(200, {{"acknowledged", true}});
}

}  // namespace posthatch::server
