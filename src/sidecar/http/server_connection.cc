#include "sidecar/http/server_connection.h"

#include <poll.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace copperlead::sidecar
{
namespace
{

constexpr std::size_t readBufferSize = 65536;
constexpr std::size_t headReadSize = 16384; // Bounds what is read of a body before it has memory.
constexpr std::size_t maxUnparsedBytes = 65536;      // Input of a connection.
constexpr std::size_t maxAllUnparsedBytes = 4 << 20; // Input of all connections of a server.
constexpr std::size_t maxIdleCapacity = 4096; // Memory that a connection keeps between requests.
constexpr std::size_t maxPendingRequests = 16;
constexpr std::size_t maxUnsentBytes = 256 << 10; // Unsent output that pauses dispatching.
constexpr Milliseconds bodyTimeout{ 30'000 };
constexpr Milliseconds writeTimeout{ 30'000 };

Timestamp now() { return SteadyClock().Now(); }

} // namespace

ServerConnection::ServerConnection (std::shared_ptr<HttpServer> owner, Socket socketToUse,
                                    bool isFromSameIp)
    : server (std::move (owner))
    , socket (std::move (socketToUse))
    , fromSameIp (isFromSameIp)
    , idleSince (now())
{
}

ServerConnection::~ServerConnection() = default;

void ServerConnection::start()
{
    interest = EPOLLIN;
    output.onBytes = [weak = weak_from_this()]
    {
        if (const auto self = weak.lock())
            self->onBytesOfAnswer();
    };
    watch =
        server->reactor->Watch (socket, interest,
                                [weak = weak_from_this()] (std::uint32_t events)
                                {
                                    if (const auto self = weak.lock())
                                        self->closeOnException ([&] { self->onEvents (events); });
                                });
    armTimer (deadline());
}

void ServerConnection::closeOnException (const std::function<void()>& handler)
{
    try
    {
        handler();
    }
    catch (...)
    {
        close();
        throw;
    }
}

void ServerConnection::onEvents (std::uint32_t events)
{
    if ((events & EPOLLOUT) != 0)
        write();

    // Reading is suspended while too much is buffered, so only the event reports the end of stream.
    if (isReadingBlocked() && (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0)
        return close();

    if (state != State::closed && (events & (EPOLLIN | EPOLLHUP | EPOLLERR | EPOLLRDHUP)) != 0)
        readAll();

    if (state != State::closed)
        updateInterest();
}

bool ServerConnection::idle() const
{
    return state == State::head && input.empty() && output.isFinished() && pending.empty();
}

bool ServerConnection::isLastRead (const Exchange& asked) const
{
    const bool isOtherBeingRead = exchange != nullptr && exchange.get() != &asked;
    // Line breaks may stand between requests.
    const bool isInputLeft = input.find_first_not_of ("\r\n") != std::string::npos;
    return pending.isLatest (asked) && ! isOtherBeingRead && ! isInputLeft;
}

bool ServerConnection::canReadNext() const
{
    const auto unsent = output.remaining() + pending.messageBytes();

    if (noMoreRequests || unsent >= maxUnsentBytes)
        return false;

    return pending.empty() || (server->settings.canRunConcurrently && ! server->draining &&
                               pending.size() < maxPendingRequests);
}

bool ServerConnection::canDispatch() const
{
    return canReadNext() && ! mayBreakOff() &&
           (pending.empty() || server->settings.canRunConcurrently (exchange->head));
}

bool ServerConnection::mayBreakOff() const
{
    const auto* latest = pending.latest();
    const auto& breaksOff = server->settings.mayBreakOff;
    return output.awaitsBody() || (latest != nullptr && breaksOff && breaksOff (latest->head));
}

bool ServerConnection::isReadingBlocked() const
{
    if (body.isWaiting() || isStreamPaused())
        return true;

    const bool cannotProceed = state == State::waiting || (state == State::head && ! canReadNext());
    return cannotProceed &&
           (input.size() >= maxUnparsedBytes || server->unparsedBytes >= maxAllUnparsedBytes);
}

std::size_t ServerConnection::readSize() const
{
    return state == State::head || streaming ? headReadSize : readBufferSize;
}

void ServerConnection::updateUnparsedBytes()
{
    server->unparsedBytes += input.size() - countedInputBytes;
    countedInputBytes = input.size();

    if (input.empty() && input.capacity() > maxIdleCapacity)
        input.shrink_to_fit();
}

void ServerConnection::readAll()
{
    static thread_local std::array<char, readBufferSize> buffer;

    while (state != State::closed && ! isReadingBlocked())
    {
        const auto wanted = readSize();
        const auto count = ::read (socket.descriptor(), buffer.data(), wanted);

        if (count < 0 && (errno == EAGAIN || errno == EINTR))
            return;

        if (count <= 0)
            return close();

        if (state == State::lingering)
            continue;

        if (state == State::head && input.empty())
            headStartedAt = now();

        lastReadAt = now();
        input.append (buffer.data(), static_cast<std::size_t> (count));
        advance();

        if (static_cast<std::size_t> (count) < wanted)
            return;
    }
}

void ServerConnection::advance()
{
    if (advancing)
        return;

    advancing = true;
    auto stateBefore = State::closed;
    std::size_t bytesBefore = 0;

    if (state == State::waiting && canDispatch())
        dispatch();

    // Each iteration parses a head or a part of a body; the loop ends once nothing changes, until
    // more bytes arrive.
    while (! input.empty() && (state == State::head || state == State::body) &&
           (stateBefore != state || bytesBefore != input.size()))
    {
        stateBefore = state;
        bytesBefore = input.size();

        if (state == State::body)
            readBody();
        else if (canReadNext())
            readHead();
    }

    advancing = false;

    if (state == State::closed)
        return;

    updateUnparsedBytes();

    if (state == State::head && ! input.empty() && canReadNext() &&
        server->unparsedBytes > maxAllUnparsedBytes)
        return fail (503, "too many heads are being read");

    armTimer (deadline());
}

void ServerConnection::readHead()
{
    // Empty lines before a request are skipped (RFC 9112, section 2.2).
    while (input.starts_with ("\r\n"))
        input.erase (0, 2);

    const auto limits = server->settings.limits();
    const auto end = FindHeadEnd (input);

    if (end > limits.headerBytes || (end == 0 && input.size() > limits.headerBytes))
        return fail (431, "the head is too large");

    if (end == 0)
        return;

    exchange = std::make_shared<Exchange>();
    exchange->fromSameIp = fromSameIp;
    BodyFraming framing;
    std::string fault;
    const auto text = std::string_view (input).substr (0, end);

    if (HasBareLineFeed (text) || ! ParseRequestHead (text, exchange->head, fault) ||
        ! FindRequestFraming (exchange->head, framing, fault))
        return fail (400, fault.empty() ? "a bare line feed" : fault);

    if (ValuesOf (exchange->head.fields, "Host").size() != 1)
        return fail (400, "exactly one Host header is needed");

    if (framing.length > limits.bodyBytes)
        return fail (413, "the body is too large");

    input.erase (0, end);
    exchange->closeAfterResponse = exchange->head.minor_version == 0 ||
                                   ListContains (exchange->head.fields, "Connection", "close");
    decoder.emplace (framing);
    setMemoryWanted (framing);
    continueAllowed = false;
    continuePending = ListContains (exchange->head.fields, "Expect", "100-continue") &&
                      input.empty() && ! decoder->complete();
    state = State::body;

    if (continuePending && server->settings.bodyGate && pending.empty())
        return callBodyGate();

    if (! reserveBodyMemory())
        return;

    sendContinue();

    if (decoder->complete())
        onBodyComplete();
}

bool ServerConnection::peerHasClosed() const
{
    // Peeking at the data shows neither a reset nor an end of stream behind unread bytes.
    pollfd stream{ socket.descriptor(), POLLRDHUP, 0 };
    return ::poll (&stream, 1, 0) == 1;
}

void ServerConnection::dispatch()
{
    // After the reactor was held up, a request may be read together with the end of its connection.
    if (peerHasClosed())
        return close();

    const bool alreadyQueued = isCurrentQueued();
    const auto dispatched = exchange;
    state = streaming ? State::body : State::head;

    if (! streaming)
        exchange.reset();

    noMoreRequests = dispatched->closeAfterResponse;
    headStartedAt = now();
    dispatched->connection = weak_from_this();

    server->counts.startedConcurrently += pending.empty() || alreadyQueued ? 0 : 1;

    if (! alreadyQueued)
        pending.add (dispatched);

    queueHandler (&ServerSettings::handler, dispatched);
}

void ServerConnection::queueHandler (std::function<void (ExchangePointer)> ServerSettings::*handler,
                                     const ExchangePointer& passed)
{
    server->reactor->callbacks()->Add (
        [weak = weak_from_this(), handler, passed]
        {
            // The client may have left since.
            const auto self = weak.lock();

            if (self != nullptr && self->pending.contains (*passed))
                self->closeOnException ([&] { (self->server->settings.*handler) (passed); });
        });
}

void ServerConnection::dropPending()
{
    exchange.reset();
    dropBody();
    const auto removed = pending.removeAll();

    for (const auto& abandoned : removed)
        notifyDisconnect (*abandoned);
}

void ServerConnection::notifyDisconnect (Exchange& abandoned)
{
    if (abandoned.onDisconnect)
        server->reactor->callbacks()->Add (std::exchange (abandoned.onDisconnect, nullptr));
}

void ServerConnection::close()
{
    if (state == State::closed)
        return;

    const auto self = shared_from_this();
    state = State::closed;
    endTransfer();
    server->reactor->Unwatch (watch, socket);
    socket.Close();
    server->remove (self);
    input.clear();
    updateUnparsedBytes();
    output.clear();
    dropPending();
}

void ServerConnection::updateInterest()
{
    if (state == State::closed)
        return;

    const std::uint32_t wanted = (isReadingBlocked() ? EPOLLRDHUP : EPOLLIN) |
                                 (output.remaining() > 0 && ! isWaitingForLink() ? EPOLLOUT : 0U);

    if (wanted == interest)
        return;

    interest = wanted;
    server->reactor->ModifyWatch (watch, socket, interest);
}

Timestamp ServerConnection::deadline() const
{
    const auto limits = server->settings.limits();

    if (output.remaining() > 0)
        return isWaitingForLink() ? Timestamp::max() : lastWriteAt + writeTimeout;

    // The connection that reads the body has a timeout of its own.
    if (output.awaitsBody())
        return Timestamp::max();

    switch (state)
    {
    case State::head:
        if (! input.empty() && canReadNext())
            return headStartedAt + limits.headerTimeout;
        return pending.empty() ? idleSince + limits.idleTimeout : Timestamp::max();
    case State::body:
        if (isStreamPaused())
            return Timestamp::max();
        return (streaming ? lastReadAt : headStartedAt) + bodyTimeout;
    case State::lingering:
        return lingerEnd;
    case State::waiting:
    case State::closed:
        break;
    }

    return Timestamp::max();
}

void ServerConnection::armTimer (Timestamp when)
{
    // A timer that fires too early arms the next one, so only an earlier deadline needs a new
    // timer.
    if (when >= timerAt)
        return;

    timerAt = when;
    server->reactor->RunAt (when,
                            [weak = weak_from_this(), when]
                            {
                                const auto self = weak.lock();

                                if (self != nullptr && self->timerAt == when)
                                    self->closeOnException ([&] { self->onTimer(); });
                            });
}

void ServerConnection::onTimer()
{
    timerAt = Timestamp::max();

    if (state == State::closed)
        return;

    const auto due = deadline();

    if (now() < due)
        return armTimer (due);

    if (state == State::head && ! input.empty() && output.isFinished())
        return fail (408, "the head did not arrive in time");

    close();
}

} // namespace copperlead::sidecar
