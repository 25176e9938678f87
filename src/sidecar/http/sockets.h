/** The few socket calls of the HTTP client and server. */
#pragma once

#include "base/address.h"
#include "base/result.h"
#include "base/time.h"
#include "transport/socket.h"

namespace copperlead::sidecar
{

/** @returns a listening socket; kBadAddress or kAddressInUse naming the address */
Result<Socket> listenOn (const SocketAddress& address);

/** @returns a bound UDP socket; kBadAddress or kAddressInUse naming the address */
Result<Socket> bindDatagram (const SocketAddress& address);

void setNoDelay (const Socket& socket);

/** Lets the connection fail when what was sent isn't acknowledged in time, or when a peer that
    should still be there no longer answers keep-alive probes.
*/
void setDeadPeerDetection (const Socket& socket, Milliseconds unacknowledged);

/** @returns the pending error of a socket, 0 if none */
int pendingError (const Socket& socket);

} // namespace copperlead::sidecar
