#pragma once

#include <functional>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"
#include "posthatch/control/client/control_client.h"
#include "posthatch/index/attribution_table.h"
#include "posthatch/index/index.pb.h"
#include "posthatch/index/trusted_prefix_locator.h"
#include "posthatch/invalidation/object_trust.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::index {

// The PrefixLocator that routing uses. Looks up in TrustedPrefixLocator. On each dispatch it also
// records the chain's seed, reports it to the gateway that holds the worker's lease
// (DispatchReport), and adds the chain to the entries of the stores, since workers save their
// blocks there. Owned by IndexNode; event loop thread only.
class DispatchRecorder : public PrefixLocator {
 public:
  struct Options {
    runtime::Duration report_period = std::chrono::milliseconds(20);
    bool workers_save_to_store = true;
    // Whether workers' events carry cache salts: then the gateways that read them need no reports.
    bool events_carry_salts = false;
  };
  struct Dependencies {
    const control::FleetView* fleet = nullptr;
    const invalidation::ObjectTrust* trust = nullptr;
    AttributionTable* attributions = nullptr;
    TrustedPrefixLocator* locator = nullptr;
    std::function<std::vector<std::string>()> gateways;  // internal endpoints of the other gateways
  };

  DispatchRecorder(runtime::Runtime* runtime, Options options, Dependencies dependencies);

  std::vector<PrefixHolder> Locate(const BlockSeed& seed,
                                   const std::vector<BlockHash>& chain) override;
  void RecordDispatch(const BlockSeed& seed, const std::vector<BlockHash>& chain,
                      const std::string& worker_id, uint64_t worker_epoch) override;

  // Records the endpoint that a gateway's last message came from. Reports to a gateway whose
  // endpoint is unknown go to all gateways.
  void RecordGatewayEndpoint(const std::string& node_id, const std::string& endpoint);
  // Applies a report received from another gateway.
  void ApplyReport(const DispatchReport& report) const;

 private:
  void Report(const BlockSeed& seed, const std::vector<BlockHash>& chain,
              const std::string& worker_id);
  void AddToStores(const BlockSeed& seed, const std::vector<BlockHash>& chain) const;
  void Flush();

  runtime::Runtime* const runtime_;
  const Options options_;
  const Dependencies dependencies_;
  absl::flat_hash_map<std::string, std::string> endpoint_by_gateway_;
  // Reports batched in the current period, keyed by the node id of the lease holder.
  absl::btree_map<std::string, DispatchReport> pending_reports_;
  runtime::Timer report_timer_;
};

}  // namespace posthatch::index
