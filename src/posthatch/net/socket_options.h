#pragma once

#include "posthatch/net/asio_types.h"

namespace posthatch::net {

// Sets the options of every stream between processes: non-blocking, no delay of small writes, and
// detection of a peer that is without power or behind a partition and so never closes. Errors are
// ignored: such a connection still works, but is noticed as dead later.
void SetStreamOptions(TcpSocket* socket);

}  // namespace posthatch::net
