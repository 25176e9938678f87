/** The part of ClientConnection that reads the heads of responses and ends calls. */
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

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
constexpr int continueStatus = 100, switchingProtocolsStatus = 101;
constexpr std::string_view keepAliveTimeoutPrefix = "timeout=";

Timestamp now() { return SteadyClock().Now(); }

} // namespace

void ClientConnection::readAll()
{
    static thread_local std::array<char, readBufferSize> buffer;

    while (state != State::closed && ! isReadingPaused())
    {
        const auto wanted = readSize();
        const auto count = ::read (socket.descriptor(), buffer.data(), wanted);

        if (count < 0 && (errno == EAGAIN || errno == EINTR))
            return;

        if (count <= 0)
            return onEndOfInput (endOfInput.ErrorOf (count));

        // Data without an outstanding request can't be attributed to any call.
        if (state == State::idle)
            return close();

        lastReadAt = now();
        input.append (buffer.data(), static_cast<std::size_t> (count));
        advance();

        // Without events, only a read tells that nothing is left.
        if (isWatched() && static_cast<std::size_t> (count) < wanted)
            return;
    }
}

std::size_t ClientConnection::readSize() const
{
    return state == State::body && body.size() > 0 ? readBufferSize : headReadSize;
}

void ClientConnection::advance()
{
    if (state == State::streaming)
        return readStream();

    while (state == State::waiting || state == State::body)
    {
        if (state == State::waiting && ! readHead())
            return;

        if (state != State::body)
            continue;

        if (body.isWaiting())
            return;

        readBody();

        if (state != State::body || ! decoder->complete())
            return;

        onResponseComplete();
    }
}

bool ClientConnection::readHead()
{
    auto next = ParseNextResponseHead (input, options.isHead);

    if (next.status == HeadStatus::kIncomplete)
    {
        if (input.size() > maxHeadBytes)
            finish (CallEnd::broken, "response head too large");

        return false;
    }

    result.head = std::move (next.head);
    dropBody();

    if (next.status == HeadStatus::kMalformed)
    {
        finish (CallEnd::broken, next.fault);
        return false;
    }

    input.erase (0, next.size);

    if (result.head.status == switchingProtocolsStatus)
    {
        finish (CallEnd::broken, "unsolicited 101 Switching Protocols");
        return false;
    }

    if (result.head.status == continueStatus && bodyWithheld)
    {
        bodyWithheld = false;
        write();

        if (state == State::closed)
            return false;
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

    if (next.framing.kind == BodyKind::kUntilClose || answersOtherRequest ||
        ListContains (result.head.fields, "Connection", "close") || result.head.minor_version == 0)
        reusable = false;

    result.headAt = now();
    updateIdleDeadline();
    decoder.emplace (next.framing);
    state = State::body;

    return reserveBodyMemory (next.framing);
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

void ClientConnection::onEndOfInput (int error)
{
    const bool orderly = error == 0;

    if (state == State::streaming)
    {
        reusable = false;
        return orderly && decoder->endOfStream() ? endStream() : abandonStream();
    }

    if (state == State::idle || call == nullptr)
        return close();

    if (state == State::body && orderly && ! answersOtherRequest && decoder->endOfStream())
    {
        reusable = false;
        return finishAnswered();
    }

    const bool responseStarted = state == State::body || ! input.empty();
    finish (responseStarted ? CallEnd::broken : CallEnd::connectionLost,
            orderly ? "connection closed before the response was complete" : std::strerror (error));
}

void ClientConnection::finishAnswered()
{
    result.end = CallEnd::answered;
    result.body = body.takeBody();
    dropBody();
    result.took = now() - sentAt;
    const auto done = std::exchange (call, nullptr);
    auto answer = std::exchange (result, {});
    const auto self = shared_from_this();
    endResponse();

    done->callback (std::move (answer));
}

void ClientConnection::endResponse()
{
    // The connection can't be reused if unattributable bytes follow the response, or if the request
    // was not sent completely or may not have been read completely.
    const bool isSent = bodyWithheld ? writableBytes() == 0 : output.isFinished();
    const bool mayBeUnread =
        client->settings.mayLeaveBodiesUnread && requestHasBody && ! bodyWithheld;
    const bool keep = reusable && input.empty() && isSent && ! mayBeUnread;
    output.clear();
    bodyWithheld = false;
    sentAt = {};

    if (input.capacity() > maxIdleCapacity)
        input.shrink_to_fit();

    if (! keep)
        return close();

    state = State::idle;
    idleAt = now();
    armTimer (idleDeadline);
    updateInterest();
    client->returnToIdle (shared_from_this());
}

void ClientConnection::finish (CallEnd end, std::string cause)
{
    result.end = bodyWithheld ? CallEnd::notConnected : end;
    result.cause = std::move (cause);
    result.took = sentAt == Timestamp{} ? Duration{} : now() - sentAt;
    const auto done = std::exchange (call, nullptr);
    auto answer = std::exchange (result, {});
    close();

    if (done != nullptr)
        done->callback (std::move (answer));
}

} // namespace copperlead::sidecar
