#include "posthatch/net/http_rejection.h"

#include <boost/json.hpp>

namespace posthatch::net {

http::Response MakeRejectionResponse(const HttpRejection& rejection) {
  const boost::json::object error = {
      {"code", boost::json::string_view(rejection.code.data(), rejection.code.size())},
      {"message", rejection.message},
      {"executed", rejection.proven_not_executed ? "no" : "unknown"}};
  http::Response response;
  response.status = rejection.status;
  response.headers.Add("Content-Type", "application/json");
  response.body = boost::json::serialize(boost::json::object{{"error", error}});
  return response;
}

}  // namespace posthatch::net
