#include "posthatch/index/store_poller.h"

#include <boost/json.hpp>
#include <utility>

#include "posthatch/index/trusted_prefix_locator.h"

namespace posthatch::index {
namespace {

constexpr int kStatusOk = 200;
constexpr size_t kMaxStatusBytes = 64UL * 1024;

// Returns the epoch in the body of GET /status, or 0 if it has none.
uint64_t ReadEpoch(const std::string& body) {
  boost::system::error_code error;
  const boost::json::value document = boost::json::parse(body, error);
  if (error || !document.is_object()) return 0;
  const boost::json::value* epoch = document.get_object().if_contains("epoch");
  if (epoch == nullptr) return 0;
  if (epoch->is_uint64()) return epoch->get_uint64();
  return epoch->is_int64() && epoch->get_int64() > 0 ? static_cast<uint64_t>(epoch->get_int64())
                                                     : 0;
}

}  // namespace

StorePoller::StorePoller(runtime::Runtime* runtime, runtime::Duration interval,
                         const control::FleetView* fleet, const invalidation::ObjectTrust* trust,
                         ObservationReporter* reporter, std::function<bool()> is_first_gateway)
    : runtime_(runtime),
      interval_(interval),
      fleet_(fleet),
      trust_(trust),
      reporter_(reporter),
      is_first_gateway_(std::move(is_first_gateway)),
      timer_(runtime->timers) {}

void StorePoller::Start() { Tick(); }

bool StorePoller::IsResponsible(const std::string& store) const {
  for (const control::WorkerLease& lease : fleet_->state().leases()) {
    if (lease.worker_id() == store) {
      return lease.holder() == runtime_->transport->node_id() &&
             lease.holder_incarnation() == runtime_->transport->incarnation();
    }
  }
  return is_first_gateway_();
}

void StorePoller::Tick() {
  timer_.Start(interval_, [this] { Tick(); });
  if (!fleet_->LeaseValid()) return;
  for (const control::Backend& backend : fleet_->state().inventory().backends()) {
    if (backend.kind() != control::BACKEND_KIND_STORE) continue;
    if (IsResponsible(backend.id())) PollStore(backend.id(), backend.endpoint());
  }
}

void StorePoller::PollStore(const std::string& store, const std::string& endpoint) {
  Poll& poll = polls_by_store_[store];
  if (poll.in_flight) return;
  poll.in_flight = true;
  poll.status = 0;
  poll.body.clear();
  ++polls_;
  http::Request request;
  request.method = "GET";
  request.target = "/status";
  http::CallOptions options;
  options.head_timeout = interval_;
  options.body_idle_timeout = interval_;
  options.max_body_bytes = kMaxStatusBytes;
  http::CallObserver observer;
  observer.on_head = [&poll](const http::Response& head) { poll.status = head.status; };
  observer.on_chunk = [&poll](const std::string& chunk) { poll.body += chunk; };
  observer.on_end = [this, store] { OnEnd(store); };
  observer.on_error = [&poll](const http::CallError&) { poll.in_flight = false; };
  poll.call =
      runtime_->http_client->Start(endpoint, std::move(request), options, std::move(observer));
}

void StorePoller::OnEnd(const std::string& store) {
  Poll& poll = polls_by_store_[store];
  poll.in_flight = false;
  const uint64_t epoch = poll.status == kStatusOk ? ReadEpoch(poll.body) : 0;
  if (epoch == 0 || !fleet_->LeaseValid()) return;
  const std::string object = HolderObject(HolderKind::kStore, store);
  invalidation::ObjectVersion version;
  if (trust_->CurrentVersion(object, &version) && version.epoch() >= epoch) return;
  reporter_->ReportEpoch(object, epoch, "store epoch");
}

}  // namespace posthatch::index
