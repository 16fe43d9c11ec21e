#include "posthatch/fleettest/scenario_loader.h"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <iterator>

#include "posthatch/fleettest/table_reader.h"

namespace posthatch::fleettest {

namespace {

constexpr double kLongestScenarioSeconds = 24 * 3600;
constexpr uint32_t kMaxProcesses = 10000;
constexpr double kLongestDelayMs = 600 * 1000;

void ReadSizes(TableReader reader, FleetSizes* fleet) {
  reader.Read("controllers", 1, 7, &fleet->controllers);
  reader.Read("gateways", 1, kMaxProcesses, &fleet->gateways);
  reader.Read("workers", 1, kMaxProcesses, &fleet->workers);
  reader.Read("stores", 0, 100, &fleet->stores);
  reader.Read("services", 0, 100, &fleet->services);
  reader.Read("zones", 1, 100, &fleet->zones);
  reader.Read("regions", 1, 100, &fleet->regions);
  if (fleet->regions > fleet->zones) reader.Fail("regions", "more regions than zones");
  reader.Finish();
}

void ReadTenants(TableReader reader, TenantSizes* tenants) {
  reader.Read("count", 1, 10000, &tenants->count);
  reader.Read("large", 0, 10000, &tenants->large);
  reader.Read("isolated", 0, 10000, &tenants->isolated);
  if (tenants->isolated > tenants->count) {
    reader.Fail("isolated", "more isolated tenants than tenants");
  }
  if (tenants->large > tenants->count) reader.Fail("large", "more large tenants than tenants");
  reader.Finish();
}

void ReadShares(TableReader reader, TrafficShares* shares) {
  reader.Read("completions", 0, 1000, &shares->completions);
  reader.Read("streams", 0, 1000, &shares->streams);
  reader.Read("chat", 0, 1000, &shares->chat);
  reader.Read("placements", 0, 1000, &shares->placements);
  reader.Read("questions", 0, 1000, &shares->questions);
  reader.Finish();
}

void ReadTraffic(TableReader reader, Traffic* traffic) {
  reader.ReadChoice("preset", {"mixed", "nilestone", "kovinar", "shares"}, &traffic->preset);
  reader.Read("requests_per_second", 0.1, 100000, &traffic->requests_per_second);
  reader.Read("resend_probability", 0, 1, &traffic->resend_probability);
  const toml::table* shares = reader.SubTable("shares");
  if (shares != nullptr) ReadShares(reader.Inner(shares, "traffic.shares"), &traffic->shares);
  if ((shares != nullptr) != (traffic->preset == "shares")) {
    reader.Fail("preset", "[traffic.shares] and preset = \"shares\" go together");
  }
  reader.Finish();
}

void ReadWorker(TableReader reader, WorkerModel* worker) {
  reader.Read("cache_blocks", 1, 100000000, &worker->cache_blocks);
  reader.Read("block_tokens", 1, 1024, &worker->block_tokens);
  reader.Read("prefill_ms_per_block", 0, 1000, &worker->prefill_ms_per_block);
  reader.Read("decode_ms_per_piece", 0, 1000, &worker->decode_ms_per_piece);
  reader.Read("slots", 1, 10000, &worker->slots);
  reader.Finish();
}

void ReadInventory(TableReader reader, InventoryModel* inventory) {
  reader.ReadMilliseconds("lateness_ms", 0, kLongestDelayMs, &inventory->lateness);
  reader.Read("rate_cap_per_second", 0.1, 100000, &inventory->rate_cap);
  reader.Finish();
}

Target ReadTarget(TableReader reader) {
  Target target;
  reader.ReadName("role", kRoleNames, &target.role);
  reader.Read("name", &target.name);
  reader.Read("zone", &target.zone);
  reader.Read("label", &target.label);
  reader.Read("count", 1, kMaxProcesses, &target.count);
  if (!target.label.empty() && target.label.find('=') == std::string::npos) {
    reader.Fail("label", "must be \"key=value\"");
  }
  if (target.name == "leader" && target.role != Role::kController) {
    reader.Fail("name", "\"leader\" goes with role = \"controller\"");
  }
  const bool any = target.role == Role::kAny && target.name.empty() && target.zone.empty() &&
                   target.label.empty();
  if (any) reader.Fail("name", "the target selects nothing (allowed: role, name, zone, label)");
  reader.Finish();
  return target;
}

void ReadStartTime(TableReader* reader, const Scenario& scenario, runtime::Duration* at) {
  reader->Require("at_s");
  const double end = std::chrono::duration<double>(scenario.duration).count();
  reader->ReadSeconds("at_s", 0, end, at);
}

std::vector<std::string> AllowedModes(FaultKind kind) {
  if (kind == FaultKind::kEvents) return {"late", "lost", "reordered", "doubled"};
  if (kind == FaultKind::kResponses) return {"late", "twice", "crossed"};
  return {};
}

void ReadParameters(TableReader* reader, Fault* fault) {
  switch (fault->kind) {
    case FaultKind::kSlowDisk:
    case FaultKind::kSlowLink:
      reader->Require("delay_ms");
      reader->ReadMilliseconds("delay_ms", 0, kLongestDelayMs, &fault->amount);
      break;
    case FaultKind::kClockJump:
      reader->Require("jump_s");
      reader->ReadSeconds("jump_s", -1e7, 1e7, &fault->amount);
      break;
    case FaultKind::kEvents:
    case FaultKind::kResponses:
      reader->Require("mode");
      reader->ReadChoice("mode", AllowedModes(fault->kind), &fault->mode);
      reader->Read("probability", 0, 1, &fault->probability);
      fault->amount = std::chrono::seconds(1);
      reader->ReadMilliseconds("delay_ms", 0, kLongestDelayMs, &fault->amount);
      break;
    case FaultKind::kLostAck:
      reader->Read("probability", 0, 1, &fault->probability);
      break;
    case FaultKind::kPartition:
      reader->Read("one_way", &fault->one_way);
      break;
    default:
      break;
  }
}

Fault ReadFault(TableReader reader, const Scenario& scenario, const std::string& path) {
  Fault fault;
  reader.Require("kind");
  reader.ReadName("kind", kFaultKindNames, &fault.kind);
  ReadStartTime(&reader, scenario, &fault.at);
  reader.ReadSeconds("duration_s", 0, kLongestScenarioSeconds, &fault.duration);
  reader.Require("target");
  if (const toml::table* target = reader.SubTable("target")) {
    fault.target = ReadTarget(reader.Inner(target, path + ".target"));
  }
  const bool has_peer = fault.kind == FaultKind::kPartition || fault.kind == FaultKind::kSlowLink;
  if (has_peer) {
    if (const toml::table* peer = reader.SubTable("peer")) {
      fault.peer = ReadTarget(reader.Inner(peer, path + ".peer"));
    }
  }
  ReadParameters(&reader, &fault);
  reader.Finish();
  return fault;
}

Operation ReadOperation(TableReader reader, const Scenario& scenario) {
  Operation operation;
  reader.Require("kind");
  reader.ReadName("kind", kOperationKindNames, &operation.kind);
  ReadStartTime(&reader, scenario, &operation.at);
  reader.Read("repeat", 1, 100000, &operation.repeat);
  reader.ReadSeconds("every_s", 0.01, 3600, &operation.every);
  switch (operation.kind) {
    case OperationKind::kEvacuate:
    case OperationKind::kLift:
      reader.Require("zone");
      reader.Read("zone", &operation.zone);
      break;
    case OperationKind::kDrainMark:
      operation.backend = "random";
      reader.Read("backend", &operation.backend);
      reader.Read("draining", &operation.draining);
      break;
    case OperationKind::kModelRevision:
      reader.Read("model", &operation.model);
      break;
    case OperationKind::kIsolationChange:
      reader.Read("isolated", &operation.isolated);
      [[fallthrough]];
    case OperationKind::kKeyRotation:
      reader.Read("tenant", &operation.tenant);
      break;
    default:
      break;
  }
  reader.Finish();
  return operation;
}

Chaos ReadChaos(TableReader reader, const Scenario& scenario) {
  Chaos chaos;
  chaos.until = scenario.duration;
  std::vector<std::string> kinds;
  reader.Require("kinds");
  reader.Read("kinds", &kinds);
  for (const std::string& name : kinds) {
    if (const auto kind = FromName(kFaultKindNames, name)) {
      chaos.kinds.push_back(*kind);
    } else {
      reader.Fail("kinds",
                  fmt::format("unknown \"{}\" (allowed: {})", name, AllowedNames(kFaultKindNames)));
    }
  }
  if (kinds.empty()) reader.Fail("kinds", "names no kind of fault");
  const double end = std::chrono::duration<double>(scenario.duration).count();
  reader.ReadSeconds("from_s", 0, end, &chaos.from);
  reader.ReadSeconds("until_s", 0, end, &chaos.until);
  reader.ReadSeconds("every_s", 0.1, 3600, &chaos.every);
  reader.ReadSeconds("shortest_s", 0, 3600, &chaos.shortest);
  reader.ReadSeconds("longest_s", 0, 3600, &chaos.longest);
  if (chaos.longest < chaos.shortest) reader.Fail("longest_s", "is below shortest_s");
  reader.Finish();
  return chaos;
}

NotExamined ReadNotExamined(TableReader reader) {
  const std::vector<std::string> checks = {"N1", "N2", "N3", "N4",  "N5", "N6",
                                           "N7", "N8", "N9", "N10", "N11"};
  NotExamined entry;
  reader.Require("check");
  reader.ReadChoice("check", checks, &entry.check);
  reader.Require("reason");
  reader.Read("reason", &entry.reason);
  if (reader.Has("reason") && entry.reason.empty()) reader.Fail("reason", "is empty");
  reader.Finish();
  return entry;
}

// Reports a zone, such as "z4", that doesn't exist in a fleet of this size.
void CheckZone(TableReader* reader, const Scenario& scenario, const std::string& zone,
               const std::string& path) {
  if (zone.empty()) return;
  for (uint32_t number = 1; number <= scenario.fleet.zones; ++number) {
    if (zone == fmt::format("z{}", number)) return;
  }
  reader->Fail(path,
               fmt::format("no such zone \"{}\" (allowed: z1 to z{})", zone, scenario.fleet.zones));
}

void ReadTimeline(TableReader* reader, Scenario* scenario) {
  size_t number = 0;
  for (const toml::table* table : reader->Tables("fault")) {
    const std::string path = fmt::format("fault[{}]", number++);
    TableReader inner = reader->Inner(table, path);
    Fault fault = ReadFault(inner, *scenario, path);
    CheckZone(&inner, *scenario, fault.target.zone, "target");
    CheckZone(&inner, *scenario, fault.peer.zone, "peer");
    scenario->faults.push_back(std::move(fault));
  }
  number = 0;
  for (const toml::table* table : reader->Tables("operation")) {
    TableReader inner = reader->Inner(table, fmt::format("operation[{}]", number++));
    Operation operation = ReadOperation(inner, *scenario);
    CheckZone(&inner, *scenario, operation.zone, "zone");
    scenario->operations.push_back(std::move(operation));
  }
  const auto earlier = [](const auto& left, const auto& right) { return left.at < right.at; };
  std::stable_sort(scenario->faults.begin(), scenario->faults.end(), earlier);
  std::stable_sort(scenario->operations.begin(), scenario->operations.end(), earlier);
}

void ReadGeneral(TableReader* reader, Scenario* scenario) {
  reader->Require("name");
  reader->Read("name", &scenario->name);
  reader->Read("summary", &scenario->summary);
  reader->ReadSeconds("duration_s", 1, kLongestScenarioSeconds, &scenario->duration);
  reader->Read("seed", &scenario->seed);
  reader->Read("models", &scenario->models);
  reader->Read("round_robin_baseline", &scenario->round_robin_baseline);
  if (scenario->models.empty()) reader->Fail("models", "names no model");
}

void ReadScenario(TableReader reader, Scenario* scenario) {
  ReadGeneral(&reader, scenario);
  if (const toml::table* table = reader.SubTable("fleet")) {
    ReadSizes(reader.Inner(table, "fleet"), &scenario->fleet);
  }
  if (const toml::table* table = reader.SubTable("tenants")) {
    ReadTenants(reader.Inner(table, "tenants"), &scenario->tenants);
  }
  if (const toml::table* table = reader.SubTable("traffic")) {
    ReadTraffic(reader.Inner(table, "traffic"), &scenario->traffic);
  }
  if (const toml::table* table = reader.SubTable("worker")) {
    ReadWorker(reader.Inner(table, "worker"), &scenario->worker);
  }
  if (const toml::table* table = reader.SubTable("inventory")) {
    ReadInventory(reader.Inner(table, "inventory"), &scenario->inventory);
  }
  ReadTimeline(&reader, scenario);
  if (const toml::table* table = reader.SubTable("chaos")) {
    scenario->chaos = ReadChaos(reader.Inner(table, "chaos"), *scenario);
  }
  for (const toml::table* table : reader.Tables("not_examined")) {
    scenario->not_examined.push_back(ReadNotExamined(reader.Inner(table, "not_examined")));
  }
  reader.Finish();
}

}  // namespace

LoadedScenario ParseScenario(std::string_view toml_text, const std::string& file_name) {
  LoadedScenario loaded;
  try {
    const toml::table root = toml::parse(toml_text, file_name);
    ReadScenario(TableReader(&root, "", &file_name, &loaded.errors), &loaded.scenario);
  } catch (const toml::parse_error& error) {
    loaded.errors.push_back(fmt::format("{}:{}: not TOML: {}", file_name, error.source().begin.line,
                                        error.description()));
  }
  return loaded;
}

LoadedScenario LoadScenarioFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    LoadedScenario loaded;
    loaded.errors.push_back(path + ": can't be read");
    return loaded;
  }
  const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  return ParseScenario(text, path);
}

}  // namespace posthatch::fleettest
