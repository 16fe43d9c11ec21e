#include "posthatch/net/raw_socket-test.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <utility>

#include "gtest/gtest.h"

namespace posthatch::net {
namespace {

constexpr runtime::Duration kPollInterval = std::chrono::milliseconds(1);

sockaddr_in Loopback(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Runs the event loop until `done`, which is checked at least every millisecond.
bool RunPolling(AsioRuntime* runtime, const std::function<bool()>& done, runtime::Duration limit) {
  const auto deadline = runtime->runtime()->clock->Now() + limit;
  while (!done()) {
    if (runtime->runtime()->clock->Now() >= deadline) return false;
    runtime->RunUntil([] { return false; }, kPollInterval);
  }
  return true;
}

}  // namespace

RawSocket RawSocket::Connect(const std::string& endpoint) {
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  const auto port = static_cast<uint16_t>(std::stoi(endpoint.substr(endpoint.rfind(':') + 1)));
  const sockaddr_in address = Loopback(port);
  EXPECT_EQ(connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)), 0);
  return RawSocket(descriptor);
}

void RawSocket::Send(AsioRuntime* runtime, std::string_view bytes) {
  RunPolling(
      runtime,
      [this, &bytes] {
        const ssize_t sent =
            send(descriptor_, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (sent < 0) return errno != EAGAIN;
        bytes.remove_prefix(static_cast<size_t>(sent));
        return bytes.empty();
      },
      std::chrono::seconds(10));
}

void RawSocket::Reset() {
  const linger reset_on_close{.l_onoff = 1, .l_linger = 0};
  setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof(reset_on_close));
  Close();
}

void RawSocket::ShutdownSend() const { shutdown(descriptor_, SHUT_WR); }

void RawSocket::Close() {
  if (descriptor_ >= 0) close(descriptor_);
  descriptor_ = -1;
}

void RawSocket::Poll() {
  std::array<char, 65536> buffer;
  while (!ended_) {
    const ssize_t size = recv(descriptor_, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (size < 0 && errno == EAGAIN) return;
    if (size <= 0) ended_ = true;
    if (size < 0 && errno == ECONNRESET) reset_ = true;
    if (size > 0) received_.append(buffer.data(), static_cast<size_t>(size));
  }
}

const std::string& RawSocket::ReadUntil(AsioRuntime* runtime, std::string_view text,
                                        runtime::Duration limit) {
  RunPolling(
      runtime,
      [this, text] {
        Poll();
        return ended_ || received_.find(text) != std::string::npos;
      },
      limit);
  return received_;
}

const std::string& RawSocket::ReadToEnd(AsioRuntime* runtime, runtime::Duration limit) {
  RunPolling(
      runtime,
      [this] {
        Poll();
        return ended_;
      },
      limit);
  return received_;
}

RawListener::RawListener() : descriptor_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof(address);
  EXPECT_EQ(bind(descriptor_, reinterpret_cast<sockaddr*>(&address), size), 0);
  EXPECT_EQ(listen(descriptor_, 16), 0);
  getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &size);
  endpoint_ = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

RawListener::~RawListener() {
  close(descriptor_);
  if (accepted_ >= 0) close(accepted_);
}

bool RawListener::WaitForConnection(AsioRuntime* runtime, runtime::Duration time) {
  return RunPolling(
      runtime,
      [this] {
        if (accepted_ < 0) accepted_ = accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
        return accepted_ >= 0;
      },
      time);
}

RawSocket RawListener::Accept(AsioRuntime* runtime) {
  EXPECT_TRUE(WaitForConnection(runtime, std::chrono::seconds(5)));
  return RawSocket(std::exchange(accepted_, -1));
}

std::unique_ptr<AsioRuntime> MakeTestRuntime(AsioRuntimeOptions options) {
  if (options.node_id.empty()) options.node_id = "test";
  options.log_level = runtime::Severity::kError;
  auto created = AsioRuntime::Create(options);
  EXPECT_TRUE(created.ok()) << created.status();
  return *std::move(created);
}

void RunFor(AsioRuntime* runtime, runtime::Duration time) {
  runtime->RunUntil([] { return false; }, time);
}

}  // namespace posthatch::net
