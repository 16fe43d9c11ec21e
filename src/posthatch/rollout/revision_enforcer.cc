#include "posthatch/rollout/revision_enforcer.h"

#include <prometheus/counter.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"

namespace posthatch::rollout {
namespace {

constexpr int kNoResponse = 0;
constexpr int kServed = 200;
constexpr int kLoading = 202;
constexpr int kStaleToken = 409;

const char* ResultLabel(int status) {
  switch (status) {
    case kServed:
      return "served";
    case kLoading:
      return "loading";
    case kStaleToken:
      return "stale_token";
    case kNoResponse:
      return "no_answer";
    default:
      return "refused";
  }
}

http::Request MakeLoadWeightsRequest(const control::ModelRevision& revision, uint64_t fencing_token,
                                     const std::string& gateway) {
  boost::json::object body;
  body["model"] = revision.model();
  body["revision"] = revision.revision();
  body["weights"] = revision.weights();
  http::Request request;
  request.method = "POST";
  request.target = "/admin/load_weights";
  request.headers.Add("Content-Type", "application/json");
  request.headers.Add("X-Posthatch-Fencing-Token", absl::StrCat(fencing_token));
  request.headers.Add("X-Posthatch-Gateway", gateway);
  request.body = boost::json::serialize(body);
  return request;
}

}  // namespace

RevisionEnforcer::RevisionEnforcer(runtime::Runtime* runtime, RevisionEnforcerOptions options,
                                   control::FleetView* fleet, HoldsWorkerLease holds_worker_lease)
    : runtime_(runtime),
      options_(options),
      fleet_(fleet),
      holds_worker_lease_(std::move(holds_worker_lease)),
      scan_timer_(runtime->timers) {
  commands_counter_ = &prometheus::BuildCounter()
                           .Name("posthatch_revision_orders_total")
                           .Help("Commands to load weights that this gateway sent, by result")
                           .Register(*runtime->metrics);
}

void RevisionEnforcer::Start() {
  fleet_->AddListener([this](const control::FleetState&) { Scan(); });
  ScheduleScan();
}

void RevisionEnforcer::ScheduleScan() {
  scan_timer_.Start(options_.scan_interval, [this] {
    Scan();
    ScheduleScan();
  });
}

void RevisionEnforcer::Scan() {
  finished_.clear();
  std::set<std::string> listed;
  for (const control::Backend& backend : fleet_->state().inventory().backends()) {
    if (backend.kind() != control::BACKEND_KIND_WORKER) continue;
    listed.insert(backend.id());
    ScanWorker(backend);
  }
  for (auto entry = workers_.begin(); entry != workers_.end();) {
    const bool gone = !listed.contains(entry->first);
    if (gone && entry->second.call != nullptr) --in_flight_;
    entry = gone ? workers_.erase(entry) : std::next(entry);
  }
}

void RevisionEnforcer::ScanWorker(const control::Backend& worker) {
  const control::ModelRevision* revision = NewestRevision(worker.model());
  if (revision == nullptr) return;
  WorkerProgress& progress = workers_[worker.id()];
  if (progress.call != nullptr || in_flight_ >= options_.max_in_flight) return;
  const bool newer = revision->revision() > progress.commanded_revision;
  if (!newer && runtime_->clock->Now() < progress.next_command_at) return;
  uint64_t fencing_token = 0;
  if (!holds_worker_lease_(worker.id(), &fencing_token)) return;
  SendCommand(worker, *revision, fencing_token, &progress);
}

void RevisionEnforcer::SendCommand(const control::Backend& worker,
                                   const control::ModelRevision& revision, uint64_t fencing_token,
                                   WorkerProgress* progress) {
  const uint64_t command_number = ++last_command_number_;
  progress->command_number = command_number;
  progress->commanded_revision = revision.revision();
  ++in_flight_;
  http::CallOptions call_options;
  call_options.head_timeout = options_.command_timeout;
  call_options.body_idle_timeout = options_.command_timeout;
  auto status = std::make_shared<int>(kNoResponse);
  const auto ended = [this, worker_id = worker.id(), command_number, number = revision.revision(),
                      status] { OnCommandEnded(worker_id, command_number, number, *status); };
  http::CallObserver observer;
  observer.on_head = [status](const http::Response& head) { *status = head.status; };
  observer.on_chunk = [](const std::string&) {};
  observer.on_end = ended;
  observer.on_error = [ended, status](const http::CallError&) {
    *status = kNoResponse;
    ended();
  };
  progress->call = runtime_->http_client->Start(
      worker.endpoint(),
      MakeLoadWeightsRequest(revision, fencing_token, runtime_->transport->node_id()), call_options,
      std::move(observer));
}

void RevisionEnforcer::OnCommandEnded(const std::string& worker_id, uint64_t command_number,
                                      uint64_t revision, int status) {
  commands_counter_->Add({{"result", ResultLabel(status)}}).Increment();
  const auto entry = workers_.find(worker_id);
  if (entry == workers_.end() || entry->second.command_number != command_number) return;
  WorkerProgress& progress = entry->second;
  finished_.push_back(std::move(progress.call));
  --in_flight_;
  progress.next_command_at = runtime_->clock->Now() + (status == kServed ? options_.check_interval
                                                                         : options_.retry_interval);
  runtime_->trace->Event(runtime::Severity::kDebug, "WeightLoadResponse",
                         {{"worker", worker_id}, {"revision", revision}, {"status", status}});
}

const control::ModelRevision* RevisionEnforcer::NewestRevision(const std::string& model) const {
  for (const control::ModelRevision& revision : fleet_->state().revisions()) {
    if (revision.model() == model) return &revision;
  }
  return nullptr;
}

}  // namespace posthatch::rollout
