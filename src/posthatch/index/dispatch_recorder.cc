#include "posthatch/index/dispatch_recorder.h"

#include <utility>

#include "posthatch/index/replication/extent_codec.h"

namespace posthatch::index {

DispatchRecorder::DispatchRecorder(runtime::Runtime* runtime, Options options,
                                   Dependencies dependencies)
    : runtime_(runtime),
      options_(options),
      dependencies_(std::move(dependencies)),
      report_timer_(runtime->timers) {}

std::vector<PrefixHolder> DispatchRecorder::Locate(const BlockSeed& seed,
                                                   const std::vector<BlockHash>& chain) {
  return dependencies_.locator->Locate(seed, chain);
}

void DispatchRecorder::RecordDispatch(const BlockSeed& seed, const std::vector<BlockHash>& chain,
                                      const std::string& worker_id, uint64_t worker_epoch) {
  dependencies_.locator->RecordDispatch(seed, chain, worker_id, worker_epoch);
  if (chain.empty()) return;
  dependencies_.attributions->RecordBlocks(seed, chain);
  if (!options_.events_carry_salts) Report(seed, chain, worker_id);
  if (options_.workers_save_to_store) AddToStores(seed, chain);
}

void DispatchRecorder::Report(const BlockSeed& seed, const std::vector<BlockHash>& chain,
                              const std::string& worker_id) {
  for (const control::WorkerLease& lease : dependencies_.fleet->state().leases()) {
    if (lease.worker_id() != worker_id) continue;
    if (lease.holder() == runtime_->transport->node_id()) return;
    Extent extent = MakeExtent(worker_id, invalidation::ObjectVersion(), seed);
    extent.set_block_hashes(PackBlocks(chain));
    *pending_reports_[lease.holder()].add_made() = std::move(extent);
    if (!report_timer_.running()) report_timer_.Start(options_.report_period, [this] { Flush(); });
    return;
  }
}

void DispatchRecorder::AddToStores(const BlockSeed& seed,
                                   const std::vector<BlockHash>& chain) const {
  for (const control::Backend& backend : dependencies_.fleet->state().inventory().backends()) {
    if (backend.kind() != control::BACKEND_KIND_STORE) continue;
    invalidation::ObjectVersion version;
    const std::string object = HolderObject(HolderKind::kStore, backend.id());
    if (!dependencies_.trust->CurrentVersion(object, &version)) continue;
    dependencies_.locator->Add(HolderKind::kStore, backend.id(), version, seed, chain);
  }
}

void DispatchRecorder::RecordGatewayEndpoint(const std::string& node_id,
                                             const std::string& endpoint) {
  endpoint_by_gateway_[node_id] = endpoint;
}

void DispatchRecorder::Flush() {
  for (const auto& [gateway, report] : pending_reports_) {
    IndexMessage message;
    *message.mutable_dispatches() = report;
    const std::string payload = message.SerializeAsString();
    const auto known = endpoint_by_gateway_.find(gateway);
    const std::vector<std::string> endpoints = known != endpoint_by_gateway_.end()
                                                   ? std::vector<std::string>{known->second}
                                                   : dependencies_.gateways();
    for (const std::string& endpoint : endpoints) {
      runtime_->transport->Send(endpoint, runtime::SERVICE_INDEX, payload,
                                runtime::Delivery::kStream);
    }
  }
  pending_reports_.clear();
}

void DispatchRecorder::ApplyReport(const DispatchReport& report) const {
  for (const Extent& extent : report.made()) {
    std::vector<BlockHash> blocks;
    if (UnpackBlocks(extent.block_hashes(), &blocks)) {
      dependencies_.attributions->RecordBlocks(SeedOf(extent), blocks);
    }
  }
}

}  // namespace posthatch::index
