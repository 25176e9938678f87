/** How a connection to a server reads answers and ends its calls. */
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "mesh/milliseconds.h"
#include "sidecar/http/client_connection.h"

namespace copperlead::sidecar
{

namespace
{

constexpr std::size_t readSize = 65536;
constexpr std::size_t mostHeadBytes = 65536;
constexpr Milliseconds keepAliveMargin{ 1200 };
constexpr int continueStatus = 100;
constexpr std::string_view keepAliveTimeout = "timeout=";

Timestamp now() { return SteadyClock().Now(); }

} // namespace

void ClientConnection::readAll()
{
    static thread_local std::array<char, readSize> buffer;

    while (state != State::closed)
    {
        const auto count = ::read (socket.descriptor(), buffer.data(), buffer.size());

        if (count < 0 && (errno == EAGAIN || errno == EINTR))
            return;

        if (count <= 0)
            return onEndOfStream (count == 0);

        // Bytes where no request waits belong to nobody.
        if (state == State::idle)
            return close();

        input.append (buffer.data(), static_cast<std::size_t> (count));
        advance();

        if (state != State::closed && static_cast<std::size_t> (count) < buffer.size())
            return;
    }
}

void ClientConnection::advance()
{
    while (state == State::waiting || state == State::body)
    {
        if (state == State::waiting && ! takeHead())
            return;

        if (state != State::body)
            continue;

        input.erase (0, decoder->feed (input, result.body));

        if (decoder->malformed() || result.body.size() > client->settings.mostAnswerBytes)
            return finish (CallEnd::broken, "malformed or oversized body");

        if (! decoder->complete())
            return;

        onAnswer();
    }
}

bool ClientConnection::takeHead()
{
    const auto end = FindHeadEnd (input);

    if (end == 0)
    {
        if (input.size() > mostHeadBytes)
            finish (CallEnd::broken, "oversized head");

        return false;
    }

    std::string fault;
    BodyFraming framing;
    result.head = {};
    result.body.clear();

    if (! ParseResponseHead (std::string_view (input).substr (0, end), result.head, fault) ||
        ! FindResponseFraming (result.head, options.isHead, framing, fault))
    {
        finish (CallEnd::broken, fault);
        return false;
    }

    input.erase (0, end);

    if (result.head.status == continueStatus && holdsBodyBack())
    {
        sendable = output.size();
        write();
    }

    if (result.head.status < 200)
        return state == State::waiting;

    foreign = false;

    if (! options.id.empty())
    {
        const auto ids = ValuesOf (result.head.fields, options.idField);

        if (ids.empty())
        {
            finish (CallEnd::broken, "the answer carries no request id");
            return false;
        }

        foreign = ids.size() != 1 || ids[0] != options.id;
    }

    if (framing.kind == BodyKind::kUntilClose || foreign ||
        ListHolds (result.head.fields, "Connection", "close") || result.head.minor_version == 0)
        keepable = false;

    learnKeepAlive();
    decoder.emplace (framing);
    state = State::body;
    return true;
}

void ClientConnection::learnKeepAlive()
{
    idleUntil = now() + client->settings.idleTime;

    for (const auto element : ListOf (result.head.fields, "Keep-Alive"))
    {
        std::uint64_t seconds = 0;

        if (! element.starts_with (keepAliveTimeout) ||
            ! ParseWholeNumber (element.substr (keepAliveTimeout.size()), seconds))
            continue;

        const auto allowed = std::chrono::seconds (std::min<std::uint64_t> (seconds, 3600));
        idleUntil = std::min (idleUntil, now() + allowed - keepAliveMargin);
    }
}

void ClientConnection::onAnswer()
{
    if (foreign)
    {
        // Another request's answer came late, where this one's is due: pass over it.
        state = State::waiting;
        return;
    }

    finishKept();
}

void ClientConnection::onEndOfStream (bool orderly)
{
    if (state == State::idle || call == nullptr)
        return close();

    if (state == State::body && orderly && ! foreign && decoder->endOfStream())
    {
        keepable = false;
        return finishKept();
    }

    const bool began = state == State::body || ! input.empty();
    finish (began ? CallEnd::broken : CallEnd::connectionLost,
            orderly ? "the connection ended" : std::strerror (errno));
}

void ClientConnection::finishKept()
{
    result.end = CallEnd::answered;
    result.took = now() - sentAt;
    const auto done = std::exchange (call, nullptr);
    auto answer = std::exchange (result, {});
    const auto self = shared_from_this();
    // Bytes behind the answer belong to nobody, and a request cut short can't be followed by
    // another.
    const bool kept = keepable && input.empty() && written == sendable;
    output.clear();
    written = 0;
    sentAt = {};

    if (kept)
    {
        state = State::idle;
        armTimer (idleUntil);
        client->keep (self);
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
    result.end = holdsBodyBack() ? CallEnd::notConnected : end;
    result.cause = std::move (cause);
    result.took = sentAt == Timestamp{} ? Duration{} : now() - sentAt;
    const auto done = std::exchange (call, nullptr);
    auto answer = std::exchange (result, {});
    close();

    if (done != nullptr && done->callback)
        std::exchange (done->callback, nullptr) (std::move (answer));
}

} // namespace copperlead::sidecar
