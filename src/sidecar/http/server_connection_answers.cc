/** How a server's connection sends answers, in the order of their requests, and ends with the last.
 */
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "mesh/milliseconds.h"
#include "sidecar/http/server_connection.h"

namespace copperlead::sidecar
{
namespace
{

constexpr Milliseconds lingerTime{ 1000 };

Timestamp now() { return SteadyClock().Now(); }

} // namespace

void ServerConnection::fail (int status, std::string_view cause)
{
    if (gated())
    {
        open.dropLatest();
        tellGone (*exchange);
    }

    exchange.reset();
    input.clear();
    lastTaken = true;
    state = State::head;
    open.addOwn (now(), server->settings.errorMessage (status, cause));
    writeAnswers();
}

void ServerConnection::respond (const Exchange& answered, const std::string& message, bool close)
{
    const bool isBeingRead = exchange.get() == &answered;
    // Behind the answer such a body would be taken for a request.
    const bool closes = close || (isBeingRead && bodyMayFollow());

    if (! open.answer (now(), answered, message, closes))
        return;

    // A closing answer is the last one, so what was read behind it must not begin.
    lastTaken = lastTaken || closes;

    if (isBeingRead)
        abandonBody();

    writeAnswers();
}

void ServerConnection::writeAnswers()
{
    const auto at = now();

    for (AnswerQueue::Due due; ! closeAfterWrite && open.takeDue (at, due);)
    {
        if (due.waited)
            server->counts.answerHeld.observe (mesh::toMilliseconds (due.held));

        output.append (due.message);
        closeAfterWrite = due.close;
    }

    countBuffered();
    write();

    if (state == State::closed || state == State::lingering)
        return;

    restingSince = at;

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
    const auto left = output.size() - written;
    const auto& link = server->settings.link;

    if (link == nullptr || (transfer == 0 && left < mesh::largeAnswerBytes))
        return left;

    if (transfer == 0)
        transfer = link->begin (left,
                                [weak = weak_from_this()]
                                {
                                    if (const auto self = weak.lock())
                                        self->onTurn();
                                });

    if (std::exchange (stalled, false))
        link->setStalled (transfer, false);

    return std::min (left, link->allowance (transfer));
}

void ServerConnection::countWritten (std::size_t bytes)
{
    written += bytes;
    wroteAt = now();

    if (server->settings.link != nullptr)
        server->settings.link->wrote (transfer, bytes);
}

void ServerConnection::endTransfer()
{
    if (transfer != 0)
        server->settings.link->end (std::exchange (transfer, 0));

    stalled = false;
}

void ServerConnection::onTurn()
{
    write();

    if (state == State::closed)
        return;

    updateInterest();
    armTimer (deadline());
}

void ServerConnection::write()
{
    while (written < output.size())
    {
        const auto most = writableBytes();

        if (most == 0)
            return updateInterest();

        const auto count =
            ::send (socket.descriptor(), output.data() + written, most, MSG_NOSIGNAL);

        if (count < 0 && (errno == EAGAIN || errno == EINTR))
        {
            if (transfer != 0 && ! std::exchange (stalled, true))
                server->settings.link->setStalled (transfer, true);

            return updateInterest();
        }

        if (count < 0)
            return close();

        countWritten (static_cast<std::size_t> (count));
    }

    const bool wrote = written > 0;
    endTransfer();
    output.clear();
    written = 0;

    if (closeAfterWrite)
        return linger();

    // What was not worked on while too much was unsent.
    if (wrote)
        advance();
}

void ServerConnection::linger()
{
    if (state == State::lingering)
        return;

    state = State::lingering;
    dropOpen();
    lingerUntil = now() + lingerTime;
    shutdown (socket.descriptor(), SHUT_WR);
    armTimer (deadline());
}

} // namespace copperlead::sidecar
