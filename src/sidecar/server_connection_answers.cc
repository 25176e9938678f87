/** How a server's connection sends answers, in the order of their requests, and ends with the last.
 */
#include <sys/socket.h>

#include <cerrno>

#include "mesh/milliseconds.h"
#include "sidecar/server_connection.h"

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

void ServerConnection::write()
{
    while (written < output.size())
    {
        const auto count = ::send (socket.descriptor(), output.data() + written,
                                   output.size() - written, MSG_NOSIGNAL);

        if (count < 0 && (errno == EAGAIN || errno == EINTR))
            return updateInterest();

        if (count < 0)
            return close();

        written += static_cast<std::size_t> (count);
        wroteAt = now();
    }

    const bool wrote = written > 0;
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
