#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "posthatch/routing/in_flight_prefills.h"
#include "posthatch/routing/routing.pb.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::routing {

struct LoadReporterOptions {
  std::string zone;
  // From a change that other gateways must know to place well until it is told ...
  runtime::Duration urgent_period = std::chrono::milliseconds(10);
  // ... and from any other change.
  runtime::Duration relaxed_period = std::chrono::milliseconds(150);
  // Waiting prompt tokens at one worker, more or fewer than were told, that others must know of.
  uint64_t urgent_token_change = 2500;
  // Between the reports of a collector; longer where they would take more than
  // `aggregator_bytes_per_second` of its link.
  runtime::Duration aggregation_period = std::chrono::milliseconds(100);
  double aggregator_bytes_per_second = 250'000;
  // A zone's sum at a worker is told to other zones when it differs by so much from what was told,
  // or becomes nothing; everything at each refresh.
  uint64_t cross_zone_tokens = 2000;
  uint32_t cross_zone_in_flight = 3;
  // In a larger fleet gateways tell only their own zone directly, and other zones hear of it by way
  // of the zones' collectors.
  size_t max_direct_gateways = 16;
  // In a larger zone gateways tell only its collector, which tells the others of the zone.
  size_t max_direct_gateways_per_zone = 64;
  // Datagrams that a gateway sends on average at the most: with more peers it tells them less
  // often.
  double datagrams_per_second = 1000;
  // Everything is told again this often.
  runtime::Duration refresh = std::chrono::milliseconds(1000);
  // Starts of prompts in one report; further ones are left out.
  size_t max_prefill_starts = 48;
  // What was told is forgotten when nothing was heard of its sender for so long.
  runtime::Duration entry_ttl = std::chrono::milliseconds(2500);
};

struct Load {
  uint32_t in_flight = 0;
  uint64_t pending_tokens = 0;

  friend bool operator==(const Load&, const Load&) = default;
};

// Another gateway of the fleet.
struct LoadPeer {
  std::string node_id;
  std::string zone;
  std::string endpoint;
};

// Tells the other gateways what this one has under way at each worker, and adds up what they tell:
// without it, each gateway sees only its own small part of a worker's queue.
//
// In a small fleet each gateway tells every other one. In a large one that would be most of what
// gateways send: there it tells the others of its zone, and the gateway with the lowest name of
// each zone is the zone's collector. Collectors tell each other the sums of their zones and pass
// the other zones' on to their own; what is known of other zones is older, and placing prefers the
// own zone the more. In a large zone the members tell just the collector, which tells them the
// zone's sum. Nobody is elected: gateways that see the fleet differently cost a few more messages.
//
// A prompt that waits to be read holds up others for a long time: that is told within milliseconds.
// Everything else is told now and then.
//
// Takes SERVICE_TRAFFIC of the runtime's transport. Owned by TrafficGateway; event loop thread
// only.
class LoadReporter {
 public:
  using Peers = std::function<std::vector<LoadPeer>()>;

  LoadReporter(runtime::Runtime* runtime, LoadReporterOptions options, Peers peers);
  ~LoadReporter();
  LoadReporter(const LoadReporter&) = delete;
  LoadReporter& operator=(const LoadReporter&) = delete;

  // This gateway's load at a worker has changed.
  void SetLocalLoad(const std::string& worker_id, const Load& load);
  // What the other gateways have under way there.
  Load RemoteLoad(const std::string& worker_id) const;
  // Tells the others that a prompt's shared segments are being read at a worker.
  void AnnouncePrefill(PrefillStart start);
  // Called with what other gateways announce.
  using PrefillObserver = std::function<void(const PrefillStart&)>;
  void SetPrefillObserver(PrefillObserver observer) { prefill_observer_ = std::move(observer); }

  // Whether what is known of other zones comes by way of collectors, and so later.
  bool RemoteZoneLoadIsDelayed() const { return remote_zone_load_is_delayed_; }

  // Whether this gateway is its zone's collector, in fleets of any size.
  bool IsAggregator() const { return AggregatorOf(options_.zone, peers_()).empty(); }
  // As a collector: a store was found to answer or not. Told at once when that changes.
  void RecordStoreHealth(const std::string& endpoint, bool alive);
  // Called with what collectors tell of stores, this one included.
  using StoreHealthObserver = std::function<void(const std::string& endpoint, bool alive)>;
  void SetStoreHealthObserver(StoreHealthObserver observer) {
    store_health_observer_ = std::move(observer);
  }

 private:
  using Loads = absl::flat_hash_map<std::string, Load>;  // by worker

  // What was told of one gateway, or of one zone.
  struct LoadSource {
    uint64_t incarnation = 0;
    uint64_t report = 0;
    runtime::MonotonicTime received_at;
    Loads loads;
  };

  void Receive(const runtime::Envelope& envelope);
  void ReceiveReport(const std::string& from_node, const LoadReport& report);
  void ApplyLoads(const LoadReport& report, LoadSource* source) const;
  bool IsCurrent(const LoadSource& source) const;
  void Schedule(bool urgent);
  void Send();
  std::vector<std::string> ReportRecipients(const std::vector<LoadPeer>& peers) const;
  // Whether the gateways of this zone tell each other directly.
  bool ZoneReportsDirectly(const std::vector<LoadPeer>& peers) const;
  void Refresh();
  void SendTo(const std::vector<std::string>& endpoints, LoadReport report);
  // In as few messages as they fit into.
  void SendBatched(const std::vector<std::string>& endpoints, std::vector<LoadReport> reports);
  void SendMessage(const std::vector<std::string>& endpoints, const TrafficMessage& message);
  using Differs = std::function<bool(const Load& now, const Load& last_reported)>;
  // The lines of `now` that differ from `told`, where they are noted; all of them with `whole`.
  static void AddLoadChanges(const Loads& now, bool full, const Differs& differs,
                             Loads* last_reported, LoadReport* report);
  // Whether gateways of other zones must know the difference.
  bool DiffersForRemoteZones(const Load& now, const Load& last_reported) const;

  bool UsesAggregators(const std::vector<LoadPeer>& peers) const {
    return peers.size() + 1 > options_.max_direct_gateways;
  }
  // Endpoint of a zone's collector; empty if it is this gateway, or there is none.
  std::string AggregatorOf(const std::string& zone, const std::vector<LoadPeer>& peers) const;
  void SendAggregates();
  // Adds what is known of stores, if that has changed or all is told.
  void AddStoreHealth(bool full, LoadReport* report);
  void AddPrefillStarts(std::vector<PrefillStart>* starts, LoadReport* report) const;
  void ReceivePrefillStarts(const LoadReport& report);
  Loads ZoneLoad() const;

  runtime::Runtime* const runtime_;
  const LoadReporterOptions options_;
  const Peers peers_;
  Loads local_loads_;
  absl::flat_hash_map<std::string, LoadSource> gateway_loads_;     // by node id
  absl::flat_hash_map<std::string, LoadSource> zone_loads_;        // by zone, as collectors told
  Loads last_reported_;                                            // of own_
  absl::flat_hash_map<std::string, Loads> last_reported_by_zone_;  // as a collector, by zone
  struct CheckedStore {
    bool alive = false;
    runtime::MonotonicTime checked_at;
  };
  std::map<std::string, CheckedStore> stores_;  // by endpoint, as this collector found them
  bool store_health_changed_ = false;
  bool remote_zone_load_is_delayed_ = false;
  StoreHealthObserver store_health_observer_;
  PrefillObserver prefill_observer_;
  std::vector<PrefillStart> local_prefills_;  // since the last report
  // As a collector: of its own zone and of others, since they were passed on.
  std::map<std::string, std::vector<PrefillStart>> zone_prefills_;
  bool refresh_due_ = false;
  bool aggregator_refresh_due_ = false;
  uint64_t last_report_ = 0;
  size_t bytes_sent_ = 0;
  runtime::MonotonicTime next_send_at_;  // by the bound of datagrams a second
  bool send_is_urgent_ = false;
  runtime::Timer send_timer_;
  runtime::Timer refresh_timer_;
  runtime::Timer aggregation_timer_;
};

}  // namespace posthatch::routing
