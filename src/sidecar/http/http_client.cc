#include "sidecar/http/http_client.h"

#include <algorithm>
#include <utility>

#include "sidecar/http/client_connection.h"

namespace copperlead::sidecar
{

void Call::cancel()
{
    callback.Cancel();

    if (const auto open = connection.lock(); open != nullptr && open->isServing (*this))
        open->close();
}

HttpClient::HttpClient (std::shared_ptr<Reactor> reactorToUse, ClientSettings settingsToUse)
    : reactor (std::move (reactorToUse))
    , settings (std::move (settingsToUse))
{
}

HttpClient::~HttpClient() = default;

CallPointer HttpClient::send (const SocketAddress& target, const Message& message,
                              const CallOptions& options, std::function<void (CallResult)> callback)
{
    auto call = std::make_shared<Call>();
    call->callback = { reactor->callbacks(), std::move (callback) };
    const auto name = ToString (target);
    auto connection = options.freshConnection ? nullptr : takeIdle (name, options.minIdleTime);
    ++counts.calls;

    if (connection != nullptr)
    {
        ++counts.reused;
    }
    else
    {
        connection = std::make_shared<ClientConnection> (shared_from_this(), name);
        ++counts.connections;

        if (! connection->connect (target))
        {
            CallResult result;
            result.cause = "could not start to connect";
            call->callback (std::move (result));
            return call;
        }
    }

    busy.emplace (connection.get(), connection);
    connection->startCall (call, message, options);
    return call;
}

std::shared_ptr<ClientConnection> HttpClient::takeIdle (const std::string& target,
                                                        Duration minIdleTime)
{
    const auto now = SteadyClock().Now();
    const auto found = idle.find (target);

    if (found == idle.end())
        return nullptr;

    std::shared_ptr<ClientConnection> taken;
    IdleList unusable;
    const auto& list = found->second;

    // The server is least likely to have closed the most recently used connection.
    for (auto it = list.rbegin(); it != list.rend() && taken == nullptr; ++it)
    {
        const auto& connection = *it;

        if (! connection->usable (now) ||
            (minIdleTime > Duration::zero() && connection->hasUnreadInput()))
            unusable.push_back (connection);
        else if (now - connection->idleSince() >= minIdleTime)
            taken = connection;
    }

    // Both change the list.
    if (taken != nullptr)
        removeFromIdle (*taken);

    for (const auto& connection : unusable)
        connection->close();

    return taken;
}

void HttpClient::removeFromIdle (const ClientConnection& connection)
{
    const auto found = idle.find (connection.target());

    if (found == idle.end())
        return;

    std::erase_if (found->second, [&] (const auto& c) { return c.get() == &connection; });

    if (found->second.empty())
        idle.erase (found);
}

void HttpClient::returnToIdle (const std::shared_ptr<ClientConnection>& connection)
{
    busy.erase (connection.get());
    auto& list = idle[connection->target()];

    if (list.size() >= settings.maxIdlePerTarget)
        connection->close();
    else
        list.push_back (connection);
}

void HttpClient::forget (const ClientConnection& connection)
{
    busy.erase (&connection);
    removeFromIdle (connection);
}

void HttpClient::closeIdleConnections (const SocketAddress& target)
{
    const auto found = idle.find (ToString (target));

    if (found == idle.end())
        return;

    const auto list = std::move (found->second);
    idle.erase (found);

    for (const auto& connection : list)
        connection->close();
}

void HttpClient::closeAllIdleConnections()
{
    const auto lists = std::move (idle);
    idle.clear();

    for (const auto& [target, list] : lists)
        for (const auto& connection : list)
            connection->close();
}

} // namespace copperlead::sidecar
