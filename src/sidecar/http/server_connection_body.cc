/** The part of ServerConnection that reads request bodies and sends 100 Continue. */
#include <algorithm>
#include <utility>

#include "mesh/memory_plan.h"
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

    if (! reserveBodyMemory())
        return;

    continueAllowed = true;
    sendAllowedContinue();
}

void ServerConnection::sendAllowedContinue()
{
    if (! continueAllowed || ! continuePending || isWaitingForMemory() || output.endsWithBody())
        return;

    continuePending = false;
    output.append (continueMessage);
    write();
}

bool ServerConnection::bodyMayFollow() const
{
    // The client has been told to continue, or has sent data without being told. Such data may be
    // unread while the body waits for memory.
    return ! continuePending || ! input.empty() || isWaitingForMemory();
}

void ServerConnection::abandonBody()
{
    continuePending = false;
    exchange.reset();
    dropBody();
    state = State::head;
}

void ServerConnection::dropBody()
{
    std::string().swap (bodyBytes);
    memory = {};
    moreMemory.reset();
    memoryWanted = 0;
}

void ServerConnection::sendContinue()
{
    // 100 Continue sent before earlier responses would be attributed to one of their requests.
    if (exchange != nullptr && pending.empty())
        continueBody (*exchange);
}

bool ServerConnection::reserveBodyMemory()
{
    const auto bytes = std::exchange (memoryWanted, 0);
    return bytes == 0 || reserveMemory (bytes);
}

bool ServerConnection::reserveMemory (std::size_t bytes)
{
    const auto& pool = server->settings.bodyPools.poolFor (bytes);

    if (pool == nullptr)
        return true;

    if (! pool->accepts (bytes))
    {
        if (server->settings.onMemoryRefused)
            server->settings.onMemoryRefused (exchange->head, bytes);

        fail (503, "no memory for the body");
        return false;
    }

    moreMemory = pool->reserve (bytes,
                                [weak = weak_from_this()]
                                {
                                    if (const auto self = weak.lock())
                                        self->onMemoryGranted();
                                });

    if (moreMemory->isGranted())
        useGrantedMemory();

    return true;
}

void ServerConnection::useGrantedMemory()
{
    // The memory so far is released only after its bytes have been moved.
    bodyBytes.reserve (moreMemory->bytes());
    memory = std::move (*moreMemory);
    moreMemory.reset();
}

void ServerConnection::onMemoryGranted()
{
    if (! isWaitingForMemory())
        return;

    useGrantedMemory();
    headStartedAt = now();
    sendAllowedContinue();
    advance();

    if (state == State::closed)
        return;

    updateInterest();
    armTimer (deadline());
}

void ServerConnection::growBodyMemory()
{
    const auto next = memory.bytes() < mesh::wholeBodyBytes ? mesh::wholeBodyBytes : SIZE_MAX;
    reserveMemory (std::min (next, server->settings.limits().bodyBytes));
}

void ServerConnection::readBody()
{
    // A client may send the body without waiting for 100 Continue.
    if (! reserveBodyMemory() || isWaitingForMemory())
        return;

    input.erase (0, decoder->feed (input, bodyBytes, memory.bytes() - bodyBytes.size()));
    const auto limit = server->settings.limits().bodyBytes;

    if (decoder->malformed())
        return fail (400, "malformed chunked framing");

    if (bodyBytes.size() > limit || (bodyBytes.size() == limit && decoder->expectsData()))
        return fail (413, "the body is too large");

    if (decoder->complete())
        return onBodyComplete();

    if (bodyBytes.size() == memory.bytes() && decoder->expectsData())
        growBodyMemory();
}

void ServerConnection::onBodyComplete()
{
    exchange->body = Body (std::move (bodyBytes), std::move (memory));
    dropBody();
    exchange->arrivedAt = now();
    continuePending = false;
    state = State::waiting;

    if (isCurrentQueued() || canDispatch())
        dispatch();
}

} // namespace copperlead::sidecar
