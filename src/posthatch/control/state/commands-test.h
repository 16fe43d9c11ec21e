#pragma once

#include <string>

#include "absl/strings/str_cat.h"
#include "posthatch/control/control.pb.h"
#include "posthatch/control/state/selector.h"
#include "posthatch/runtime/random.h"

// Builders of commands for tests and benchmarks.
namespace posthatch::control {

inline Configuration SmallConfiguration() {
  Configuration configuration;
  for (const char* name : {"alpha", "beta"}) {
    Tenant* tenant = configuration.add_tenants();
    tenant->set_name(name);
    tenant->add_key_sha256(std::string(64, name[0]));
  }
  Model* model = configuration.add_models();
  model->set_name("m");
  model->set_block_tokens(16);
  return configuration;
}

inline Command FullChange(const std::string& request_id, uint64_t expected_version,
                          const Configuration& configuration) {
  Command command;
  command.set_request_id(request_id);
  command.mutable_change_configuration()->set_expected_version(expected_version);
  *command.mutable_change_configuration()->mutable_whole() = configuration;
  return command;
}

inline Command PatchChange(const std::string& request_id, uint64_t expected_version,
                           const std::string& tenant_name, uint32_t priority) {
  Command command;
  command.set_request_id(request_id);
  command.mutable_change_configuration()->set_expected_version(expected_version);
  Tenant* tenant =
      command.mutable_change_configuration()->mutable_patch()->mutable_upsert()->add_tenants();
  tenant->set_name(tenant_name);
  tenant->set_priority(priority);
  return command;
}

inline Command EvacuationChange(const std::string& request_id, const std::string& name,
                                const std::string& zone, bool lifted) {
  Command command;
  command.set_request_id(request_id);
  SetEvacuation* evacuation = command.mutable_set_evacuation();
  evacuation->mutable_evacuation()->set_name(name);
  *evacuation->mutable_evacuation()->mutable_selector() = *ParseSelector("zone=" + zone);
  evacuation->set_lifted(lifted);
  return command;
}

inline Command RevisionChange(const std::string& request_id, const std::string& model) {
  Command command;
  command.set_request_id(request_id);
  command.mutable_set_model_revision()->set_model(model);
  command.mutable_set_model_revision()->set_weights("weights-" + request_id);
  return command;
}

inline Command Begin(const std::string& key, const std::string& attempt, const std::string& hash,
                     int64_t now_ms) {
  Command command;
  command.set_request_id("begin-" + key + "-" + attempt);
  DeliveryBegin* begin = command.mutable_delivery_begin();
  begin->set_tenant("alpha");
  begin->set_idempotency_key(key);
  begin->set_request_hash(hash);
  begin->set_attempt(attempt);
  begin->set_now_ms(now_ms);
  return command;
}

inline Command Finish(const std::string& key, const std::string& attempt,
                      DeliveryOutcome::Kind kind, int64_t now_ms) {
  Command command;
  command.set_request_id("finish-" + key + "-" + attempt);
  DeliveryFinish* finish = command.mutable_delivery_finish();
  finish->set_tenant("alpha");
  finish->set_idempotency_key(key);
  finish->set_attempt(attempt);
  finish->mutable_outcome()->set_kind(kind);
  finish->set_now_ms(now_ms);
  return command;
}

inline Command Grant(const std::string& worker, const std::string& holder) {
  Command command;
  WorkerLease* lease = command.mutable_grant_worker_leases()->add_grants();
  lease->set_worker_id(worker);
  lease->set_holder(holder);
  lease->set_holder_incarnation(1);
  return command;
}

inline Command SetInventoryCommand(int workers, uint64_t draining_bits) {
  Command command;
  for (int i = 0; i < workers; ++i) {
    Backend* backend = command.mutable_set_inventory()->mutable_inventory()->add_backends();
    backend->set_id(absl::StrCat("w", i));
    backend->set_kind(BACKEND_KIND_WORKER);
    backend->set_endpoint("127.0.0.1:1");
    backend->set_zone(absl::StrCat("z", i % 3));
    backend->set_draining(((draining_bits >> (i % 64)) & 1) != 0);
  }
  return command;
}

inline Command Observation(const std::string& request_id, const std::string& object, uint64_t epoch,
                           bool lost) {
  Command command;
  command.set_request_id(request_id);
  command.mutable_observe_object()->set_object(object);
  command.mutable_observe_object()->set_epoch(epoch);
  command.mutable_observe_object()->set_lost(lost);
  return command;
}

// Returns a random command, valid or not. `number` determines its request id and its time.
inline Command RandomCommand(runtime::Random* random, uint64_t number) {
  const std::string id = absl::StrCat("r", number);
  const std::string key = absl::StrCat("k", random->Uniform(20));
  const std::string attempt = absl::StrCat("a", random->Uniform(3));
  const auto now_ms = static_cast<int64_t>(number * 60000);
  switch (random->Uniform(10)) {
    case 0: {
      Configuration configuration = SmallConfiguration();
      if (random->Chance(0.5)) {
        IsolationRule* rule = configuration.add_isolation_rules();
        rule->set_name("rule");
        *rule->mutable_isolated() = *ParseSelector(random->Chance(0.5) ? "*" : "name=alpha");
      }
      if (random->Chance(0.3)) configuration.mutable_tenants()->RemoveLast();
      return FullChange(id, random->Uniform(4), configuration);
    }
    case 1:
      return PatchChange(id, random->Uniform(30), absl::StrCat("t", random->Uniform(5)),
                         static_cast<uint32_t>(random->Uniform(12)));
    case 2:
      return EvacuationChange(id, absl::StrCat("e", random->Uniform(3)), "z1", random->Chance(0.5));
    case 3:
      return RevisionChange(id, random->Chance(0.8) ? "m" : "unknown");
    case 4:
      return Begin(key, attempt, "hash", now_ms);
    case 5:
      return Finish(
          key, attempt,
          random->Chance(0.5) ? DeliveryOutcome::RESPONDED : DeliveryOutcome::NOT_EXECUTED, now_ms);
    case 6:
      return SetInventoryCommand(static_cast<int>(random->Uniform(8)), (*random)());
    case 7:
      return Grant(absl::StrCat("w", random->Uniform(8)), absl::StrCat("g", random->Uniform(3)));
    case 8: {
      Command command;
      command.mutable_grant_worker_leases()->add_released(absl::StrCat("w", random->Uniform(8)));
      return command;
    }
    default:
      return Observation(id, absl::StrCat("worker/w", random->Uniform(8)), random->Uniform(4),
                         random->Chance(0.5));
  }
}

}  // namespace posthatch::control
