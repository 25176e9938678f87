/** The part of ServerConnection that sends responses in the order of their requests, and closes the
    connection after the last one.
*/
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "mesh/milliseconds.h"
#include "sidecar/http/server_connection.h"
#include "sidecar/http/sockets.h"

namespace copperlead::sidecar
{
namespace
{

constexpr Milliseconds lingerTimeout{ 1000 };

Timestamp now() { return SteadyClock().Now(); }

} // namespace

void ServerConnection::fail (int status, std::string_view cause)
{
    if (isCurrentQueued())
    {
        pending.removeLatest();
        notifyDisconnect (*exchange);
    }

    exchange.reset();
    dropBody();
    input.clear();
    updateUnparsedBytes();
    noMoreRequests = true;
    state = State::head;
    pending.addConnectionError (now(), server->settings.errorMessage (status, cause));
    writeAnswers();
}

void ServerConnection::respond (const Exchange& answered, Message message, bool close)
{
    const bool isBeingRead = exchange.get() == &answered;
    // After this response, a body that still arrives would be parsed as a request.
    const bool closes = close || isBodyLeft (answered);

    if (! pending.answer (now(), answered, std::move (message), closes))
        return;

    // A response that closes the connection is the last one, so no request read after it may start.
    noMoreRequests = noMoreRequests || closes;

    if (isBeingRead)
        abandonBody();

    writeAnswers();
}

void ServerConnection::writeAnswers()
{
    const auto at = now();

    for (AnswerQueue::ReadyAnswer ready;
         ! closeAfterWrite && ! output.endsWithBody() && pending.takeReady (at, ready);)
    {
        if (ready.outOfOrder)
            server->counts.headOfLineDelay.observe (mesh::toMilliseconds (ready.timeQueued));

        output.append (ready.message);
        closeAfterWrite = ready.close;
    }

    write();

    if (state == State::closed || state == State::lingering)
        return;

    idleSince = at;

    if (state == State::head)
        headStartedAt = at;

    sendContinue();
    advance();

    if (state == State::closed)
        return;

    updateInterest();
    armTimer (deadline());
}

std::size_t ServerConnection::writableBytes()
{
    const auto remaining = output.remaining();
    const auto& link = server->settings.link;

    if (link == nullptr || (transfer == 0 && remaining < mesh::largeAnswerBytes))
        return remaining;

    if (transfer == 0)
        transfer = link->begin (output.expectedBytes(), output.awaitsBody(),
                                [weak = weak_from_this()]
                                {
                                    if (const auto self = weak.lock())
                                        self->onLinkAllowance();
                                });

    if (std::exchange (stalled, false))
        link->setStalled (transfer, false);

    return std::min (remaining, link->allowance (transfer));
}

void ServerConnection::recordWritten (std::size_t bytes)
{
    lastWriteAt = now();

    if (server->settings.link != nullptr)
        server->settings.link->wrote (transfer, bytes);
}

void ServerConnection::endTransfer()
{
    if (transfer != 0)
        server->settings.link->end (std::exchange (transfer, 0));

    stalled = false;
}

void ServerConnection::onLinkAllowance()
{
    write();

    if (state == State::closed)
        return;

    updateInterest();
    armTimer (deadline());
}

void ServerConnection::write()
{
    while (output.remaining() > 0 || output.refill())
    {
        const auto limit = writableBytes();

        if (limit == 0)
            return updateInterest();

        const auto count = output.write (socket.descriptor(), limit);

        if (count < 0 && (errno == EAGAIN || errno == EINTR))
        {
            if (transfer != 0 && ! std::exchange (stalled, true))
                server->settings.link->setStalled (transfer, true);

            return updateInterest();
        }

        if (count < 0)
            return close();

        recordWritten (static_cast<std::size_t> (count));
    }

    if (output.hasFailed())
        return abortResponse();

    if (output.awaitsBody())
    {
        if (transfer != 0 && ! std::exchange (stalled, true))
            server->settings.link->setWaiting (transfer, true);

        return updateInterest();
    }

    const bool wrote = output.written() > 0;
    endTransfer();
    output.clear();

    if (closeAfterWrite)
        return linger();

    // Responses behind a large one are taken out only now.
    if (pending.hasReady())
        return writeAnswers();

    sendAllowedContinue();

    // Continues with requests that were delayed because too much was unsent or might break off.
    if (wrote || state == State::waiting)
        advance();
}

void ServerConnection::onBytesOfAnswer()
{
    if (state == State::closed)
        return;

    write();
    updateInterest();

    if (state != State::closed)
        armTimer (deadline());
}

void ServerConnection::abortResponse()
{
    // A response that ends early must not look complete, even if it has no length.
    resetOnClose (socket);
    close();
}

void ServerConnection::linger()
{
    if (state == State::lingering)
        return;

    state = State::lingering;
    dropPending();
    lingerEnd = now() + lingerTimeout;
    shutdown (socket.descriptor(), SHUT_WR);
    armTimer (deadline());
}

} // namespace copperlead::sidecar
