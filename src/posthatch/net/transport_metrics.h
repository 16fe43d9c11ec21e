#pragma once

#include "prometheus/counter.h"
#include "prometheus/gauge.h"
#include "prometheus/registry.h"

namespace posthatch::net {

// The metric families posthatch_transport_*; the help texts below define them. Owned by the
// transport; event loop thread only.
struct TransportMetrics {
  explicit TransportMetrics(prometheus::Registry* registry)
      : messages(prometheus::BuildCounter()
                     .Name("posthatch_transport_messages_total")
                     .Help("Messages between posthatch processes, by direction and delivery")
                     .Register(*registry)),
        bytes(prometheus::BuildCounter()
                  .Name("posthatch_transport_bytes_total")
                  .Help("Bytes of messages between posthatch processes, including framing")
                  .Register(*registry)),
        dropped(prometheus::BuildCounter()
                    .Name("posthatch_transport_dropped_total")
                    .Help("Messages dropped, by reason: too_long, queue_full, connection_lost "
                          "(queued when a connection failed or broke), malformed, no_receiver, "
                          "datagram_failed")
                    .Register(*registry)),
        connects(prometheus::BuildCounter()
                     .Name("posthatch_transport_connects_total")
                     .Help("Attempts to open an outgoing connection, by result")
                     .Register(*registry)),
        queued_bytes(prometheus::BuildGauge()
                         .Name("posthatch_transport_queued_bytes")
                         .Help("Bytes queued for peers and not yet sent")
                         .Register(*registry)
                         .Add({})) {}

  prometheus::Family<prometheus::Counter>& messages;
  prometheus::Family<prometheus::Counter>& bytes;
  prometheus::Family<prometheus::Counter>& dropped;
  prometheus::Family<prometheus::Counter>& connects;
  prometheus::Counter& sent_stream = messages.Add({{"direction", "sent"}, {"delivery", "stream"}});
  prometheus::Counter& sent_datagram =
      messages.Add({{"direction", "sent"}, {"delivery", "datagram"}});
  prometheus::Counter& received_stream =
      messages.Add({{"direction", "received"}, {"delivery", "stream"}});
  prometheus::Counter& received_datagram =
      messages.Add({{"direction", "received"}, {"delivery", "datagram"}});
  prometheus::Counter& sent_bytes = bytes.Add({{"direction", "sent"}});
  prometheus::Counter& received_bytes = bytes.Add({{"direction", "received"}});
  prometheus::Counter& too_long = dropped.Add({{"reason", "too_long"}});
  prometheus::Counter& queue_full = dropped.Add({{"reason", "queue_full"}});
  prometheus::Counter& connection_lost = dropped.Add({{"reason", "connection_lost"}});
  prometheus::Counter& malformed = dropped.Add({{"reason", "malformed"}});
  prometheus::Counter& no_receiver = dropped.Add({{"reason", "no_receiver"}});
  prometheus::Counter& datagram_failed = dropped.Add({{"reason", "datagram_failed"}});
  prometheus::Counter& connects_ok = connects.Add({{"result", "ok"}});
  prometheus::Counter& connects_failed = connects.Add({{"result", "failed"}});
  prometheus::Gauge& queued_bytes;
};

}  // namespace posthatch::net
