#include "posthatch/invalidation/invalidation_server.h"

#include <utility>

#include "posthatch/invalidation/channel_names.h"

namespace posthatch::invalidation {

InvalidationServer::InvalidationServer(runtime::Runtime* runtime, InvalidationServerOptions options,
                                       ObjectSource* objects, std::function<ServingState()> serving)
    : PublishingSource(runtime, options.publisher),
      objects_(objects),
      serving_(std::move(serving)),
      metrics_(runtime) {
  ExportMetrics();
  objects_->AddListener(lifetime_.Guard([this](const std::string& object, const ObjectVersion&) {
    publisher_.OnObjectChanged(object);
  }));
  runtime_->transport->SetReceiver(
      runtime::SERVICE_CHANNELS, [this](const runtime::Envelope& envelope) { Receive(envelope); });
}

InvalidationServer::~InvalidationServer() {
  runtime_->transport->SetReceiver(runtime::SERVICE_CHANNELS, [](const runtime::Envelope&) {});
}

void InvalidationServer::ExportMetrics() {
  const PublisherStats& stats = publisher_.stats();
  metrics_.Add("posthatch_channel_registrations", "Current registrations at this server.",
               [this] { return static_cast<double>(publisher_.registration_count()); });
  metrics_.Add("posthatch_channel_registrations_refused",
               "Registrations refused since start: unknown channel, or server may not serve.",
               [&stats] { return static_cast<double>(stats.registrations_refused); });
  metrics_.Add("posthatch_channel_redirections",
               "Subscribers redirected to a relay point of their zone since start.",
               [&stats] { return static_cast<double>(stats.redirected); });
  metrics_.Add("posthatch_channel_heartbeats_sent", "Heartbeats sent since start.",
               [&stats] { return static_cast<double>(stats.heartbeats_sent); });
  metrics_.Add("posthatch_channel_invalidations_sent",
               "Invalidation messages sent since start; each may name several objects.",
               [&stats] { return static_cast<double>(stats.invalidation_messages_sent); });
  metrics_.Start();
}

void InvalidationServer::Receive(const runtime::Envelope& envelope) {
  ChannelEnvelope content;
  if (content.ParseFromString(envelope.payload())) publisher_.HandleEnvelope(envelope, content);
}

PublisherProof InvalidationServer::CurrentProof(const std::string& /*channel*/) {
  // The time is read before the check: if this process is suspended in between, the check sees the
  // later time, while the proof states the earlier one.
  PublisherProof proof;
  proof.proven_until = runtime_->clock->Now();
  const ServingState state = serving_();
  proof.live = state.serving;
  proof.epoch = state.epoch;
  return proof;
}

std::vector<RegisteredObject> InvalidationServer::Objects(const std::string& channel) const {
  std::vector<RegisteredObject> covered;
  for (RegisteredObject& object : objects_->Objects()) {
    if (channel == kAggregateChannel || ChannelOf(object.object()) == channel) {
      covered.push_back(std::move(object));
    }
  }
  return covered;
}

bool InvalidationServer::Find(const std::string& channel, const std::string& object,
                              ObjectVersion* version) const {
  if (channel != kAggregateChannel && ChannelOf(object) != channel) return false;
  return objects_->Find(object, version);
}

}  // namespace posthatch::invalidation
