/** A client whose upload meets a back end that answers before the upload's end. The test decides
    when the client may act, and what has arrived by then.
*/
#pragma once

#include <gtest/gtest.h>

#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <time.h>

#include <array>
#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <string>

#include "sidecar/http/http_client.h"
#include "sidecar/http/messages.h"
#include "tests/proxy/raw_socket.h"

namespace copperlead::sidecar::test
{

inline constexpr std::size_t uploadBytes = 6'000'000;
inline constexpr std::size_t pieceBytes = 16384;
inline constexpr std::string_view unsizedHead = "HTTP/1.1 200 OK\r\nX-Id: q\r\n\r\n";
inline constexpr int maxDescriptor = 1024;

enum class Side : std::uint8_t
{
    local,
    remote
};

inline std::uint16_t portOf (int descriptor, Side side)
{
    sockaddr_in address{};
    socklen_t size = sizeof (address);
    auto* const native = reinterpret_cast<sockaddr*> (&address);
    const int failed = side == Side::local ? getsockname (descriptor, native, &size)
                                           : getpeername (descriptor, native, &size);
    return failed != 0 || address.sin_family != AF_INET ? 0 : ntohs (address.sin_port);
}

/** @returns the client's descriptor of a connection, which is of this process, too */
inline int clientDescriptorOf (const RawSocket& connection)
{
    const auto port = portOf (connection.fd(), Side::remote);
    const auto serverPort = portOf (connection.fd(), Side::local);

    for (int descriptor = 3; descriptor < maxDescriptor; ++descriptor)
        if (portOf (descriptor, Side::local) == port &&
            portOf (descriptor, Side::remote) == serverPort)
            return descriptor;

    return -1;
}

/** Waits for a request's head and leaves it unread, so that closing the connection resets it. */
inline void awaitHead (const RawSocket& connection)
{
    Eventually (
        [&]
        {
            std::array<char, 4096> bytes{};
            const auto count = recv (connection.fd(), bytes.data(), bytes.size(), MSG_PEEK);
            return count > 0 && std::string_view (bytes.data(), static_cast<std::size_t> (count))
                                        .find ("\r\n\r\n") != std::string_view::npos;
        });
}

/** How a back end ends a connection while the request's body is still being written. */
enum class PeerEnd : std::uint8_t
{
    reset,           /**< By a reset of its own. */
    unread,          /**< By a close that leaves received bytes unread, which resets it. */
    orderlyThenReset /**< The end of its side arrives before the reset. */
};

/** @returns true once the other side has received everything that was sent, its end included */
inline bool awaitDelivered (const RawSocket& connection)
{
    return Eventually (
        [&]
        {
            int undelivered = 0;
            return ioctl (connection.fd(), TIOCOUTQ, &undelivered) == 0 && undelivered == 0;
        });
}

inline void endConnection (RawSocket& socket, PeerEnd end)
{
    if (end == PeerEnd::orderlyThenReset)
    {
        socket.EndSending();
        EXPECT_TRUE (awaitDelivered (socket));
    }

    if (end == PeerEnd::unread)
        socket.Close();
    else
        socket.Reset();
}

/** A client whose upload meets a scripted back end. */
class UploadingClient : public ::testing::Test
{
protected:
    UploadingClient()
        : backEnd ([this] (RawSocket& socket, int connection) { serve (socket, connection); })
    {
        ClientSettings settings;
        settings.streamsAnswers = true;
        reactor->RunAndWait (
            [&] { client = std::make_shared<HttpClient> (reactor, std::move (settings)); });
    }

    ~UploadingClient() override
    {
        released.set_value();
        reactor->RunAndWait (
            [this]
            {
                upload.reset();
                answer = {};
                client->closeAllIdleConnections();
            });
        reactor->Stop();
    }

    /** Runs the test's script on the first connection, once the upload's head has arrived. */
    void serve (RawSocket& socket, int connection)
    {
        if (connection > 0)
            return;

        awaitHead (socket);
        clientDescriptor = clientDescriptorOf (socket);
        script (socket);
        // The end of the script closes the connection, which only the script itself may decide.
        released.get_future().wait();
    }

    /** Runs a step while the client can neither read nor write. */
    void holdClient (const std::function<void()>& step) { reactor->RunAndWait (step); }

    static void sendPart (const RawSocket& socket)
    {
        socket.Send (std::string (unsizedHead) + std::string (1000, 'p'));
    }

    /** Ends the connection. To be called while the client is held, who meets the end later. */
    void endAndAwaitFailed (RawSocket& socket, PeerEnd end) const
    {
        endConnection (socket, end);
        EXPECT_TRUE (AwaitFailed (clientDescriptor));
    }

    /** Waits until the client has read everything that was sent. */
    void awaitRead (const RawSocket& socket) const
    {
        EXPECT_TRUE (awaitDelivered (socket));
        EXPECT_TRUE (Eventually ([this] { return unreadBytes() == 0; }));
    }

    /** Sends an upload whose body is there as a whole, or only in part for now. */
    void send (bool isBodyComplete)
    {
        Body body (std::string (uploadBytes, 'u'));

        if (! isBodyComplete)
        {
            upload = std::make_shared<BodyStream> (reactor, Reservation());
            body = Body (Body (std::string ("u")), upload, uploadBytes);
        }

        send ("POST", body);
    }

    void send (std::string_view method, const Body& body)
    {
        reactor->RunAndWait (
            [&]
            {
                CallOptions options;
                options.deadline = SteadyClock().Now() + std::chrono::seconds (10);
                options.idField = "X-Id";
                options.id = "q";
                client->send (backEnd.address(),
                              requestMessage (method, "/", { { "Host", "h" } }, body), options,
                              [this] (CallResult result) { onResult (std::move (result)); });
            });
    }

    /** Returns the bytes of the answer's body that the receiver has taken. */
    std::size_t receivedBytes()
    {
        std::size_t bytes = 0;
        reactor->RunAndWait ([&] { bytes = answer.body.bytes().size() + restBytes; });
        return bytes;
    }

    /** Continues the body that was sent in part. */
    void continueUpload()
    {
        reactor->RunAndWait (
            [&]
            {
                upload->buffer().append ("more");
                upload->bytesAdded();
            });
    }

    void onResult (CallResult result)
    {
        answer = std::move (result);
        rest = answer.body.stream();

        if (rest == nullptr)
            return ended.set_value();

        rest->onBytes = [this] { takeRest(); };
        takeRest();
    }

    void setReceiverReady()
    {
        reactor->RunAndWait (
            [this]
            {
                isReceiverReady = true;
                takeRest();
            });
    }

    void takeRest()
    {
        if (! isReceiverReady || rest == nullptr)
            return;

        restBytes += rest->take().size();

        if (! rest->isAtEnd() && ! rest->hasFailed())
            return;

        restEnded = rest->isAtEnd();
        rest->onBytes = nullptr;
        rest.reset();
        ended.set_value();
    }

    /** @returns true if the call ended in time with an answer whose body is complete */
    bool isAnsweredCompletely()
    {
        auto end = ended.get_future();

        if (end.wait_for (std::chrono::seconds (20)) != std::future_status::ready)
        {
            ADD_FAILURE() << "the call hasn't ended";
            return false;
        }

        bool isComplete = false;
        reactor->RunAndWait (
            [&]
            {
                const bool isStreamed = answer.body.stream() != nullptr;
                isComplete = answer.end == CallEnd::answered && (! isStreamed || restEnded);
            });
        return isComplete;
    }

    /** Sends pieces of a body until the client reads no more, and then one that stays unread.
        @returns the bytes of all pieces
    */
    std::size_t sendUntilClientPauses (RawSocket& socket)
    {
        const std::string piece (pieceBytes, 'p');
        std::size_t sent = 0;

        do
        {
            socket.Send (piece);
            sent += pieceBytes;
            EXPECT_TRUE (Eventually ([this] { return isStreamFull() || unreadBytes() == 0; }));
        } while (! isStreamFull() && sent < 2 * mesh::wholeBodyBytes);

        socket.Send (piece);
        EXPECT_TRUE (Eventually ([this] { return unreadBytes() > 0; }));
        return sent + pieceBytes;
    }

    int unreadBytes() const
    {
        int unread = 0;
        ioctl (clientDescriptor, FIONREAD, &unread);
        return unread;
    }

    Duration processorTimeOfReactor()
    {
        timespec time{};
        reactor->RunAndWait ([&] { clock_gettime (CLOCK_THREAD_CPUTIME_ID, &time); });
        return std::chrono::duration_cast<Duration> (std::chrono::seconds (time.tv_sec) +
                                                     std::chrono::nanoseconds (time.tv_nsec));
    }

    bool isStreamFull()
    {
        bool isFull = false;
        reactor->RunAndWait ([&] { isFull = rest != nullptr && rest->room() == 0; });
        return isFull;
    }

    std::shared_ptr<Reactor> reactor = Resolve ([] { return Reactor::Start(); }).value();
    std::shared_ptr<HttpClient> client;
    std::function<void (RawSocket&)> script;
    std::atomic<int> clientDescriptor{ -1 };
    std::shared_ptr<BodyStream> upload; /**< Used on the reactor's thread, as all below. */
    CallResult answer;
    std::shared_ptr<BodyStream> rest;
    bool isReceiverReady = true; /**< False if what has arrived isn't taken for now. */
    bool restEnded = false;
    std::size_t restBytes = 0;
    std::promise<void> ended, released;
    RawServer backEnd;
};

} // namespace copperlead::sidecar::test
