#include "sidecar/server_connection.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace copperlead::sidecar
{
namespace
{

constexpr std::size_t readSize = 65536;
constexpr std::size_t mostPipelinedBytes = 65536;
constexpr Milliseconds lingerTime{ 1000 };
constexpr Milliseconds bodyTime{ 30'000 };
constexpr Milliseconds writeTime{ 30'000 };
constexpr std::string_view continueMessage = "HTTP/1.1 100 Continue\r\n\r\n";

Timestamp now() { return SteadyClock().Now(); }

} // namespace

ServerConnection::ServerConnection (std::shared_ptr<HttpServer> owner, Socket socketToUse)
    : server (std::move (owner))
    , socket (std::move (socketToUse))
    , restingSince (now())
{
}

ServerConnection::~ServerConnection() = default;

void ServerConnection::start()
{
    interest = EPOLLIN;
    watch = server->reactor->Watch (socket, interest,
                                    [weak = weak_from_this()] (std::uint32_t events)
                                    {
                                        if (const auto self = weak.lock())
                                            self->onEvents (events);
                                    });
    armTimer (deadline());
}

void ServerConnection::onEvents (std::uint32_t events)
{
    if ((events & EPOLLOUT) != 0)
        write();

    // Too much is buffered to read on, so the end of the stream is known by its event alone.
    if (state == State::answering && input.size() >= mostPipelinedBytes &&
        (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0)
        return onEndOfStream();

    if (state != State::closed && (events & (EPOLLIN | EPOLLHUP | EPOLLERR | EPOLLRDHUP)) != 0)
        readAll();

    if (state != State::closed)
        updateInterest();
}

void ServerConnection::readAll()
{
    static thread_local std::array<char, readSize> buffer;

    while (state != State::closed)
    {
        if (state == State::answering && input.size() >= mostPipelinedBytes)
            return;

        const auto count = ::read (socket.descriptor(), buffer.data(), buffer.size());

        if (count < 0 && (errno == EAGAIN || errno == EINTR))
            return;

        if (count <= 0)
            return onEndOfStream();

        if (state == State::lingering)
            continue;

        if (state == State::head && input.empty())
            headStartedAt = now();

        input.append (buffer.data(), static_cast<std::size_t> (count));
        advance();

        if (static_cast<std::size_t> (count) < buffer.size())
            return;
    }
}

void ServerConnection::advance()
{
    if (reading)
        return;

    reading = true;
    auto before = State::closed;
    std::size_t left = 0;

    // Each turn takes a head or a part of a body; a turn that changes nothing waits for more bytes.
    while (! input.empty() && (state == State::head || state == State::body) &&
           (before != state || left != input.size()))
    {
        before = state;
        left = input.size();

        if (state == State::head)
            takeHead();
        else
            takeBody();
    }

    reading = false;

    if (state != State::closed)
        armTimer (deadline());
}

void ServerConnection::takeHead()
{
    // Empty lines before a request are passed over (RFC 9112, 2.2).
    while (input.starts_with ("\r\n"))
        input.erase (0, 2);

    const auto limits = server->settings.limits();
    const auto end = FindHeadEnd (input);

    if (end > limits.headerBytes || (end == 0 && input.size() > limits.headerBytes))
        return fail (431, "the head is too large");

    if (end == 0)
        return;

    exchange = std::make_shared<Exchange>();
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
    exchange->closeAfter = exchange->head.minor_version == 0 ||
                           ListHolds (exchange->head.fields, "Connection", "close");
    decoder.emplace (framing);

    if (ListHolds (exchange->head.fields, "Expect", "100-continue") && input.empty() &&
        ! decoder->complete())
    {
        output.append (continueMessage);
        write();
    }

    state = State::body;

    if (decoder->complete())
        handOn();
}

void ServerConnection::countBuffered (std::size_t bytes)
{
    server->bufferedBytes += bytes - buffered;
    buffered = bytes;
}

void ServerConnection::takeBody()
{
    input.erase (0, decoder->feed (input, exchange->body));
    countBuffered (exchange->body.size());

    if (decoder->malformed())
        return fail (400, "malformed chunked framing");

    if (exchange->body.size() > server->settings.limits().bodyBytes)
        return fail (413, "the body is too large");

    if (server->bufferedBytes > server->settings.mostBufferedBytes)
        return fail (503, "too many bodies are being read");

    if (decoder->complete())
        handOn();
}

bool ServerConnection::clientLeft() const
{
    char byte = 0;
    return ::recv (socket.descriptor(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void ServerConnection::handOn()
{
    // After a stall the request and the end of its connection are read together.
    if (clientLeft())
        return close();

    state = State::answering;
    exchange->arrivedAt = now();
    exchange->connection = weak_from_this();
    server->settings.handler (exchange);
}

void ServerConnection::fail (int status, std::string_view cause)
{
    exchange.reset();
    input.clear();
    state = State::answering;
    output.append (server->settings.errorMessage (status, cause));
    closeAfterWrite = true;
    write();
}

void ServerConnection::respond (const Exchange& answered, const std::string& message, bool close)
{
    if (state != State::answering || exchange.get() != &answered)
        return;

    output.append (message);
    closeAfterWrite = close;
    write();

    if (state != State::closed)
    {
        updateInterest();
        armTimer (deadline());
    }
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
            return onEndOfStream();

        written += static_cast<std::size_t> (count);
    }

    const bool wroteAnswer = written > 0 && state == State::answering;
    output.clear();
    written = 0;

    if (wroteAnswer)
        finishWriting();
}

void ServerConnection::finishWriting()
{
    exchange.reset();
    countBuffered (0);

    if (closeAfterWrite)
        return linger();

    state = State::head;
    restingSince = headStartedAt = now();
    advance();
}

void ServerConnection::linger()
{
    state = State::lingering;
    lingerUntil = now() + lingerTime;
    shutdown (socket.descriptor(), SHUT_WR);
    armTimer (deadline());
}

void ServerConnection::onEndOfStream()
{
    const auto left = exchange;
    close();

    if (left != nullptr && left->onGone)
        std::exchange (left->onGone, nullptr)();
}

void ServerConnection::close()
{
    if (state == State::closed)
        return;

    const auto self = shared_from_this();
    state = State::closed;
    countBuffered (0);
    server->reactor->Unwatch (watch, socket);
    socket.Close();
    server->remove (self);
}

void ServerConnection::updateInterest()
{
    if (state == State::closed)
        return;

    const bool full = state == State::answering && input.size() >= mostPipelinedBytes;
    const std::uint32_t wanted =
        (full ? EPOLLRDHUP : EPOLLIN) | (written < output.size() ? EPOLLOUT : 0U);

    if (wanted == interest)
        return;

    interest = wanted;
    server->reactor->Change (watch, socket, interest);
}

Timestamp ServerConnection::deadline() const
{
    const auto limits = server->settings.limits();

    if (written < output.size())
        return now() + writeTime;

    switch (state)
    {
    case State::head:
        return input.empty() ? restingSince + limits.idleTimeout
                             : headStartedAt + limits.headerTimeout;
    case State::body:
        return headStartedAt + bodyTime;
    case State::lingering:
        return lingerUntil;
    case State::answering:
    case State::closed:
        break;
    }

    return Timestamp::max();
}

void ServerConnection::armTimer (Timestamp when)
{
    // A timer that comes too early arms the next; only an earlier deadline needs one now.
    if (when >= timerAt)
        return;

    timerAt = when;
    server->reactor->RunAt (when,
                            [weak = weak_from_this(), when]
                            {
                                const auto self = weak.lock();

                                if (self != nullptr && self->timerAt == when)
                                    self->onTimer();
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

    if (state == State::head && ! input.empty())
        return fail (408, "the head did not arrive in time");

    close();
}

} // namespace copperlead::sidecar
