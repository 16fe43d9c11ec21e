#include "posthatch/control/server/controller_service.h"

#include <string>
#include <vector>

namespace posthatch::control {
namespace {

runtime::Duration WithMargin(runtime::Duration duration, double margin) {
  return std::chrono::duration_cast<runtime::Duration>(duration * (1.0 + margin));
}

}  // namespace

ControllerService::ControllerService(runtime::Runtime* runtime,
                                     const ControllerServiceOptions& options, ControllerHost* host,
                                     consensus::ReplicatedLog* log,
                                     const LeaderLeaseGuard* leader_lease_guard,
                                     ControlState* state)
    : runtime_(runtime),
      max_previous_lease_(WithMargin(options.session_lease, options.clock_rate_margin)),
      host_(host),
      log_(log),
      state_(state),
      metrics_(runtime->metrics),
      leadership_(runtime->clock, log, leader_lease_guard),
      messenger_(runtime, [this](const ControlPeer& sender,
                                 const ControlMessage& message) { OnMessage(sender, message); }),
      locator_(runtime,
               [this] {
                 const std::string leader = log_->leader_endpoint();
                 return leader.empty() ? host_->ControllerEndpoints()
                                       : std::vector<std::string>{leader};
               }),
      client_(runtime, options.client, &locator_,
              [this](const std::string& endpoint, const ControlMessage& message) {
                messenger_.Send(endpoint, message);
              }),
      proposer_(log, &leadership_),
      inventory_(runtime, options.inventory, &leadership_, host, state, &revision_timeline_,
                 &proposer_),
      encoder_(state),
      pushes_(runtime, options.push, &leadership_, state, &revision_timeline_, &inventory_,
              &encoder_, &sessions_, &metrics_),
      proposals_(runtime, options.max_proposals, log, &leadership_, state, &sessions_, &pushes_,
                 &messenger_, &metrics_),
      queries_(options.max_queries, log, &leadership_, host, state, &messenger_, &metrics_),
      session_server_(runtime, options.session_lease, log, &leadership_, state, &revision_timeline_,
                      &inventory_, &encoder_, &sessions_, &pushes_, &proposals_, &messenger_,
                      &metrics_),
      worker_leases_(runtime, options.plan_interval, &leadership_, state, &sessions_, &proposer_,
                     &metrics_) {
  log_->SetLeadershipListener(
      [this](bool is_leader, uint64_t term) { OnLeadership(is_leader, term); });
  state_->SetSectionListener([this] { OnSectionsChanged(); });
}

ControllerService::~ControllerService() {
  log_->SetLeadershipListener([](bool, uint64_t) {});
  state_->SetSectionListener({});
}

void ControllerService::OnLeadership(bool is_leader, uint64_t term) {
  if (is_leader) {
    BeginLeadership(term);
  } else {
    EndLeadership(term);
  }
}

void ControllerService::BeginLeadership(uint64_t term) {
  leadership_.Begin(term, max_previous_lease_);
  ResetTermState();
  metrics_.leading().Set(1);
  proposals_.BeginTerm();
  inventory_.Start();
  worker_leases_.Start();
  host_->OnLeadershipChange(true, term);
  runtime_->trace->Event(runtime::Severity::kInfo, "ControllerLeadershipAcquired",
                         {{"term", term}});
}

void ControllerService::EndLeadership(uint64_t term) {
  leadership_.End(term);
  ResetTermState();
  metrics_.leading().Set(0);
  inventory_.Stop();
  worker_leases_.Stop();
  host_->OnLeadershipChange(false, term);
}

void ControllerService::ResetTermState() {
  sessions_.Clear();
  proposals_.Reset();
  worker_leases_.Reset();
  inventory_.Reset();
  metrics_.sessions().Set(0);
}

void ControllerService::OnSectionsChanged() {
  revision_timeline_.Observe(state_->fleet(), runtime_->clock->Now());
  pushes_.Schedule();
  host_->OnSectionsChanged();
}

void ControllerService::OnMessage(const ControlPeer& sender, const ControlMessage& message) {
  const google::protobuf::FieldDescriptor* kind =
      ControlMessage::descriptor()->FindFieldByNumber(message.message_case());
  if (kind == nullptr) return;
  const runtime::MonotonicTime started_at = runtime_->clock->Now();
  Dispatch(sender, message);
  const std::chrono::duration<double> seconds = runtime_->clock->Now() - started_at;
  metrics_.messages().Increment(kind->name());
  metrics_.message_seconds().Increment(kind->name(), seconds.count());
}

void ControllerService::Dispatch(const ControlPeer& sender, const ControlMessage& message) {
  switch (message.message_case()) {
    case ControlMessage::kSessionRenewal:
      session_server_.OnRenewal(sender, message.session_renewal());
      break;
    case ControlMessage::kStatePushAck:
      session_server_.OnPushAck(message.state_push_ack());
      break;
    case ControlMessage::kProposeRequest:
      proposals_.OnRequest(sender, message.propose_request());
      break;
    case ControlMessage::kQueryRequest:
      queries_.OnRequest(sender, message.query_request());
      break;
    case ControlMessage::kProposeResponse:
      client_.OnProposeResponse(sender.endpoint, message.propose_response());
      break;
    case ControlMessage::kQueryResponse:
      client_.OnQueryResponse(sender.endpoint, message.query_response());
      break;
    default:
      break;
  }
}

}  // namespace posthatch::control
