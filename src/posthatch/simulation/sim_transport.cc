#include "posthatch/simulation/sim_transport.h"

#include <xxhash.h>

#include <utility>

namespace posthatch::simulation {
namespace {

// Maximum extra delay of a reordered datagram, as a multiple of NetworkBehaviour::max_delay.
constexpr int kMaxReorderingDelayFactor = 5;
// Assumed size of a stream message's envelope without its payload.
constexpr size_t kEnvelopeBytes = 64;

}  // namespace

SimTransport::SimTransport(WorldCore* core, HostExecutor* host, std::string endpoint,
                           uint64_t incarnation)
    : core_(core),
      host_(host),
      process_id_(host->process_id()),
      endpoint_(std::move(endpoint)),
      incarnation_(incarnation) {
  core_->network.AddTransport(endpoint_, host_, this);
}

void SimTransport::Shutdown() {
  core_->network.RemoveTransport(endpoint_, this);
  for (auto& [endpoint, stream] : streams_) stream->CloseSender(nullptr);
  streams_.clear();
  // Receivers are destroyed last: destructors of their captures may call back into this object.
  std::array<Receiver, runtime::Service_ARRAYSIZE> receivers;
  receivers.swap(receivers_);
}

void SimTransport::SetReceiver(runtime::Service service, Receiver receiver) {
  receivers_[service] = std::move(receiver);
}

void SimTransport::Send(const std::string& to_endpoint, runtime::Service service,
                        std::string payload, runtime::Delivery delivery) {
  if (process_id_ != host_->process_id()) return;
  if (delivery == runtime::Delivery::kStream) {
    SendStream(to_endpoint, service, std::move(payload));
  } else {
    SendDatagram(to_endpoint, service, std::move(payload));
  }
}

runtime::Envelope SimTransport::MakeEnvelope(runtime::Service service, std::string payload) const {
  runtime::Envelope envelope;
  envelope.set_service(service);
  envelope.set_from_node(node_id());
  envelope.set_from_endpoint(endpoint_);
  envelope.set_from_incarnation(incarnation_);
  envelope.set_payload(std::move(payload));
  return envelope;
}

void SimTransport::Deliver(const runtime::Envelope& envelope) {
  // Copied: the receiver may be replaced by what it calls.
  const Receiver receiver = receivers_[envelope.service()];
  if (receiver) receiver(envelope);
}

std::shared_ptr<Pipe> SimTransport::Connect(const std::string& to_endpoint) {
  HostExecutor* to = core_->network.FindTarget(to_endpoint);
  auto pipe = std::make_shared<Pipe>(core_, TraceKind::kStream, host_, to, 0);
  pipe->AddSetupDelay();
  pipe->set_accept([core = core_, to_endpoint]() -> uint64_t {
    const SimTransport* target = core->network.FindTransport(to_endpoint);
    return target == nullptr ? 0 : target->process_id();
  });
  return pipe;
}

void SimTransport::SendStream(const std::string& to_endpoint, runtime::Service service,
                              std::string payload) {
  std::shared_ptr<Pipe>& stream = streams_[to_endpoint];
  if (stream == nullptr || stream->broken()) stream = Connect(to_endpoint);
  const size_t bytes = payload.size() + kEnvelopeBytes;
  if (stream->buffered_bytes() + bytes > kMaxQueuedBytes) {
    ++dropped_;
    return;
  }
  const uint64_t digest = XXH3_64bits_withSeed(payload.data(), payload.size(), service);
  stream->Push(bytes, digest,
               [core = core_, to_endpoint, envelope = MakeEnvelope(service, std::move(payload))]() {
                 SimTransport* target = core->network.FindTransport(to_endpoint);
                 if (target != nullptr) target->Deliver(envelope);
               });
}

void SimTransport::SendDatagram(const std::string& to_endpoint, runtime::Service service,
                                std::string payload) {
  auto envelope =
      std::make_shared<const runtime::Envelope>(MakeEnvelope(service, std::move(payload)));
  if (envelope->ByteSizeLong() > runtime::kMaxDatagramBytes) {
    ++dropped_;
    return;
  }
  HostExecutor* to = core_->network.FindTarget(to_endpoint);
  const NetworkBehaviour& behaviour = core_->network.behaviour();
  if (to == nullptr || core_->network.IsPartitioned(host_->number(), to->number())) return;
  if (behaviour.loss > 0 && core_->random.Chance(behaviour.loss)) return;
  ScheduleDatagram(to, to_endpoint, envelope);
  if (behaviour.duplication > 0 && core_->random.Chance(behaviour.duplication)) {
    ScheduleDatagram(to, to_endpoint, envelope);
  }
}

void SimTransport::ScheduleDatagram(HostExecutor* to, const std::string& to_endpoint,
                                    std::shared_ptr<const runtime::Envelope> envelope) {
  runtime::Duration delay = core_->network.SampleDelay(host_->number(), to->number());
  const NetworkBehaviour& behaviour = core_->network.behaviour();
  if (behaviour.reordering > 0 && core_->random.Chance(behaviour.reordering)) {
    delay += core_->random.Between(runtime::Duration(0),
                                   behaviour.max_delay * kMaxReorderingDelayFactor);
  }
  core_->queue.ScheduleAfter(delay, [core = core_, from = host_->number(), to_endpoint,
                                     envelope = std::move(envelope)] {
    SimTransport* target = core->network.FindTransport(to_endpoint);
    if (target == nullptr || core->network.IsPartitioned(from, target->host_->number())) return;
    target->host_->Run(
        target->process_id_, HostExecutor::CallbackType::kDatagram, [core, from, target, envelope] {
          core->Mix(TraceKind::kDatagram, target->host_->number(), from, envelope->payload());
          target->Deliver(*envelope);
        });
  });
}

}  // namespace posthatch::simulation
