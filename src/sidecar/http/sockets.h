/** Socket functions of the HTTP client and server. */
#pragma once

#include "base/address.h"
#include "base/result.h"
#include "base/time.h"
#include "transport/socket.h"

namespace copperlead::sidecar
{

/** @returns a listening TCP socket, or kBadAddress or kAddressInUse with the address */
Result<Socket> listenOn (const SocketAddress& address);

/** @returns a bound UDP socket, or kBadAddress or kAddressInUse with the address */
Result<Socket> bindDatagram (const SocketAddress& address);

/** Disables Nagle's algorithm (TCP_NODELAY). */
void setNoDelay (const Socket& socket);

/** Limits the bytes that may have arrived and not been read. */
void setReceiveBuffer (const Socket& socket, std::size_t bytes);

/** Makes close() reset the connection and discard what was not sent yet. */
void resetOnClose (const Socket& socket);

/** Makes the connection fail if sent data isn't acknowledged within the given time, or if the peer
    doesn't answer TCP keep-alive probes.
*/
void setDeadPeerDetection (const Socket& socket, Milliseconds unacknowledged);

/** @returns the pending error of a socket, 0 if none */
int pendingError (const Socket& socket);

} // namespace copperlead::sidecar
