#include "sidecar/http/client_connection.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include "mesh/milliseconds.h"
#include "sidecar/http/sockets.h"

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

ClientConnection::ClientConnection (std::shared_ptr<HttpClient> owner, std::string targetName)
    : client (std::move (owner))
    , name (std::move (targetName))
{
}

ClientConnection::~ClientConnection() = default;

bool ClientConnection::connect (const SocketAddress& address)
{
    const auto native = ToNative (address);

    if (! native)
        return false;

    socket = StartConnect (*native);

    if (! socket.open())
        return false;

    setDeadPeerDetection (socket, client->settings.unacknowledged);
    interest = EPOLLOUT;
    connectBy = now() + client->settings.connectTimeout;
    watch = client->reactor->Watch (socket, interest,
                                    [weak = weak_from_this()] (std::uint32_t events)
                                    {
                                        if (const auto self = weak.lock())
                                            self->onEvents (events);
                                    });
    return true;
}

bool ClientConnection::usable (Timestamp at) const
{
    return state == State::idle && at < idleUntil;
}

void ClientConnection::begin (CallPointer newCall, std::string message,
                              const CallOptions& newOptions)
{
    call = std::move (newCall);
    call->connection = weak_from_this();
    options = newOptions;
    output = std::move (message);
    written = 0;
    sendable = options.headBytes == 0 ? output.size() : options.headBytes;
    result = {};
    result.reused = usedBefore;
    usedBefore = true;

    if (state == State::connecting)
        return armTimer (std::min (connectBy, options.deadline));

    state = State::waiting;
    armTimer (options.deadline);
    write();
}

void ClientConnection::onEvents (std::uint32_t events)
{
    const auto self = shared_from_this();

    if (state == State::connecting)
        return onConnected();

    if ((events & EPOLLOUT) != 0)
        write();

    if (state != State::closed && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0)
        readAll();
}

void ClientConnection::onConnected()
{
    if (const int error = pendingError (socket); error != 0)
    {
        result.refused = error == ECONNREFUSED;
        return finish (CallEnd::notConnected, std::strerror (error));
    }

    const auto opened = now() - (connectBy - client->settings.connectTimeout);
    client->counts.connect.observe (mesh::toMilliseconds (opened));
    state = State::waiting;
    armTimer (options.deadline);
    write();
}

void ClientConnection::write()
{
    while (written < sendable)
    {
        const auto count =
            ::send (socket.descriptor(), output.data() + written, sendable - written, MSG_NOSIGNAL);

        if (count < 0 && (errno == EAGAIN || errno == EINTR))
            return setInterest (EPOLLIN | EPOLLOUT);

        // What the server said before it closed may still be read: that comes with EPOLLIN.
        if (count < 0)
        {
            written = sendable = output.size();
            keepable = false;
            break;
        }

        result.sent = true;
        written += static_cast<std::size_t> (count);
    }

    if (sentAt == Timestamp{} || written == sendable)
        sentAt = now();

    if (const auto told = std::exchange (options.onSent, nullptr))
        told();

    setInterest (EPOLLIN);
}

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

void ClientConnection::close()
{
    if (state == State::closed)
        return;

    const auto self = shared_from_this();
    state = State::closed;
    call.reset();
    client->reactor->Unwatch (watch, socket);
    socket.Close();
    client->forget (*this);
}

void ClientConnection::setInterest (std::uint32_t wanted)
{
    if (interest == wanted)
        return;

    interest = wanted;
    client->reactor->Change (watch, socket, interest);
}

void ClientConnection::armTimer (Timestamp when)
{
    if (when >= timerAt)
        return;

    timerAt = when;
    client->reactor->RunAt (when,
                            [weak = weak_from_this(), when]
                            {
                                const auto self = weak.lock();

                                if (self != nullptr && self->timerAt == when)
                                    self->onTimer();
                            });
}

void ClientConnection::onTimer()
{
    timerAt = Timestamp::max();
    const auto at = now();

    switch (state)
    {
    case State::connecting:
        if (at < std::min (connectBy, options.deadline))
            return armTimer (std::min (connectBy, options.deadline));
        return finish (CallEnd::notConnected, "no connection in time");

    case State::waiting:
    case State::body:
        if (at < options.deadline)
            return armTimer (options.deadline);
        return finish (CallEnd::timedOut, "no whole answer in time");

    case State::idle:
        if (at < idleUntil)
            return armTimer (idleUntil);
        return close();

    case State::closed:
        return;
    }
}

} // namespace copperlead::sidecar
