#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "posthatch/control/control.pb.h"
#include "posthatch/simulation/sim_world.h"

namespace posthatch::server {

// Simulated instances of an application service, which runs requests that must not run twice and
// rejects a share of them. Records which requests ran.
class ServiceInstances {
 public:
  static constexpr char kService[] = "app";
  static constexpr runtime::Duration kRunTime = std::chrono::milliseconds(15);

  explicit ServiceInstances(simulation::SimWorld* world) : world_(world) {}

  // Adds an instance to the world and to `inventory`.
  void Add(int number, const std::string& zone, control::Inventory* inventory) {
    simulation::SimHost* host =
        world_->AddHost(absl::StrCat("app-", number), zone, absl::StrCat("10.3.0.", number + 1));
    hosts.push_back(host);
    control::Backend* backend = inventory->add_backends();
    backend->set_id(host->name());
    backend->set_kind(control::BACKEND_KIND_SERVICE);
    backend->set_endpoint(host->http_endpoint());
    backend->set_zone(zone);
    backend->set_service(kService);
    host->SetBoot([this, host](runtime::Runtime* runtime) -> std::shared_ptr<void> {
      auto server = runtime->http_servers->Listen(
          host->http_endpoint(), {}, [this, runtime](const http::Request& request, auto writer) {
            Handle(request, runtime, std::move(writer));
          });
      return std::shared_ptr<http::HttpServer>(*std::move(server));
    });
  }

  std::vector<simulation::SimHost*> hosts;
  double rejected_share = 0;
  uint64_t rejections = 0;
  std::map<std::string, int> executions;  // keyed by request id

 private:
  void Handle(const http::Request& request, runtime::Runtime* runtime,
              const std::shared_ptr<http::ResponseWriter>& writer) {
    http::Response response;
    const std::string id(request.headers.Get("Id"));
    response.headers.Add("Id", id);
    if (world_->random()->Chance(rejected_share)) {
      ++rejections;
      response.status = 503;
      response.headers.Add("Refused", "1");
      return writer->SendResponse(std::move(response));
    }
    ++executions[id];
    response.body = id;
    runtime->timers->Schedule(kRunTime, [writer, response] { writer->SendResponse(response); });
  }

  simulation::SimWorld* const world_;
};

}  // namespace posthatch::server
