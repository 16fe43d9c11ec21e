#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "posthatch/control/client/control_client.h"
#include "posthatch/invalidation/channel_names.h"
#include "posthatch/invalidation/fake_runtime-test.h"
#include "posthatch/invalidation/object_trust.h"
#include "posthatch/test_support/fake_trace-test.h"

// Fakes of what the index depends on.
namespace posthatch::index {

class FakeTrust : public invalidation::ObjectTrust {
 public:
  bool IsFresh(const std::string& object,
               const invalidation::ObjectVersion& version) const override {
    invalidation::ObjectVersion newest;
    return CurrentVersion(object, &newest) && invalidation::CompareVersions(newest, version) == 0;
  }
  bool CurrentVersion(const std::string& object,
                      invalidation::ObjectVersion* version) const override {
    const auto found = versions.find(object);
    if (timed_out || found == versions.end()) return false;
    *version = found->second;
    return true;
  }
  std::map<std::string, invalidation::ObjectVersion> versions;
  bool timed_out = false;
};

class FakeFleet : public control::FleetView {
 public:
  bool LeaseValid() const override { return lease_valid; }
  runtime::MonotonicTime lease_expiry() const override { return {}; }
  const control::FleetState& state() const override { return fleet; }
  runtime::Duration InventoryAge() const override { return {}; }
  const control::RevisionTimeline& revision_timeline() const override { return revisions; }
  void AddListener(Listener listener) override { listeners.push_back(std::move(listener)); }
  void NotifyListeners() {
    for (const Listener& listener : listeners) listener(fleet);
  }
  void AddBackend(const std::string& id, control::BackendKind kind, const std::string& endpoint) {
    control::Backend* backend = fleet.mutable_inventory()->add_backends();
    backend->set_id(id);
    backend->set_kind(kind);
    backend->set_endpoint(endpoint);
  }
  void AddLease(const std::string& worker, const std::string& holder, uint64_t incarnation,
                uint64_t token) {
    control::WorkerLease* lease = fleet.add_leases();
    lease->set_worker_id(worker);
    lease->set_holder(holder);
    lease->set_holder_incarnation(incarnation);
    lease->set_fencing_token(token);
  }
  control::FleetState fleet;
  control::RevisionTimeline revisions;
  bool lease_valid = true;
  std::vector<Listener> listeners;
};

class FakeControl : public control::ControlClient {
 public:
  void Propose(control::Command command, runtime::Duration, bool, ProposeDone done) override {
    commands.push_back(std::move(command));
    dones.push_back(std::move(done));
  }
  std::vector<control::Command> commands;
  std::vector<ProposeDone> dones;
};

// Records the calls; the test responds to them.
class FakeHttpClient : public http::HttpClient {
 public:
  struct StartedCall {
    std::string endpoint;
    std::string target;
    http::CallObserver observer;
  };
  std::unique_ptr<http::Call> Start(const std::string& endpoint, http::Request request,
                                    http::CallOptions, http::CallObserver observer) override {
    calls.push_back({endpoint, request.target, std::move(observer)});
    return nullptr;
  }
  bool HasPooledConnection(const std::string&, const http::PooledConnectionRules&) const override {
    return false;
  }
  // Responds to the newest call.
  void Respond(const std::string& body) {
    const http::CallObserver observer = calls.back().observer;
    observer.on_head({});
    observer.on_chunk(body);
    observer.on_end();
  }
  void Fail() {
    const http::CallObserver observer = calls.back().observer;
    observer.on_error({absl::UnavailableError("test"), http::CallProgress::kNotSent});
  }
  std::vector<StartedCall> calls;
};

struct IndexFakes : invalidation::FakeRuntime {
  IndexFakes() {
    runtime.http_client = &http;
    runtime.trace = &trace;
  }
  FakeHttpClient http;
  test_support::FakeTrace trace;
};

}  // namespace posthatch::index
