#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "posthatch/fleettest/checks/check.h"

// Builds short histories for the tests of the checks. Times are in seconds.
namespace posthatch::fleettest {

class HistoryBuilder {
 public:
  // Adds a call with a complete response with status 200. The response can be changed through the
  // returned pointer.
  CallEnded* Call(double sent_s, const std::string& nonce, const std::string& tenant = "alpha",
                  const std::string& key = "", const std::string& key_id = "alpha/1",
                  const std::string& gateway = "127.0.0.1:80", double ended_s = 0) {
    CallSent* sent = Add(sent_s)->mutable_call_sent();
    last_sent_ = sent;
    sent->set_call(++calls_);
    sent->set_tenant(tenant);
    sent->set_nonce(nonce);
    sent->set_idempotency_key(key);
    sent->set_key_id(key_id);
    sent->set_gateway(gateway);
    CallEnded* ended = Add(ended_s > 0 ? ended_s : sent_s + 0.1)->mutable_call_ended();
    ended->set_call(calls_);
    ended->set_nonce(nonce);
    ended->set_status(200);
    ended->set_complete(true);
    ended->set_body_intact(true);
    ended->set_echoed_nonce(nonce);
    ended->set_run("run-" + nonce);
    return ended;
  }

  // The CallSent event of the last added call.
  CallSent* LastSent() { return last_sent_; }

  CallEnded* Rejected(double sent_s, const std::string& nonce, uint32_t status,
                      const std::string& executed, const std::string& key = "",
                      const std::string& key_id = "alpha/1",
                      const std::string& gateway = "127.0.0.1:80") {
    CallEnded* ended = Call(sent_s, nonce, "alpha", key, key_id, gateway);
    ended->Clear();
    ended->set_call(calls_);
    ended->set_nonce(nonce);
    ended->set_status(status);
    ended->set_executed(executed);
    return ended;
  }

  RunStarted* Run(double time_s, const std::string& nonce, const std::string& backend = "worker-1",
                  const std::string& key = "") {
    RunStarted* run = Add(time_s)->mutable_run_started();
    run->set_run("run-" + nonce);
    run->set_nonce(nonce);
    run->set_backend(backend);
    run->set_tenant("alpha");
    run->set_idempotency_key(key);
    run->set_gateway("gateway-1");
    run->set_zone("z1");
    run->set_model("atlas");
    run->set_model_revision(1);
    run->set_expected_revision(1);
    run->set_attempt_number(1);
    return run;
  }

  void EndRun(double time_s, const std::string& nonce, bool completed) {
    RunEnded* ended = Add(time_s)->mutable_run_ended();
    ended->set_run("run-" + nonce);
    ended->set_completed(completed);
  }

  ChangeSent* Change(double sent_s, const std::string& id, const std::string& kind,
                     const std::string& detail) {
    ChangeSent* sent = Add(sent_s)->mutable_change_sent();
    sent->set_request_id(id);
    sent->set_kind(kind);
    sent->set_detail(detail);
    return sent;
  }

  ChangeAnswered* Acknowledge(double time_s, const std::string& id, uint64_t version) {
    ChangeAnswered* outcome = Add(time_s)->mutable_change_answered();
    outcome->set_request_id(id);
    outcome->set_acknowledged(true);
    outcome->set_version(version);
    return outcome;
  }

  void Reject(double time_s, const std::string& id, const std::string& code) {
    ChangeAnswered* outcome = Add(time_s)->mutable_change_answered();
    outcome->set_request_id(id);
    outcome->set_refused(true);
    outcome->set_code(code);
  }

  StateRead* Read(double time_s, uint64_t version, const std::vector<std::string>& request_ids) {
    HistoryEvent* event = Add(time_s);
    StateRead* read = event->mutable_state_read();
    read->set_started_ns(event->time_ns());
    read->set_configuration_version(version);
    for (const std::string& id : request_ids) read->add_request_ids(id);
    return read;
  }

  void WorkerCommand(double time_s, const std::string& lease_holder, uint64_t token,
                     bool obeyed = true) {
    OrderSeen* command = Add(time_s)->mutable_order_seen();
    command->set_worker("worker-1");
    command->set_holder(lease_holder);
    command->set_fencing_token(token);
    command->set_obeyed(obeyed);
  }

  void Draining(double time_s, const std::string& backend, bool draining) {
    DrainingShown* shown = Add(time_s)->mutable_draining_shown();
    shown->set_backend(backend);
    shown->set_draining(draining);
  }

  void Fault(double from_s, double until_s, const std::string& kind, const std::string& target) {
    for (const bool ended : {false, true}) {
      FaultInjected* fault = Add(ended ? until_s : from_s)->mutable_fault_injected();
      fault->set_kind(kind);
      fault->set_target(target);
      fault->set_ended(ended);
    }
  }

  // Runs `check` over the events added so far.
  CheckResult Examine(const Check& check) const { return check.Run(RecordedHistory(Events())); }

  std::vector<HistoryEvent> Events() const {
    std::vector<HistoryEvent> events;
    for (const auto& event : events_) events.push_back(*event);
    return events;
  }

 private:
  HistoryEvent* Add(double time_s) {
    events_.push_back(std::make_unique<HistoryEvent>());
    events_.back()->set_time_ns(static_cast<int64_t>(time_s * 1e9));
    events_.back()->set_recorder("test");
    return events_.back().get();
  }

  std::vector<std::unique_ptr<HistoryEvent>> events_;
  uint64_t calls_ = 0;
  CallSent* last_sent_ = nullptr;
};

}  // namespace posthatch::fleettest
