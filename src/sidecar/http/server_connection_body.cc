/** The part of ServerConnection that reads request bodies and sends 100 Continue. */
#include "sidecar/http/server_connection.h"

namespace copperlead::sidecar
{
namespace
{

constexpr std::string_view continueMessage = "HTTP/1.1 100 Continue\r\n\r\n";

Timestamp now() { return SteadyClock().Now(); }

} // namespace

void ServerConnection::callBodyGate()
{
    exchange->connection = weak_from_this();
    pending.add (exchange);
    const auto asked = exchange;
    server->settings.bodyGate (asked);
}

bool ServerConnection::isCurrentQueued() const
{
    return exchange != nullptr && isLatest (*exchange);
}

void ServerConnection::continueBody (const Exchange& asked)
{
    if (state != State::body || exchange.get() != &asked || ! continuePending)
        return;

    continuePending = false;
    output.append (continueMessage);
    write();
}

bool ServerConnection::bodyMayFollow() const
{
    // The client has been told to continue, or has sent data without being told.
    return ! continuePending || ! input.empty();
}

void ServerConnection::abandonBody()
{
    continuePending = false;
    exchange.reset();
    state = State::head;
}

void ServerConnection::sendContinue()
{
    // 100 Continue sent before earlier responses would be attributed to one of their requests.
    if (exchange != nullptr && pending.empty())
        continueBody (*exchange);
}

void ServerConnection::updateBufferedBytes()
{
    const auto bytes = (exchange == nullptr ? 0 : exchange->body.size()) + pending.bodyBytes();
    server->bufferedBytes += bytes - countedBodyBytes;
    countedBodyBytes = bytes;
}

void ServerConnection::readBody()
{
    input.erase (0, decoder->feed (input, exchange->body));
    updateBufferedBytes();

    if (decoder->malformed())
        return fail (400, "malformed chunked framing");

    if (exchange->body.size() > server->settings.limits().bodyBytes)
        return fail (413, "the body is too large");

    if (server->bufferedBytes > server->settings.maxBufferedRequestBytes)
        return fail (503, "too many bodies are being read");

    if (decoder->complete())
        onBodyComplete();
}

void ServerConnection::onBodyComplete()
{
    exchange->arrivedAt = now();
    continuePending = false;
    state = State::waiting;

    if (isCurrentQueued() || canDispatch())
        dispatch();
}

} // namespace copperlead::sidecar
