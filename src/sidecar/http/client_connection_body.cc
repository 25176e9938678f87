/** The part of ClientConnection that reads the bodies of responses, and passes large ones on while
    they arrive.
*/
#include <utility>

#include "mesh/memory_plan.h"
#include "sidecar/http/client_connection.h"

namespace copperlead::sidecar
{
namespace
{

Timestamp now() { return SteadyClock().Now(); }

} // namespace

void ClientConnection::readBody()
{
    while (state == State::body && ! body.isWaiting() && ! readIntoMemory())
        if (isLargeAnswer())
            awaitStream();
        else
            growBodyMemory();
}

bool ClientConnection::readIntoMemory()
{
    input.erase (0, decoder->feed (input, body.bytes(), body.room()));

    // The body of a response to another request is read past.
    if (answersOtherRequest)
        body.bytes().clear();

    result.tooLarge =
        ! client->settings.streamsAnswers && body.size() > client->settings.maxAnswerBytes;

    if (decoder->malformed() || result.tooLarge)
    {
        finish (CallEnd::broken, "response body malformed or too large");
        return true;
    }

    return ! decoder->expectsData() || ! (body.isFull() || isLargeAnswer());
}

bool ClientConnection::isLargeAnswer() const
{
    return client->settings.streamsAnswers && ! answersOtherRequest &&
           body.size() >= mesh::wholeBodyBytes;
}

bool ClientConnection::reserveMemory (std::size_t bytes, const std::shared_ptr<BufferPool>& pool)
{
    const bool accepted = bytes == 0 || body.request (bytes, pool,
                                                      [weak = weak_from_this()]
                                                      {
                                                          if (const auto self = weak.lock())
                                                              self->onMemoryGranted();
                                                      });

    if (! accepted)
    {
        finish (CallEnd::broken, "no memory for the response body");
        return false;
    }

    if (body.isGranted() && ! streamWanted)
        body.grow();

    updateInterest();
    return true;
}

void ClientConnection::onMemoryGranted()
{
    if (! body.isWaiting())
        return;

    if (streamWanted)
    {
        beginStream();
    }
    else
    {
        body.grow();
        advance();
    }

    resumeReading();
}

bool ClientConnection::reserveBodyMemory (const BodyFraming& framing)
{
    const bool hasLength = framing.kind == BodyKind::kLength || framing.kind == BodyKind::kNone;
    bodyLength = hasLength ? std::optional<std::size_t> (framing.length) : std::nullopt;

    if (! hasLength || answersOtherRequest)
        return reserveMemory (mesh::BufferAccount::smallBytes, client->settings.answerPools.whole);

    if (framing.length <= mesh::wholeBodyBytes)
        return reserveMemory (framing.length, client->settings.answerPools.whole);

    if (client->settings.streamsAnswers)
    {
        awaitStream();
        return false;
    }

    if (framing.length <= client->settings.maxAnswerBytes)
        return reserveMemory (framing.length, client->settings.answerPools.unsized);

    result.tooLarge = true;
    finish (CallEnd::broken, "response body too large");
    return false;
}

void ClientConnection::growBodyMemory()
{
    const auto& pools = client->settings.answerPools;

    if (body.capacity() < mesh::wholeBodyBytes)
        reserveMemory (mesh::wholeBodyBytes, pools.whole);
    else
        reserveMemory (client->settings.maxAnswerBytes + 1, pools.unsized);
}

void ClientConnection::awaitStream()
{
    const auto& pool = client->settings.answerPools.streams;
    streamWanted = true;

    if (! reserveMemory (BodyStream::reservedBytes, pool))
        return;

    if (pool == nullptr || body.isGranted())
        beginStream();
}

void ClientConnection::beginStream()
{
    const auto self = shared_from_this();
    const auto rest = std::make_shared<BodyStream> (client->reactor, body.takeRequested());
    auto remaining = bodyLength;

    if (remaining)
        *remaining -= body.size();

    rest->onRoom = [weak = weak_from_this()]
    {
        if (const auto open = weak.lock())
            open->onStreamRoom();
    };
    rest->onAbandoned = [weak = weak_from_this()]
    {
        if (const auto open = weak.lock())
            open->abandonStream();
    };
    stream = rest;
    streamWanted = false;
    result.end = CallEnd::answered;
    result.body = Body (body.takeBody(), rest, bodyLength);
    result.took = now() - sentAt;
    state = State::streaming;
    lastReadAt = now();
    armTimer (lastReadAt);

    if (options.limitsTransfer)
        transferLimit.emplace (lastReadAt, options.deadline, remaining);

    const auto done = std::exchange (call, nullptr);
    auto answer = std::exchange (result, {});

    done->callback (std::move (answer));

    readStream();
    applyPause();
}

void ClientConnection::readStream()
{
    const auto rest = stream.lock();

    if (rest == nullptr)
        return;

    const auto before = rest->buffer().size();
    input.erase (0, decoder->feed (input, rest->buffer(), rest->room()));

    if (transferLimit)
        transferLimit->received (lastReadAt, rest->buffer().size() - before);

    rest->bytesAdded();

    if (decoder->malformed())
        abandonStream();
    else if (decoder->complete())
        endStream();
}

void ClientConnection::endStream()
{
    if (const auto rest = std::exchange (stream, {}).lock())
        rest->finish();

    endResponse();
}

void ClientConnection::abandonStream()
{
    if (state != State::streaming)
        return;

    if (const auto rest = std::exchange (stream, {}).lock())
        rest->fail();

    close();
}

void ClientConnection::checkTransferLimit()
{
    if (! transferLimit || state != State::streaming)
        return;

    const auto at = now();
    transferLimit->setPaused (at, isReadingPaused());

    if (transferLimit->isExceeded (at))
        return abandonStream();

    armTimer (transferLimit->nextCheck (at));
}

void ClientConnection::onStreamRoom()
{
    if (state != State::streaming)
        return;

    lastReadAt = now();
    readStream();
    resumeReading();
}

bool ClientConnection::isReadingPaused() const
{
    if (body.isWaiting())
        return true;

    const auto rest = stream.lock();
    return state == State::streaming && (rest == nullptr || rest->room() == 0);
}

void ClientConnection::dropBody()
{
    body.clear();
    streamWanted = false;

    if (const auto rest = std::exchange (stream, {}).lock())
        rest->fail();
}

} // namespace copperlead::sidecar
