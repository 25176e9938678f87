#include "sidecar/http/client_connection.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include "mesh/memory_plan.h"
#include "mesh/milliseconds.h"
#include "sidecar/http/sockets.h"

namespace copperlead::sidecar
{
namespace
{

constexpr Milliseconds streamTimeout{ 30'000 };

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

    setDeadPeerDetection (socket, client->settings.unacknowledgedTimeout);
    setReceiveBuffer (socket, mesh::socketBufferBytes);
    interest = EPOLLOUT;
    connectDeadline = now() + client->settings.connectTimeout;
    output.onBytes = [weak = weak_from_this()]
    {
        if (const auto self = weak.lock())
            self->onBytesOfRequest();
    };
    watch =
        client->reactor->Watch (socket, interest,
                                [weak = weak_from_this()] (std::uint32_t events)
                                {
                                    if (const auto self = weak.lock())
                                        self->finishOnException ([&] { self->onEvents (events); });
                                });
    return true;
}

bool ClientConnection::usable (Timestamp at) const
{
    return state == State::idle && at < idleDeadline;
}

bool ClientConnection::hasUnreadInput() const { return HasUnreadInput (socket); }

void ClientConnection::startCall (CallPointer newCall, const Message& message,
                                  const CallOptions& newOptions)
{
    call = std::move (newCall);
    call->connection = weak_from_this();
    options = newOptions;
    output.clear();
    output.append (message);
    requestHasBody = ! message.body.empty();
    bodyWithheld = options.headBytes > 0;
    writeFailed = false;
    transferLimit.reset();
    result = {};
    result.reused = usedBefore;
    usedBefore = true;

    if (state == State::connecting)
        return armTimer (std::min (connectDeadline, options.deadline));

    state = State::waiting;
    armTimer (options.deadline);
    write();
}

void ClientConnection::finishOnException (const std::function<void()>& handler)
{
    try
    {
        handler();
    }
    catch (const std::exception& error)
    {
        finish (CallEnd::broken, error.what());
        throw;
    }
}

void ClientConnection::onEvents (std::uint32_t events)
{
    const auto self = shared_from_this();

    if (state == State::connecting)
        return onConnected();

    if ((events & EPOLLOUT) != 0)
        write();

    // A failed connection reports that all the time, while what has arrived can be read later.
    if (isReadingPaused() && (events & (EPOLLHUP | EPOLLERR)) != 0)
    {
        reusable = false;
        return stopWatching();
    }

    if (state == State::closed || (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) == 0)
        return;

    readAll();
    applyPause();
}

void ClientConnection::onConnected()
{
    if (const int error = pendingError (socket); error != 0)
    {
        result.connectionRefused = error == ECONNREFUSED;
        return finish (CallEnd::notConnected, std::strerror (error));
    }

    const auto opened = now() - (connectDeadline - client->settings.connectTimeout);
    client->counts.connect.observe (mesh::toMilliseconds (opened));
    state = State::waiting;
    armTimer (options.deadline);
    write();
}

std::size_t ClientConnection::writableBytes() const
{
    return bodyWithheld ? options.headBytes - output.written() : output.remaining();
}

void ClientConnection::write()
{
    while (! writeFailed && (writableBytes() > 0 || (! bodyWithheld && output.refill())))
    {
        const auto count = output.write (socket.descriptor(), writableBytes());

        if (count < 0 && (errno == EAGAIN || errno == EINTR))
            return updateInterest();

        // A response that the server sent before it closed may still be readable; EPOLLIN reports
        // it.
        if (count < 0)
        {
            endOfInput.RecordFailedWrite (errno);
            writeFailed = true;
            bodyWithheld = false;
            reusable = false;
            break;
        }

        result.sent = true;
    }

    if (output.hasFailed())
        return finish (CallEnd::requestCut, "the request's body ended early");

    if (sentAt == Timestamp{} || writeFailed || writableBytes() == 0)
        sentAt = now();

    if (options.onSent)
        client->reactor->callbacks()->Add (std::exchange (options.onSent, nullptr));

    updateInterest();
}

void ClientConnection::onBytesOfRequest()
{
    if (state != State::connecting && state != State::idle && state != State::closed)
        write();
}

void ClientConnection::close()
{
    if (state == State::closed)
        return;

    const auto self = shared_from_this();
    state = State::closed;
    call.reset();
    output.clear();
    dropBody();
    stopWatching();
    socket.Close();
    client->forget (*this);
}

void ClientConnection::stopWatching()
{
    if (isWatched())
        client->reactor->Unwatch (std::exchange (watch, 0), socket);
}

void ClientConnection::resumeReading()
{
    applyPause();

    if (! isWatched())
        readAll();
}

void ClientConnection::applyPause()
{
    checkTransferLimit();
    updateInterest();
}

void ClientConnection::updateInterest()
{
    if (state == State::closed || ! isWatched())
        return;

    const std::uint32_t wanted =
        (isReadingPaused() ? 0U : EPOLLIN) | (! writeFailed && writableBytes() > 0 ? EPOLLOUT : 0U);

    if (interest == wanted)
        return;

    interest = wanted;
    client->reactor->ModifyWatch (watch, socket, interest);
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
                                    self->finishOnException ([&] { self->onTimer(); });
                            });
}

void ClientConnection::onTimer()
{
    timerAt = Timestamp::max();
    const auto at = now();

    switch (state)
    {
    case State::connecting:
        if (at < std::min (connectDeadline, options.deadline))
            return armTimer (std::min (connectDeadline, options.deadline));
        return finish (CallEnd::notConnected, "connecting timed out");

    case State::waiting:
    case State::body:
        if (at < options.deadline)
            return armTimer (options.deadline);
        return finish (CallEnd::timedOut, "timed out before the response was complete");

    case State::streaming:
        checkTransferLimit();

        if (state != State::streaming)
            return;

        // While the stream is full, its receiver's connection has a timeout.
        if (isReadingPaused() || at < lastReadAt + streamTimeout)
            return armTimer ((isReadingPaused() ? at : lastReadAt) + streamTimeout);
        return abandonStream();

    case State::idle:
        if (at < idleDeadline)
            return armTimer (idleDeadline);
        return close();

    case State::closed:
        return;
    }
}

} // namespace copperlead::sidecar
