#include "posthatch/net/asio_transport.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <random>

#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "posthatch/net/envelope_codec.h"
#include "posthatch/net/raw_socket-test.h"

namespace posthatch::net {
namespace {

using runtime::Delivery;
using std::chrono::milliseconds;

// A process with a transport. A test runs the event loops of its two nodes alternately in one
// thread.
class Node {
 public:
  explicit Node(const std::string& node_id, AsioRuntimeOptions options = {}) {
    options.node_id = node_id;
    if (options.internal_endpoint.empty()) options.internal_endpoint = "127.0.0.1:0";
    options.enable_fault_injection = true;
    runtime_ = MakeTestRuntime(options);
    transport()->SetReceiver(runtime::SERVICE_CONTROL, [this](const runtime::Envelope& envelope) {
      received.push_back(envelope.payload());
      last = envelope;
    });
  }

  runtime::Transport* transport() { return runtime_->runtime()->transport; }
  const std::string& endpoint() { return transport()->endpoint(); }
  AsioRuntime* runtime() { return runtime_.get(); }
  FaultInjection* faults() { return runtime_->faults(); }
  void Send(Node* to, const std::string& payload, Delivery delivery = Delivery::kStream) {
    transport()->Send(to->endpoint(), runtime::SERVICE_CONTROL, payload, delivery);
  }
  double Dropped(const std::string& reason) {
    for (const auto& family : runtime_->runtime()->metrics->Collect()) {
      if (family.name != "posthatch_transport_dropped_total") continue;
      for (const auto& metric : family.metric) {
        if (metric.label.front().value == reason) return metric.counter.value;
      }
    }
    return -1;
  }

  std::vector<std::string> received;
  runtime::Envelope last;

 private:
  std::unique_ptr<AsioRuntime> runtime_;
};

bool RunUntilDone(Node* a, Node* b, const std::function<bool()>& done, runtime::Duration limit) {
  const auto deadline = a->runtime()->runtime()->clock->Now() + limit;
  while (!done()) {
    if (a->runtime()->runtime()->clock->Now() >= deadline) return false;
    RunFor(a->runtime(), std::chrono::microseconds(500));
    RunFor(b->runtime(), std::chrono::microseconds(500));
  }
  return true;
}

void RunNodesFor(Node* a, Node* b, runtime::Duration time) {
  RunUntilDone(
      a, b, [] { return false; }, time);
}

TEST(AsioTransportTest, StreamIsOrderedAndIdentifiesSender) {
  Node a("a");
  Node b("b");
  std::vector<std::string> sent;
  for (int k = 0; k < 2000; ++k) {
    sent.push_back(std::to_string(k) + std::string(static_cast<size_t>(k * 7 % 9000), 'x'));
    a.Send(&b, sent.back());
  }
  ASSERT_TRUE(RunUntilDone(
      &a, &b, [&] { return b.received.size() == sent.size(); }, std::chrono::seconds(10)));
  EXPECT_EQ(b.received, sent);
  EXPECT_EQ(b.last.from_node(), "a");
  EXPECT_EQ(b.last.from_endpoint(), a.endpoint());
  EXPECT_EQ(b.last.from_incarnation(), a.transport()->incarnation());
}

TEST(AsioTransportTest, DropsOversizedDatagrams) {
  Node a("a");
  Node b("b");
  a.Send(&b, "hello", Delivery::kDatagram);
  a.Send(&b, std::string(runtime::kMaxDatagramBytes, 'x'), Delivery::kDatagram);
  ASSERT_TRUE(RunUntilDone(
      &a, &b, [&] { return !b.received.empty(); }, std::chrono::seconds(5)));
  EXPECT_EQ(b.received, std::vector<std::string>{"hello"});
  EXPECT_EQ(a.Dropped("too_long"), 1);
}

TEST(AsioTransportTest, ReconnectsAfterPeerRestart) {
  Node a("a");
  auto b = std::make_unique<Node>("b");
  const std::string endpoint = b->endpoint();
  a.Send(b.get(), "before");
  ASSERT_TRUE(RunUntilDone(
      &a, b.get(), [&] { return !b->received.empty(); }, std::chrono::seconds(5)));
  const uint64_t first_incarnation = b->transport()->incarnation();
  b.reset();
  for (int k = 0; k < 5; ++k) {  // no listener: the message is dropped and counted
    a.transport()->Send(endpoint, runtime::SERVICE_CONTROL, "lost", Delivery::kStream);
    RunFor(a.runtime(), milliseconds(100));
  }
  EXPECT_GE(a.Dropped("connection_lost"), 1);
  AsioRuntimeOptions same_endpoint;
  same_endpoint.internal_endpoint = endpoint;
  b = std::make_unique<Node>("b", same_endpoint);
  EXPECT_NE(b->transport()->incarnation(), first_incarnation);
  RunFor(a.runtime(), milliseconds(1100));  // the maximum backoff
  a.Send(b.get(), "after");
  ASSERT_TRUE(RunUntilDone(
      &a, b.get(), [&] { return !b->received.empty() && b->received.back() == "after"; },
      std::chrono::seconds(5)));
}

TEST(AsioTransportTest, QueueIsLimitedInBytes) {
  AsioRuntimeOptions options;
  options.transport.max_queue_bytes = 100'000;
  Node a("a", options);
  Node b("b");
  for (int k = 0; k < 20; ++k) a.Send(&b, std::string(10'000, 'x'));  // before the loop runs
  EXPECT_EQ(a.Dropped("queue_full"), 11);
  ASSERT_TRUE(RunUntilDone(
      &a, &b, [&] { return b.received.size() == 9; }, std::chrono::seconds(5)));
  a.Send(&b, "room again");
  EXPECT_TRUE(RunUntilDone(
      &a, &b, [&] { return b.received.back() == "room again"; }, std::chrono::seconds(5)));
}

TEST(AsioTransportTest, OversizedMessageIsDroppedBySender) {
  AsioRuntimeOptions options;
  options.transport.max_message_bytes = 1000;
  Node a("a", options);
  Node b("b");
  a.Send(&b, std::string(1000, 'x'));
  a.Send(&b, "short");
  ASSERT_TRUE(RunUntilDone(
      &a, &b, [&] { return !b.received.empty(); }, std::chrono::seconds(5)));
  EXPECT_EQ(b.received, std::vector<std::string>{"short"});
  EXPECT_EQ(a.Dropped("too_long"), 1);
}

runtime::Envelope MakeValidEnvelope() {
  runtime::Envelope envelope;
  envelope.set_service(runtime::SERVICE_CONTROL);
  envelope.set_from_node("x");
  envelope.set_from_endpoint("127.0.0.1:1");
  envelope.set_payload("payload");
  return envelope;
}

TEST(AsioTransportTest, MalformedStreamClosesOnlyThatConnection) {
  AsioRuntimeOptions options;
  options.transport.max_message_bytes = 100'000;
  Node b("b", options);
  runtime::Envelope no_sender = MakeValidEnvelope();
  no_sender.clear_from_endpoint();
  runtime::Envelope no_service = MakeValidEnvelope();
  no_service.clear_service();
  const std::vector<std::string> cases = {
      std::string("\xff\xff\xff\xff", 4),
      std::string("\x00\x00\x00\x04garb", 8),
      std::string(4, '\0'),  // an empty envelope
      "GET / HTTP/1.1\r\n\r\n",
      std::string(10UL * 1024 * 1024, 'x'),
      EncodeFrame(no_sender),
      EncodeFrame(no_service),
  };
  for (const std::string& bytes : cases) {
    RawSocket socket = RawSocket::Connect(b.endpoint());
    socket.Send(b.runtime(), bytes);
    socket.ReadToEnd(b.runtime());
    EXPECT_TRUE(socket.ended()) << bytes.substr(0, 20);
  }
  EXPECT_EQ(b.Dropped("malformed"), static_cast<double>(cases.size()));
  EXPECT_TRUE(b.received.empty());

  // A truncated stream from a half-closed sender, and a sender of single bytes.
  RawSocket valid = RawSocket::Connect(b.endpoint());
  RawSocket truncated = RawSocket::Connect(b.endpoint());
  const std::string frame = EncodeFrame(MakeValidEnvelope());
  truncated.Send(b.runtime(), frame.substr(0, frame.size() / 2));
  truncated.ShutdownSend();
  truncated.ReadToEnd(b.runtime());
  EXPECT_TRUE(truncated.ended());
  for (const char byte : frame + frame) valid.Send(b.runtime(), std::string(1, byte));
  EXPECT_TRUE(
      b.runtime()->RunUntil([&] { return b.received.size() == 2; }, std::chrono::seconds(5)));
}

TEST(AsioTransportTest, SurvivesRandomInputOnBothPorts) {
  Node a("a");
  Node b("b");
  const int datagrams = socket(AF_INET, SOCK_DGRAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port =
      htons(static_cast<uint16_t>(std::stoi(b.endpoint().substr(b.endpoint().rfind(':') + 1))));
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    std::string bytes = EncodeFrame(MakeValidEnvelope());
    for (int change = 0; change < 3; ++change) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    RawSocket stream = RawSocket::Connect(b.endpoint());
    stream.Send(b.runtime(), bytes);
    sendto(datagrams, bytes.data() + kFrameHeaderBytes, bytes.size() - kFrameHeaderBytes, 0,
           reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    RunFor(b.runtime(), milliseconds(1));
  }
  close(datagrams);
  a.Send(&b, "still here");
  a.Send(&b, "and here", Delivery::kDatagram);
  EXPECT_TRUE(RunUntilDone(
      &a, &b,
      [&] {
        return std::count(b.received.begin(), b.received.end(), "still here") == 1 &&
               std::count(b.received.begin(), b.received.end(), "and here") == 1;
      },
      std::chrono::seconds(5)));
}

TEST(FrameDecoderTest, AnyChunkingGivesSameEnvelopes) {
  std::string stream;
  for (int k = 0; k < 20; ++k) {
    runtime::Envelope envelope = MakeValidEnvelope();
    envelope.set_payload(std::string(static_cast<size_t>(k * 37), 'p'));
    stream += EncodeFrame(envelope);
  }
  for (uint64_t seed = 1; seed <= 100; ++seed) {
    std::mt19937_64 random(seed);
    FrameDecoder decoder(100'000);
    std::vector<size_t> sizes;
    for (std::string_view rest = stream; !rest.empty();) {
      const size_t step = std::min<size_t>(rest.size(), random() % 500 + 1);
      ASSERT_TRUE(decoder
                      .Feed(rest.substr(0, step),
                            [&](const runtime::Envelope& envelope) {
                              sizes.push_back(envelope.payload().size());
                              return true;
                            })
                      .ok());
      rest.remove_prefix(step);
    }
    ASSERT_EQ(sizes.size(), 20u);
    for (size_t k = 0; k < sizes.size(); ++k) EXPECT_EQ(sizes[k], k * 37);
    EXPECT_EQ(decoder.buffered_bytes(), 0u);
  }
}

// Transports with injected partitions and delays.

TEST(TransportFaultTest, OutboundPartitionStallsAndHeals) {
  Node a("a");
  Node b("b");
  a.Send(&b, "one");
  ASSERT_TRUE(RunUntilDone(
      &a, &b, [&] { return b.received.size() == 1; }, std::chrono::seconds(5)));
  FaultRules partition;
  partition.drop_to.insert(b.endpoint());
  a.faults()->SetRules(partition);
  a.Send(&b, "two");
  a.Send(&b, "two", Delivery::kDatagram);
  b.Send(&a, "other direction");
  RunNodesFor(&a, &b, milliseconds(200));
  EXPECT_EQ(b.received.size(), 1u);
  EXPECT_EQ(a.received, std::vector<std::string>{"other direction"});
  a.faults()->SetRules({});
  // As in a real network, the connection survives a short partition; datagrams are lost.
  ASSERT_TRUE(RunUntilDone(
      &a, &b, [&] { return b.received.size() == 2; }, std::chrono::seconds(5)));
  EXPECT_EQ(b.received.back(), "two");
}

TEST(TransportFaultTest, InboundPartitionBlocksOpenAndNewConnections) {
  Node a("a");
  Node b("b");
  a.Send(&b, "one");
  ASSERT_TRUE(RunUntilDone(
      &a, &b, [&] { return b.received.size() == 1; }, std::chrono::seconds(5)));
  FaultRules partition;
  partition.drop_from.insert(a.endpoint());
  b.faults()->SetRules(partition);
  a.Send(&b, "two");
  a.Send(&b, "datagram", Delivery::kDatagram);
  RunNodesFor(&a, &b, milliseconds(100));
  EXPECT_EQ(b.received.size(), 1u);
  b.faults()->SetRules({});
  ASSERT_TRUE(RunUntilDone(
      &a, &b, [&] { return b.received.size() == 2; }, std::chrono::seconds(5)));

  // A connection opened during the partition loses its messages and is closed when the partition
  // heals.
  Node c("c");
  partition.drop_from.insert(c.endpoint());
  b.faults()->SetRules(partition);
  c.Send(&b, "lost");
  RunNodesFor(&c, &b, milliseconds(100));
  EXPECT_EQ(b.received.size(), 2u);
  b.faults()->SetRules({});
  RunNodesFor(&c, &b, milliseconds(200));
  c.Send(&b, "after");
  ASSERT_TRUE(RunUntilDone(
      &c, &b, [&] { return b.received.back() == "after"; }, std::chrono::seconds(5)));
  EXPECT_EQ(b.received.size(), 3u);
}

TEST(TransportFaultTest, LongPartitionDropsQueueAndHidesClose) {
  AsioRuntimeOptions options;
  options.transport.stall_timeout = milliseconds(100);
  RawListener listener;
  Node a("a", options);
  a.transport()->Send(listener.endpoint(), runtime::SERVICE_CONTROL, "one", Delivery::kStream);
  RawSocket peer = listener.Accept(a.runtime());
  peer.ReadUntil(a.runtime(), "one");
  FaultRules partition;
  partition.drop_to.insert(listener.endpoint());
  a.faults()->SetRules(partition);
  a.transport()->Send(listener.endpoint(), runtime::SERVICE_CONTROL, "two", Delivery::kStream);
  peer.ReadToEnd(a.runtime(), milliseconds(400));
  EXPECT_FALSE(peer.ended());
  EXPECT_GE(a.Dropped("connection_lost"), 1);
  EXPECT_FALSE(listener.WaitForConnection(a.runtime(), milliseconds(200)));
  a.faults()->SetRules({});
  peer.ReadToEnd(a.runtime());
  EXPECT_TRUE(peer.ended());
  EXPECT_EQ(peer.ReadToEnd(a.runtime()).find("two"), std::string::npos);
}

TEST(TransportFaultTest, DelayKeepsOrder) {
  Node a("a");
  Node b("b");
  a.Send(&b, "0");
  ASSERT_TRUE(RunUntilDone(
      &a, &b, [&] { return b.received.size() == 1; }, std::chrono::seconds(5)));
  FaultRules delay;
  delay.delay_to[b.endpoint()] = milliseconds(150);
  a.faults()->SetRules(delay);
  const auto start = a.runtime()->runtime()->clock->Now();
  for (int k = 1; k < 10; ++k) a.Send(&b, std::to_string(k));
  a.Send(&b, "datagram", Delivery::kDatagram);
  ASSERT_TRUE(RunUntilDone(
      &a, &b, [&] { return b.received.size() == 11; }, std::chrono::seconds(5)));
  EXPECT_GE(a.runtime()->runtime()->clock->Now() - start, milliseconds(150));
  std::erase(b.received, "datagram");
  for (int k = 0; k < 10; ++k) EXPECT_EQ(b.received[static_cast<size_t>(k)], std::to_string(k));
}

}  // namespace
}  // namespace posthatch::net
