#include "sidecar/http/server_connection.h"

#include <poll.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace copperlead::sidecar
{
namespace
{

constexpr std::size_t readSize = 65536;
constexpr std::size_t mostUnreadBytes = 65536; // Of input that can't be taken yet.
constexpr std::size_t mostOpenRequests = 16;
constexpr std::size_t mostUnsentBytes = 256 << 10; // Of answers, beyond which none is worked on.
constexpr Milliseconds bodyTime{ 30'000 };
constexpr Milliseconds writeTime{ 30'000 };

Timestamp now() { return SteadyClock().Now(); }

} // namespace

ServerConnection::ServerConnection (std::shared_ptr<HttpServer> owner, Socket socketToUse,
                                    bool isFromOwnIp)
    : server (std::move (owner))
    , socket (std::move (socketToUse))
    , fromOwnIp (isFromOwnIp)
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
    if (blocked() && (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0)
        return close();

    if (state != State::closed && (events & (EPOLLIN | EPOLLHUP | EPOLLERR | EPOLLRDHUP)) != 0)
        readAll();

    if (state != State::closed)
        updateInterest();
}

bool ServerConnection::idle() const
{
    return state == State::head && input.empty() && output.empty() && open.empty();
}

bool ServerConnection::isLatest (const Exchange& asked) const { return open.isLatest (asked); }

bool ServerConnection::mayTakeNext() const
{
    const auto unsent = output.size() - written + open.messageBytes();

    if (lastTaken || unsent >= mostUnsentBytes)
        return false;

    return open.empty() ||
           (server->settings.mayRunBeside && ! server->draining && open.size() < mostOpenRequests);
}

bool ServerConnection::mayHandOn() const
{
    return mayTakeNext() && (open.empty() || server->settings.mayRunBeside (exchange->head));
}

bool ServerConnection::blocked() const
{
    const bool waits = state == State::held || (state == State::head && ! mayTakeNext());
    return waits && input.size() >= mostUnreadBytes;
}

void ServerConnection::readAll()
{
    static thread_local std::array<char, readSize> buffer;

    while (state != State::closed && ! blocked())
    {
        const auto count = ::read (socket.descriptor(), buffer.data(), buffer.size());

        if (count < 0 && (errno == EAGAIN || errno == EINTR))
            return;

        if (count <= 0)
            return close();

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
    if (advancing)
        return;

    advancing = true;
    auto before = State::closed;
    std::size_t left = 0;

    if (state == State::held && mayHandOn())
        handOn();

    // Each turn takes a head or a part of a body; a turn that changes nothing waits for more bytes.
    while (! input.empty() && (state == State::head || state == State::body) &&
           (before != state || left != input.size()))
    {
        before = state;
        left = input.size();

        if (state == State::body)
            takeBody();
        else if (mayTakeNext())
            takeHead();
    }

    advancing = false;

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
    exchange->fromOwnIp = fromOwnIp;
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

    owesContinue = ListHolds (exchange->head.fields, "Expect", "100-continue") && input.empty() &&
                   ! decoder->complete();
    state = State::body;

    if (owesContinue && server->settings.bodyGate && open.empty())
        return askGate();

    sendContinue();

    if (decoder->complete())
        bodyTaken();
}

bool ServerConnection::clientLeft() const
{
    // Reading ahead shows neither a reset nor an end behind bytes that are still unread.
    pollfd stream{ socket.descriptor(), POLLRDHUP, 0 };
    return ::poll (&stream, 1, 0) == 1;
}

void ServerConnection::handOn()
{
    // After a stall the request and the end of its connection are read together.
    if (clientLeft())
        return close();

    const bool isOpen = gated();
    const auto handed = std::exchange (exchange, nullptr);
    state = State::head;
    lastTaken = handed->closeAfter;
    headStartedAt = now();
    handed->connection = weak_from_this();

    server->counts.besideOthers += open.empty() || isOpen ? 0 : 1;

    if (! isOpen)
        open.add (handed);

    open.setLatestBody (handed->body.size());
    countBuffered();
    server->settings.handler (handed);
}

void ServerConnection::dropOpen()
{
    exchange.reset();
    const auto left = open.dropAll();
    countBuffered();

    for (const auto& exchangeToLeave : left)
        tellGone (*exchangeToLeave);
}

void ServerConnection::tellGone (Exchange& exchangeToLeave)
{
    if (exchangeToLeave.onGone)
        std::exchange (exchangeToLeave.onGone, nullptr)();
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
    dropOpen();
}

void ServerConnection::updateInterest()
{
    if (state == State::closed)
        return;

    const std::uint32_t wanted = (blocked() ? EPOLLRDHUP : EPOLLIN) |
                                 (written < output.size() && ! waitsForTurn() ? EPOLLOUT : 0U);

    if (wanted == interest)
        return;

    interest = wanted;
    server->reactor->Change (watch, socket, interest);
}

Timestamp ServerConnection::deadline() const
{
    const auto limits = server->settings.limits();

    if (written < output.size())
        return waitsForTurn() ? Timestamp::max() : wroteAt + writeTime;

    switch (state)
    {
    case State::head:
        if (! input.empty() && mayTakeNext())
            return headStartedAt + limits.headerTimeout;
        return open.empty() ? restingSince + limits.idleTimeout : Timestamp::max();
    case State::body:
        return headStartedAt + bodyTime;
    case State::lingering:
        return lingerUntil;
    case State::held:
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

    if (state == State::head && ! input.empty() && output.empty())
        return fail (408, "the head did not arrive in time");

    close();
}

} // namespace copperlead::sidecar
