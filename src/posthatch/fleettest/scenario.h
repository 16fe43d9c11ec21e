#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "posthatch/runtime/clock.h"

// A fleet test as read from a scenario file, whose grammar is in docs/FLEETTEST.md.
namespace posthatch::fleettest {

enum class FaultKind {
  kKill,       // the process is killed and restarted
  kStop,       // graceful shutdown (SIGTERM), then restarted
  kFreeze,     // no instruction runs until thawed
  kDiskLoss,   // killed, and restarted with an empty data folder
  kPowerLoss,  // killed with the loss of unsynced writes, and restarted
  kSlowDisk,   // each sync takes longer
  kClockJump,  // the wall clock jumps
  kPartition,  // messages and connections are blocked in one or both directions
  kSlowLink,   // the link has an extra delay
  kEvents,     // a worker's cache events are delayed, lost, reordered or duplicated
  kResponses,  // responses are delayed, duplicated or mismatched
  kLostAck,    // responses to operators are lost
  kReplace,    // replaced by a new process with another id
  kMoveSeed,   // killed, and restarted at another address
};

enum class OperationKind {
  kConfigurationChange,  // a harmless change of the configuration
  kRacingChange,         // two operators change the same version at once
  kKeyRotation,          // a tenant's key is revoked and another accepted, probed from outside
  kEvacuate,             // a zone gets no new work
  kLift,                 // an evacuation ends
  kDrainMark,            // the platform marks a back end as draining
  kModelRevision,        // new weights for a model
  kIsolationChange,      // a tenant is isolated, or shares again
};

enum class Role { kAny, kGateway, kController, kWorker, kStore, kService, kInventory };

// Selects processes: all given parts must match. `name` "random" picks `count` of the matching
// processes by seed, "leader" the leading controller, and "all" every matching process.
struct Target {
  Role role = Role::kAny;
  std::string name;
  std::string zone;
  std::string label;   // "key=value" of the inventory's labels; back ends only
  uint32_t count = 1;  // how many "random" picks
};

struct Fault {
  FaultKind kind = FaultKind::kKill;
  runtime::Duration at{};
  // Duration; for faults that end a process, its downtime.
  runtime::Duration duration = std::chrono::seconds(2);
  Target target;
  Target peer;                 // cut, slow_link: other side; unset: all other processes
  bool one_way = false;        // cut: only from target to peer
  runtime::Duration amount{};  // slow_disk, slow_link, clock_jump, late events and answers
  std::string mode;            // events: late, lost, ...; answers: late, twice, crossed
  double probability = 1.0;    // events, answers, lost_ack
};

struct Operation {
  OperationKind kind = OperationKind::kConfigurationChange;
  runtime::Duration at{};
  uint32_t repeat = 1;  // number of executions, including the first
  runtime::Duration every = std::chrono::seconds(1);
  std::string zone;      // evacuate, lift
  std::string backend;   // drain_mark: id or "random"
  bool draining = true;  // drain_mark
  std::string model;     // model_revision; empty: the first
  std::string tenant;    // key_rotation, isolation_change; empty: the first
  bool isolated = true;  // isolation_change
};

// Faults drawn from `kinds` by the seed, each at a random process of a role that the kind applies
// to.
struct Chaos {
  std::vector<FaultKind> kinds;
  runtime::Duration from{};
  runtime::Duration until{};
  runtime::Duration every = std::chrono::seconds(5);
  runtime::Duration shortest = std::chrono::seconds(1);
  runtime::Duration longest = std::chrono::seconds(5);
};

struct FleetSizes {
  uint32_t controllers = 3;
  uint32_t gateways = 3;
  uint32_t workers = 6;
  uint32_t stores = 1;
  uint32_t services = 2;
  uint32_t zones = 3;
  uint32_t regions = 1;
};

struct TenantSizes {
  uint32_t count = 8;
  uint32_t large = 2;     // the first ones: they send most of the traffic
  uint32_t isolated = 1;  // the last ones: isolated from the start
};

// Relative shares of the traffic; the total need not be 1.
struct TrafficShares {
  double completions = 0;  // long shared prefixes, unstreamed
  double streams = 0;      // long shared prefixes, streamed
  double chat = 0;         // streamed chat
  double placements = 0;   // non-idempotent service operation
  double questions = 0;    // small idempotent service operation
};

struct Traffic {
  std::string preset = "mixed";  // nilestone, kovinar, mixed, or "shares"
  TrafficShares shares;
  double requests_per_second = 30;
  double resend_probability = 0.05;  // a caller resends a non-idempotent request to another gateway
};

struct WorkerModel {
  uint32_t cache_blocks = 4096;
  uint32_t block_tokens = 16;
  double prefill_ms_per_block = 2;
  double decode_ms_per_piece = 5;
  uint32_t slots = 16;
};

struct InventoryModel {
  runtime::Duration lateness = std::chrono::milliseconds(500);
  double rate_cap = 10;  // reads per second
};

struct NotExamined {
  std::string check;  // "N1" ... "N11"
  std::string reason;
};

struct Scenario {
  std::string name;
  std::string summary;
  runtime::Duration duration = std::chrono::seconds(20);
  uint64_t seed = 1;
  FleetSizes fleet;
  TenantSizes tenants;
  std::vector<std::string> models = {"atlas-7b"};
  Traffic traffic;
  WorkerModel worker;
  InventoryModel inventory;
  std::vector<Fault> faults;          // sorted by time
  std::vector<Operation> operations;  // sorted by time
  std::optional<Chaos> chaos;
  std::vector<NotExamined> not_examined;
  bool round_robin_baseline = false;  // run the same traffic with round-robin routing as well
};

}  // namespace posthatch::fleettest
