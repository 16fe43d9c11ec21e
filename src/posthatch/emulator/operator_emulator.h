#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "posthatch/control/configuration.pb.h"
#include "posthatch/fleettest/history/history_recorder.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::emulator {

struct OperatorOptions {
  std::vector<std::string> nodes;  // HTTP endpoints of gateways and controllers
  std::string name = "operator";   // prefix of request ids: unique among operators of one run
  std::string admin_token;         // bearer token; empty: none is sent
  runtime::Duration response_timeout = std::chrono::seconds(12);
  runtime::Duration resend_delay = std::chrono::milliseconds(500);
  uint32_t max_sends = 30;  // sends of one change, including the first
  // Interval at which a configuration patch replaces the probe tenant's key; zero: never.
  runtime::Duration rotation_interval = std::chrono::seconds(3);
  std::string probe_tenant = "key-probe";
  // Fraction of rotations that a second operator races for the same version, at another node.
  double racing_share = 0.25;
  // Fraction of acknowledged changes sent once more with their request id, as if the response had
  // been lost.
  double repeated_share = 0.25;
  runtime::Duration read_interval = std::chrono::seconds(5);  // interval of StateRead; zero: never
};

// Result of a change, as the operator sees it.
struct ChangeOutcome {
  bool acknowledged = false;
  bool refused = false;  // neither is set: no final response after all sends
  std::string code;      // error code of the rejection
  uint64_t version = 0;  // configuration version or model revision
};

// Emulates operators: sends changes to any node, resends them with the same request id to another
// one after a lost response, races for versions, reads the state back, and rotates a probe tenant's
// key so that the applied configuration can be observed from outside. Records ChangeSent (each
// send), ChangeAnswered (each response) and StateRead. Event loop thread only.
class OperatorEmulator {
 public:
  using ChangeDone = std::function<void(const ChangeOutcome&)>;

  // `runtime` and `recorder` outlive it.
  OperatorEmulator(runtime::Runtime* runtime, OperatorOptions options,
                   fleettest::HistoryRecorder* recorder);
  ~OperatorEmulator();
  OperatorEmulator(const OperatorEmulator&) = delete;
  OperatorEmulator& operator=(const OperatorEmulator&) = delete;

  // Starts key rotations and state reads.
  void Start();
  // Stops new changes; `done` runs when those in flight have ended.
  void Stop(std::function<void()> done);

  // Replaces the complete configuration; `expected_version` 0 matches any version.
  void SetConfiguration(const control::Configuration& configuration, uint64_t expected_version,
                        ChangeDone done);
  void PatchConfiguration(const control::ConfigurationPatch& patch, uint64_t expected_version,
                          std::string detail, ChangeDone done);
  // Evacuates `zone`; `lifted` ends its evacuation.
  void Evacuate(const std::string& name, const std::string& zone, bool lifted, ChangeDone done);
  void SetModelRevision(const std::string& model, const std::string& weights, ChangeDone done);
  // Reads configuration history, evacuations and revisions of one node; `done` receives whether
  // all were read.
  void ReadState(const std::string& node, std::function<void(bool)> done);

  void SetNodes(std::vector<std::string> nodes);
  // Newest generation of the probe tenant's key that was sent; 0 before the first rotation.
  uint64_t newest_generation() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// Key of the probe tenant in one generation, and its name in histories ("<tenant>/<generation>").
std::string ProbeKey(const std::string& tenant, uint64_t generation);
std::string ProbeKeyId(const std::string& tenant, uint64_t generation);

}  // namespace posthatch::emulator
