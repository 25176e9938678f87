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
    queueHandler (&ServerSettings::bodyGate, exchange);
}

bool ServerConnection::isCurrentQueued() const
{
    return exchange != nullptr && pending.isLatest (*exchange);
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
    if (! continueAllowed || ! continuePending || body.isWaiting() || output.endsWithBody())
        return;

    continuePending = false;
    output.append (continueMessage);
    write();
}

bool ServerConnection::bodyMayFollow() const
{
    // The client has been told to continue, or has sent data without being told. Such data may be
    // unread while the body waits for memory.
    return ! continuePending || ! input.empty() || body.isWaiting();
}

bool ServerConnection::isBodyLeft (const Exchange& asked) const
{
    return exchange.get() == &asked && bodyMayFollow();
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
    body.clear();
    memoryWanted = 0;
    streamLength = 0;
    streaming = false;

    if (const auto rest = std::exchange (stream, {}).lock())
        rest->fail();
}

void ServerConnection::sendContinue()
{
    // 100 Continue sent before earlier responses would be attributed to one of their requests.
    if (exchange != nullptr && pending.empty())
        continueBody (*exchange);
}

void ServerConnection::setMemoryWanted (const BodyFraming& framing)
{
    dropBody();
    const auto& settings = server->settings;

    if (framing.kind == BodyKind::kChunked)
    {
        memoryWanted = std::min (mesh::BufferAccount::smallBytes, settings.limits().bodyBytes);
        return;
    }

    memoryWanted = framing.length;

    if (framing.length <= mesh::wholeBodyBytes || ! settings.streamsBodies)
        return;

    streamLength = framing.length;
    memoryWanted = mesh::identifyingBodyBytes + BodyStream::reservedBytes;
    body.setMaxBytes (mesh::identifyingBodyBytes);
}

bool ServerConnection::reserveBodyMemory()
{
    const auto bytes = std::exchange (memoryWanted, 0);
    const auto& pools = server->settings.bodyPools;

    if (streamLength > 0)
        return bytes == 0 || reserveMemory (bytes, pools.streams);

    return bytes == 0 ||
           reserveMemory (bytes, bytes > mesh::wholeBodyBytes ? pools.unsized : pools.whole);
}

bool ServerConnection::reserveMemory (std::size_t bytes, const std::shared_ptr<BufferPool>& pool)
{
    const bool accepted = body.request (bytes, pool,
                                        [weak = weak_from_this()]
                                        {
                                            if (const auto self = weak.lock())
                                                self->onMemoryGranted();
                                        });

    if (! accepted)
    {
        if (server->settings.onMemoryRefused)
            server->settings.onMemoryRefused (exchange->head, bytes, *pool);

        fail (503, "no memory for the body");
        return false;
    }

    if (body.isGranted())
        body.grow();

    return true;
}

void ServerConnection::onMemoryGranted()
{
    if (! body.isWaiting())
        return;

    body.grow();
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
    const auto& pools = server->settings.bodyPools;
    const auto limit = server->settings.limits().bodyBytes;
    const auto whole = std::min (mesh::wholeBodyBytes, limit);

    if (body.capacity() < whole)
        reserveMemory (whole, pools.whole);
    else
        reserveMemory (limit, pools.unsized);
}

void ServerConnection::readBody()
{
    if (streaming)
        return readStream();

    // A client may send the body without waiting for 100 Continue.
    if (! reserveBodyMemory() || body.isWaiting())
        return;

    continuePending = false;
    input.erase (0, decoder->feed (input, body.bytes(), body.room()));
    const auto limit = server->settings.limits().bodyBytes;

    if (decoder->malformed())
        return fail (400, "malformed chunked framing");

    if (body.size() > limit || (body.size() == limit && decoder->expectsData()))
        return fail (413, "the body is too large");

    if (decoder->complete())
        return onBodyComplete();

    if (! body.isFull() || ! decoder->expectsData())
        return;

    if (streamLength > 0)
        beginStream();
    else
        growBodyMemory();
}

void ServerConnection::beginStream()
{
    const auto rest = std::make_shared<BodyStream> (server->reactor, body.takeMemory());
    rest->onRoom = [weak = weak_from_this()]
    {
        if (const auto self = weak.lock())
            self->onStreamRoom();
    };
    exchange->body = Body (body.takeBody(), rest, streamLength);
    stream = rest;
    streaming = true;
    dispatchIfPossible();
}

void ServerConnection::readStream()
{
    const auto rest = stream.lock();

    if (rest == nullptr)
        return;

    input.erase (0, decoder->feed (input, rest->buffer(), rest->room()));
    rest->bytesAdded();

    if (! decoder->complete())
        return;

    rest->finish();
    stream.reset();
    streaming = false;
    streamLength = 0;
    exchange.reset();
    state = State::head;
}

bool ServerConnection::isStreamPaused() const
{
    if (! streaming)
        return false;

    const auto rest = stream.lock();
    return rest == nullptr || rest->room() == 0;
}

void ServerConnection::onStreamRoom()
{
    if (state == State::closed)
        return;

    lastReadAt = now();
    advance();

    if (state == State::closed)
        return;

    updateInterest();
    armTimer (deadline());
}

void ServerConnection::onBodyComplete()
{
    exchange->body = body.takeBody();
    dropBody();
    dispatchIfPossible();
}

void ServerConnection::dispatchIfPossible()
{
    exchange->arrivedAt = now();
    continuePending = false;
    state = State::waiting;

    if (isCurrentQueued() || canDispatch())
        dispatch();
}

} // namespace copperlead::sidecar
