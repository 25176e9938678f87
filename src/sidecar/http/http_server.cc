#include "sidecar/http/http_server.h"

#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <vector>

#include "mesh/memory_plan.h"
#include "sidecar/http/server_connection.h"
#include "sidecar/http/sockets.h"

namespace copperlead::sidecar
{

void Exchange::respond (Message message, bool close)
{
    onDisconnect = nullptr;

    if (const auto open = connection.lock())
        open->respond (*this, std::move (message), close || closeAfterResponse);

    connection.reset();
}

void Exchange::continueBody()
{
    if (const auto open = connection.lock())
        open->continueBody (*this);
}

bool Exchange::clientDisconnected() const
{
    const auto open = connection.lock();
    return open == nullptr || open->peerHasClosed();
}

bool Exchange::mustClose() const
{
    const auto open = connection.lock();
    return closeAfterResponse || (open != nullptr && open->isBodyLeft (*this));
}

bool Exchange::isLastRead() const
{
    const auto open = connection.lock();
    return open == nullptr || open->isLastRead (*this);
}

HttpServer::HttpServer (std::shared_ptr<Reactor> reactorToUse, ServerSettings settingsToUse)
    : reactor (std::move (reactorToUse))
    , settings (std::move (settingsToUse))
{
}

HttpServer::~HttpServer() = default;

Result<Done> HttpServer::listen (const SocketAddress& address)
{
    BOOST_LEAF_ASSIGN (listener, listenOn (address));
    setReceiveBuffer (listener, mesh::socketBufferBytes); // Accepted connections inherit it.
    bound = LocalAddress (listener);
    watch = reactor->Watch (listener, EPOLLIN,
                            [weak = weak_from_this()] (std::uint32_t)
                            {
                                if (const auto self = weak.lock())
                                    self->accept();
                            });
    return Done{};
}

void HttpServer::stopListening()
{
    if (! listener.open())
        return;

    reactor->Unwatch (watch, listener);
    listener.Close();
}

void HttpServer::accept()
{
    for (;;)
    {
        NativeAddress peer;
        peer.size = sizeof (peer.storage);
        Socket accepted (accept4 (listener.descriptor(), peer.pointer(), &peer.size,
                                  SOCK_NONBLOCK | SOCK_CLOEXEC));

        if (! accepted.open())
            return;

        if (openConnections.size() >= settings.maxConnections)
            continue;

        setNoDelay (accepted);
        const auto connection = std::make_shared<ServerConnection> (
            shared_from_this(), std::move (accepted), FromNative (peer).ip == bound.ip);
        openConnections.insert (connection);
        connection->start();
    }
}

void HttpServer::remove (const std::shared_ptr<ServerConnection>& connection)
{
    openConnections.erase (connection);
}

std::size_t HttpServer::bufferedResponseBytes() const
{
    std::size_t bytes = 0;

    for (const auto& connection : openConnections)
        bytes += connection->bufferedResponseBytes();

    return bytes;
}

void HttpServer::closeIdle()
{
    const std::vector<std::shared_ptr<ServerConnection>> all (openConnections.begin(),
                                                              openConnections.end());

    for (const auto& connection : all)
        if (connection->idle())
            connection->close();
}

} // namespace copperlead::sidecar
