#include "sidecar/http/sockets.h"

#include <netinet/tcp.h>

#include <cerrno>
#include <cstring>

namespace copperlead::sidecar
{
namespace
{

constexpr int listenBacklog = 512;
constexpr int keepAliveSeconds = 1, keepAliveProbes = 2;

void setOption (const Socket& socket, int level, int name, int value)
{
    setsockopt (socket.descriptor(), level, name, &value, sizeof (value));
}

/** @returns a bound socket of the type, or kBadAddress or kAddressInUse with the address */
Result<Socket> bindOn (const SocketAddress& address, int type)
{
    const auto native = ToNative (address);

    if (! native)
        return Fail (ErrorKind::kBadAddress, ToString (address), "the IP must be numeric");

    Socket made (::socket (native->storage.ss_family, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));

    if (type == SOCK_STREAM)
        setOption (made, SOL_SOCKET, SO_REUSEADDR, 1);

    if (! made.open() || bind (made.descriptor(), native->pointer(), native->size) != 0)
        return Fail (ErrorKind::kAddressInUse, ToString (address), std::strerror (errno));

    return made;
}

} // namespace

Result<Socket> bindDatagram (const SocketAddress& address) { return bindOn (address, SOCK_DGRAM); }

Result<Socket> listenOn (const SocketAddress& address)
{
    BOOST_LEAF_AUTO (made, bindOn (address, SOCK_STREAM));

    if (::listen (made.descriptor(), listenBacklog) != 0)
        return Fail (ErrorKind::kAddressInUse, ToString (address), std::strerror (errno));

    return made;
}

void setNoDelay (const Socket& socket) { setOption (socket, IPPROTO_TCP, TCP_NODELAY, 1); }

void setReceiveBuffer (const Socket& socket, std::size_t bytes)
{
    setOption (socket, SOL_SOCKET, SO_RCVBUF, static_cast<int> (bytes));
}

void resetOnClose (const Socket& socket)
{
    const linger option{ 1, 0 };
    setsockopt (socket.descriptor(), SOL_SOCKET, SO_LINGER, &option, sizeof (option));
}

void setDeadPeerDetection (const Socket& socket, Milliseconds unacknowledged)
{
    setOption (socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption (socket, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveSeconds);
    setOption (socket, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveSeconds);
    setOption (socket, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
    setOption (socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int> (unacknowledged.count()));
}

int pendingError (const Socket& socket)
{
    int error = 0;
    socklen_t size = sizeof (error);
    getsockopt (socket.descriptor(), SOL_SOCKET, SO_ERROR, &error, &size);
    return error;
}

} // namespace copperlead::sidecar
