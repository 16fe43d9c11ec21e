// Sends arbitrary messages in sequence to a member of a cluster of three. It must not crash, lower
// its commit index or apply entries beyond the end of its log. Each message is decoded from the
// input and then addressed so that RaftCore accepts it.
#include <cstdint>
#include <cstdlib>
#include <string>

#include "posthatch/consensus/raft_core.h"

namespace {

using posthatch::consensus::RaftCore;

posthatch::consensus::RecoveredState Member() {
  posthatch::consensus::ClusterConfiguration configuration;
  configuration.set_cluster_id(9);
  for (uint64_t id = 1; id <= 3; ++id) {
    auto* member = configuration.add_members();
    member->set_replica_id(id);
    member->set_endpoint("host" + std::to_string(id));
    member->set_voter(true);
  }
  posthatch::consensus::RecoveredState state;
  state.hard_state.set_replica_id(1);
  state.hard_state.set_term(1);
  state.endpoint = "host1";
  state.entries.resize(1);
  state.entries[0].set_index(1);
  state.entries[0].set_term(1);
  state.entries[0].set_type(posthatch::storage::LogEntry::CONFIGURATION);
  state.entries[0].set_data(configuration.SerializeAsString());
  return state;
}

void Drive(RaftCore* core, posthatch::runtime::MonotonicTime now) {
  for (int rounds = 0; core->HasReady(now) && rounds < 100; ++rounds) {
    const posthatch::consensus::Ready ready = core->TakeReady(now);
    if (ready.persist_id != 0) core->OnPersisted(ready.persist_id, now);
    if (ready.install != nullptr) core->OnSnapshotInstalled(ready.install, now);
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  posthatch::runtime::Random random(1);
  posthatch::runtime::MonotonicTime now(std::chrono::hours(1));
  RaftCore core({}, &random, Member(), now);
  size_t offset = 0;
  while (offset + 3 <= size) {
    const size_t length = std::min<size_t>(data[offset], size - offset - 3);
    posthatch::consensus::RaftMessage message;
    if (!message.ParseFromArray(data + offset + 3, static_cast<int>(length))) return 0;
    message.set_cluster_id(9);
    message.set_to(1);
    message.set_from(2 + data[offset + 1] % 2);
    message.set_term(std::min<uint64_t>(message.term(), 1000));
    now += std::chrono::milliseconds(10 * data[offset + 2]);
    offset += 3 + length;
    const uint64_t commit_before = core.commit_index();
    core.Step(message, now);
    Drive(&core, now);
    core.Tick(now);
    Drive(&core, now);
    if (core.commit_index() < commit_before) std::abort();
    if (core.applied_index() > core.log().last_index()) std::abort();
  }
  return 0;
}
