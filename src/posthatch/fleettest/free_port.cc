#include "posthatch/fleettest/free_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace posthatch::fleettest {

namespace {

constexpr int kMaxAttempts = 50;

class Socket {
 public:
  explicit Socket(int type) : descriptor_(socket(AF_INET, type | SOCK_CLOEXEC, 0)) {}
  ~Socket() {
    if (descriptor_ >= 0) close(descriptor_);
  }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  bool Bind(const sockaddr_in& address) const {
    return bind(descriptor_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
  }
  uint16_t BoundPort() const {
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &length);
    return ntohs(address.sin_port);
  }

 private:
  const int descriptor_;
};

}  // namespace

absl::StatusOr<uint16_t> FindFreePort(const std::string& address) {
  sockaddr_in socket_address{};
  socket_address.sin_family = AF_INET;
  if (inet_pton(AF_INET, address.c_str(), &socket_address.sin_addr) != 1) {
    return absl::InvalidArgumentError("not an address: " + address);
  }
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const Socket stream(SOCK_STREAM);
    socket_address.sin_port = 0;
    if (!stream.Bind(socket_address)) {
      return absl::InternalError(address + ": " + std::strerror(errno));
    }
    socket_address.sin_port = htons(stream.BoundPort());
    const Socket datagram(SOCK_DGRAM);
    if (datagram.Bind(socket_address)) return stream.BoundPort();
  }
  return absl::ResourceExhaustedError(address + ": no free port");
}

}  // namespace posthatch::fleettest
