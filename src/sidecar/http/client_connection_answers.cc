/** The part of ClientConnection that reads responses and ends calls. */
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "mesh/memory_plan.h"
#include "mesh/milliseconds.h"
#include "sidecar/http/client_connection.h"

namespace copperlead::sidecar
{

namespace
{

constexpr std::size_t readBufferSize = 65536;
constexpr std::size_t headReadSize = 16384;   // Bounds what is read of a body before it has memory.
constexpr std::size_t maxIdleCapacity = 4096; // Memory that a connection keeps between calls.
constexpr std::size_t maxHeadBytes = 65536;
/** An idle connection is closed this long before the keep-alive timeout that the server announced.
 */
constexpr Milliseconds keepAliveMargin{ 1200 };
constexpr std::uint64_t maxKeepAliveSeconds = 3600;
constexpr int continueStatus = 100;
constexpr std::string_view keepAliveTimeoutPrefix = "timeout=";

Timestamp now() { return SteadyClock().Now(); }

} // namespace

void ClientConnection::readAll()
{
    static thread_local std::array<char, readBufferSize> buffer;

    while (state != State::closed && ! isWaitingForMemory())
    {
        const auto wanted = readSize();
        const auto count = ::read (socket.descriptor(), buffer.data(), wanted);

        if (count < 0 && (errno == EAGAIN || errno == EINTR))
            return;

        if (count <= 0)
            return onEndOfStream (count == 0);

        // Data without an outstanding request can't be attributed to any call.
        if (state == State::idle)
            return close();

        input.append (buffer.data(), static_cast<std::size_t> (count));
        advance();

        if (static_cast<std::size_t> (count) < wanted)
            return;
    }
}

std::size_t ClientConnection::readSize() const
{
    return state == State::body ? readBufferSize : headReadSize;
}

void ClientConnection::advance()
{
    while (state == State::waiting || state == State::body)
    {
        if (state == State::waiting && ! readHead())
            return;

        if (state != State::body)
            continue;

        if (isWaitingForMemory())
            return;

        readBody();

        if (state != State::body || ! decoder->complete())
            return;

        onResponseComplete();
    }
}

void ClientConnection::readBody()
{
    input.erase (0, decoder->feed (input, bodyBytes, memory.bytes() - bodyBytes.size()));

    // The body of a response to another request is read past.
    if (answersOtherRequest)
        bodyBytes.clear();

    if (decoder->malformed() || bodyBytes.size() > client->settings.maxAnswerBytes)
        return finish (CallEnd::broken, "response body malformed or too large");

    if (bodyBytes.size() == memory.bytes() && decoder->expectsData())
        growBodyMemory();
}

bool ClientConnection::reserveMemory (std::size_t bytes)
{
    const auto& pool = client->settings.answerPools.poolFor (bytes);

    if (pool == nullptr || bytes == 0)
        return true;

    if (! pool->accepts (bytes))
    {
        finish (CallEnd::broken, "no memory for the response body");
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
    else
        updateInterest();

    return true;
}

void ClientConnection::useGrantedMemory()
{
    // The memory so far is released only after its bytes have been moved.
    bodyBytes.reserve (moreMemory->bytes());
    memory = std::move (*moreMemory);
    moreMemory.reset();
}

void ClientConnection::onMemoryGranted()
{
    if (! isWaitingForMemory())
        return;

    useGrantedMemory();
    updateInterest();
    advance();
}

void ClientConnection::growBodyMemory()
{
    const auto next = memory.bytes() < mesh::wholeBodyBytes ? mesh::wholeBodyBytes
                                                            : client->settings.maxAnswerBytes + 1;
    reserveMemory (next);
}

void ClientConnection::dropBody()
{
    std::string().swap (bodyBytes);
    memory = {};
    moreMemory.reset();
}

bool ClientConnection::readHead()
{
    const auto end = FindHeadEnd (input);

    if (end == 0)
    {
        if (input.size() > maxHeadBytes)
            finish (CallEnd::broken, "response head too large");

        return false;
    }

    std::string fault;
    BodyFraming framing;
    result.head = {};
    dropBody();

    if (! ParseResponseHead (std::string_view (input).substr (0, end), result.head, fault) ||
        ! FindResponseFraming (result.head, options.isHead, framing, fault))
    {
        finish (CallEnd::broken, fault);
        return false;
    }

    input.erase (0, end);

    if (result.head.status == continueStatus && isBodyWithheld())
    {
        sendLimit = output.size();
        write();
    }

    if (result.head.status < 200)
        return state == State::waiting;

    answersOtherRequest = false;

    if (! options.id.empty())
    {
        const auto ids = ValuesOf (result.head.fields, options.idField);

        if (ids.empty())
        {
            finish (CallEnd::broken, "response lacks the request id");
            return false;
        }

        answersOtherRequest = ids.size() != 1 || ids[0] != options.id;
    }

    if (framing.kind == BodyKind::kUntilClose || answersOtherRequest ||
        ListContains (result.head.fields, "Connection", "close") || result.head.minor_version == 0)
        reusable = false;

    result.headAt = now();
    updateIdleDeadline();
    decoder.emplace (framing);
    state = State::body;

    if (framing.kind == BodyKind::kLength && framing.length > client->settings.maxAnswerBytes)
    {
        finish (CallEnd::broken, "response body too large");
        return false;
    }

    const bool hasLength = framing.kind == BodyKind::kLength || framing.kind == BodyKind::kNone;
    const auto wanted =
        hasLength && ! answersOtherRequest ? framing.length : mesh::BufferAccount::smallBytes;
    return reserveMemory (wanted);
}

void ClientConnection::updateIdleDeadline()
{
    idleDeadline = now() + client->settings.idleTime;

    for (const auto element : ListOf (result.head.fields, "Keep-Alive"))
    {
        std::uint64_t seconds = 0;

        if (! element.starts_with (keepAliveTimeoutPrefix) ||
            ! ParseWholeNumber (element.substr (keepAliveTimeoutPrefix.size()), seconds))
            continue;

        const auto allowed =
            std::chrono::seconds (std::min<std::uint64_t> (seconds, maxKeepAliveSeconds));
        idleDeadline = std::min (idleDeadline, now() + allowed - keepAliveMargin);
    }
}

void ClientConnection::onResponseComplete()
{
    if (answersOtherRequest)
    {
        // A late response to another request is skipped; the response to this one is still
        // expected.
        dropBody();
        state = State::waiting;
        return;
    }

    finishAnswered();
}

void ClientConnection::onEndOfStream (bool orderly)
{
    if (state == State::idle || call == nullptr)
        return close();

    if (state == State::body && orderly && ! answersOtherRequest && decoder->endOfStream())
    {
        reusable = false;
        return finishAnswered();
    }

    const bool responseStarted = state == State::body || ! input.empty();
    finish (responseStarted ? CallEnd::broken : CallEnd::connectionLost,
            orderly ? "connection closed before the response was complete" : std::strerror (errno));
}

void ClientConnection::finishAnswered()
{
    result.end = CallEnd::answered;
    result.body = Body (std::move (bodyBytes), std::move (memory));
    dropBody();
    result.took = now() - sentAt;
    const auto done = std::exchange (call, nullptr);
    auto answer = std::exchange (result, {});
    const auto self = shared_from_this();
    // The connection can't be reused if unattributable bytes follow the response, or if the request
    // was not sent completely.
    const bool keep = reusable && input.empty() && output.written() == sendLimit;
    output.clear();
    sendLimit = 0;
    sentAt = {};

    if (input.capacity() > maxIdleCapacity)
        input.shrink_to_fit();

    if (keep)
    {
        state = State::idle;
        idleAt = now();
        armTimer (idleDeadline);
        client->returnToIdle (self);
    }
    else
    {
        close();
    }

    if (done->callback)
        std::exchange (done->callback, nullptr) (std::move (answer));
}

void ClientConnection::finish (CallEnd end, std::string cause)
{
    result.end = isBodyWithheld() ? CallEnd::notConnected : end;
    result.cause = std::move (cause);
    result.took = sentAt == Timestamp{} ? Duration{} : now() - sentAt;
    const auto done = std::exchange (call, nullptr);
    auto answer = std::exchange (result, {});
    close();

    if (done != nullptr && done->callback)
        std::exchange (done->callback, nullptr) (std::move (answer));
}

} // namespace copperlead::sidecar
