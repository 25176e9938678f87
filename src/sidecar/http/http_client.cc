#include "sidecar/http/http_client.h"

#include <algorithm>

#include "sidecar/http/client_connection.h"

namespace copperlead::sidecar
{

void Call::cancel()
{
    callback = nullptr;

    if (const auto open = connection.lock(); open != nullptr && open->isServing (*this))
        open->close();
}

HttpClient::HttpClient (std::shared_ptr<Reactor> reactorToUse, ClientSettings settingsToUse)
    : reactor (std::move (reactorToUse))
    , settings (settingsToUse)
{
}

HttpClient::~HttpClient() = default;

CallPointer HttpClient::send (const SocketAddress& target, std::string message,
                              const CallOptions& options, std::function<void (CallResult)> callback)
{
    auto call = std::make_shared<Call>();
    call->callback = std::move (callback);
    const auto name = ToString (target);
    auto connection = options.freshConnection ? nullptr : takeIdle (name);
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
            std::exchange (call->callback, nullptr) (std::move (result));
            return call;
        }
    }

    busy.emplace (connection.get(), connection);
    connection->startCall (call, std::move (message), options);
    return call;
}

std::shared_ptr<ClientConnection> HttpClient::takeIdle (const std::string& target)
{
    const auto now = SteadyClock().Now();

    // A list is erased together with its last connection, so it is looked up in each iteration.
    for (auto found = idle.find (target); found != idle.end(); found = idle.find (target))
    {
        // The server is least likely to have closed the most recently used connection.
        auto connection = std::move (found->second.back());
        found->second.pop_back();

        if (found->second.empty())
            idle.erase (found);

        if (connection->usable (now))
            return connection;

        connection->close();
    }

    return nullptr;
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

    if (const auto found = idle.find (connection.target()); found != idle.end())
    {
        std::erase_if (found->second, [&] (const auto& c) { return c.get() == &connection; });

        if (found->second.empty())
            idle.erase (found);
    }
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
