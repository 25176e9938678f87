/** How a server's connection takes the bodies of requests, told to come or not. */
#include "sidecar/http/server_connection.h"

namespace copperlead::sidecar
{
namespace
{

constexpr std::string_view continueMessage = "HTTP/1.1 100 Continue\r\n\r\n";

Timestamp now() { return SteadyClock().Now(); }

} // namespace

void ServerConnection::askGate()
{
    exchange->connection = weak_from_this();
    open.add (exchange);
    const auto asked = exchange;
    server->settings.bodyGate (asked);
}

bool ServerConnection::gated() const { return exchange != nullptr && isLatest (*exchange); }

void ServerConnection::continueBody (const Exchange& asked)
{
    if (state != State::body || exchange.get() != &asked || ! owesContinue)
        return;

    owesContinue = false;
    output.append (continueMessage);
    write();
}

bool ServerConnection::bodyMayFollow() const
{
    // It was called for, or came unasked.
    return ! owesContinue || ! input.empty();
}

void ServerConnection::abandonBody()
{
    owesContinue = false;
    exchange.reset();
    state = State::head;
}

void ServerConnection::sendContinue()
{
    // In front of earlier answers it would be taken for a part of them.
    if (exchange != nullptr && open.empty())
        continueBody (*exchange);
}

void ServerConnection::countBuffered()
{
    const auto bytes = (exchange == nullptr ? 0 : exchange->body.size()) + open.bodyBytes();
    server->bufferedBytes += bytes - buffered;
    buffered = bytes;
}

void ServerConnection::takeBody()
{
    input.erase (0, decoder->feed (input, exchange->body));
    countBuffered();

    if (decoder->malformed())
        return fail (400, "malformed chunked framing");

    if (exchange->body.size() > server->settings.limits().bodyBytes)
        return fail (413, "the body is too large");

    if (server->bufferedBytes > server->settings.mostBufferedBytes)
        return fail (503, "too many bodies are being read");

    if (decoder->complete())
        bodyTaken();
}

void ServerConnection::bodyTaken()
{
    exchange->arrivedAt = now();
    owesContinue = false;
    state = State::held;

    if (gated() || mayHandOn())
        handOn();
}

} // namespace copperlead::sidecar
