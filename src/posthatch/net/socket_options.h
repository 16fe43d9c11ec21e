#pragma once

#include "posthatch/net/asio_types.h"

namespace posthatch::net {

// Sets the options of every TCP connection: non-blocking, no delay of small writes, and detection
// of a peer that lost power or is partitioned and so never closes the connection. Errors are
// ignored: a connection without these options still works, but its failure is detected later.
void SetStreamOptions(TcpSocket* socket);

}  // namespace posthatch::net
