/** One connection to a server, which carries at most one call at a time. Internal to HttpClient. */
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "mesh/transfer_limit.h"
#include "proxy/end_of_input.h"
#include "sidecar/http/body_buffer.h"
#include "sidecar/http/body_decoder.h"
#include "sidecar/http/http_client.h"
#include "sidecar/http/outgoing_bytes.h"

namespace copperlead::sidecar
{

class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    ClientConnection (std::shared_ptr<HttpClient> owner, std::string targetName);
    ~ClientConnection();

    /** Starts to connect. @returns false if that fails immediately */
    bool connect (const SocketAddress& address);

    /** Sends a request, once the connection is established if it isn't yet. */
    void startCall (CallPointer newCall, const Message& message, const CallOptions& newOptions);

    /** Closes the connection and drops its call without a result. */
    void close();

    /** @returns true if the connection is idle and may carry another call */
    bool usable (Timestamp now) const;

    /** When the latest response was complete. */
    Timestamp idleSince() const { return idleAt; }

    /** @returns true if data, or the end of the connection, has arrived and was not read yet */
    bool hasUnreadInput() const;
    bool isServing (const Call& other) const { return call.get() == &other; }
    const std::string& target() const { return name; }

private:
    friend class HttpClient;

    enum class State : std::uint8_t
    {
        connecting,
        idle,
        waiting, /**< Waiting for the head of a response. */
        body,
        streaming, /**< The call has ended, and the rest of its response is passed on. */
        closed
    };

    /** Runs a handler. An exception ends the call and closes the connection, before it goes on to
        the reactor.
    */
    void finishOnException (const std::function<void()>& handler);
    void onEvents (std::uint32_t events);
    void onConnected();
    void write();
    void readAll();
    void advance();
    bool readHead();
    void readBody();

    /** Decodes what has been read into the memory there is. @returns false if it needs more */
    bool readIntoMemory();

    /** Returns true if so much of the body has been read that the rest is passed on. */
    bool isLargeAnswer() const;
    bool reserveMemory (std::size_t bytes, const std::shared_ptr<BufferPool>& pool);
    bool reserveBodyMemory (const BodyFraming& framing);
    void growBodyMemory();
    void onMemoryGranted();
    void awaitStream();
    void beginStream();
    void readStream();
    void endStream();
    void abandonStream();

    /** Breaks the response off if it exceeds the limit, and arms the timer for the next check. */
    void checkTransferLimit();

    /** Adapts the transfer limit and the events to whether reading pauses now. */
    void applyPause();
    void onStreamRoom();
    bool isReadingPaused() const;
    std::size_t readSize() const;
    void dropBody();
    void onBytesOfRequest();
    void onResponseComplete();
    std::size_t writableBytes() const;

    /** Ends the response, which is complete if only its connection's end delimits it.
        @param error  0 at an orderly end
    */
    void onEndOfInput (int error);
    void finish (CallEnd end, std::string cause);
    void finishAnswered();
    void endResponse();
    void updateIdleDeadline();
    void armTimer (Timestamp when);
    void onTimer();
    void updateInterest();

    /** Ignores all further events; see resumeReading(). */
    void stopWatching();
    bool isWatched() const { return watch != 0; }

    /** Continues after a pause, without an event if the connection isn't watched any more. */
    void resumeReading();

    std::shared_ptr<HttpClient> client;
    std::string name;
    Socket socket;
    Reactor::WatchId watch = 0; /**< 0 if events are ignored; see stopWatching(). */
    std::uint32_t interest = 0;
    State state = State::connecting;
    CallPointer call;
    CallOptions options;
    CallResult result;
    std::string input;
    OutgoingBytes output;
    BodyBuffer body;           /**< The part of the response's body that has been read. */
    bool bodyWithheld = false; /**< Only the head of `output` may be written so far. */
    bool writeFailed = false;  /**< The server may have answered before it closed. */
    EndOfInput endOfInput;
    std::optional<BodyDecoder> decoder;
    bool streamWanted = false; /**< The body is passed on as soon as there is memory for that. */
    std::optional<std::size_t> bodyLength; /**< As the response announces it. */
    std::weak_ptr<BodyStream> stream;      /**< Into which the rest of the body is read. */
    std::optional<mesh::TransferLimit> transferLimit; /**< Of the stream. */
    Timestamp lastReadAt{};
    bool answersOtherRequest = false; /**< True while the response to another request is read. */
    bool requestHasBody = false;
    bool reusable = true; /**< False if the connection must close after its call. */
    bool usedBefore = false;
    Timestamp connectDeadline = Timestamp::max(), idleDeadline{}, timerAt = Timestamp::max(),
              sentAt{}, idleAt{};
};

} // namespace copperlead::sidecar
